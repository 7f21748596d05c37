#include "Control/LineDiff.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace amaranth::control {

namespace {

constexpr std::size_t Context = 3;
/// Texts whose changed parts need a larger table are shown as replaced.
constexpr std::size_t MaxTableCells = 16 * 1024 * 1024;

using Lines = std::vector<std::string_view>;

struct Step {
  char Mark_; ///< ' ', '-' or '+'.
  std::string_view Line_;
};

Lines split(std::string_view Text) {
  Lines Result;
  while (!Text.empty()) {
    std::size_t End = std::min(Text.find('\n'), Text.size());
    Result.push_back(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Result;
}

/// Lengths of the longest common subsequences of all suffixes.
class CommonLengths final {
public:
  CommonLengths(const Lines &Old, const Lines &New)
      : Columns_(New.size() + 1), Cells_((Old.size() + 1) * Columns_) {
    for (std::size_t I = Old.size(); I-- > 0;)
      for (std::size_t J = New.size(); J-- > 0;)
        Cells_[I * Columns_ + J] = Old[I] == New[J]
                                       ? at(I + 1, J + 1) + 1
                                       : std::max(at(I + 1, J), at(I, J + 1));
  }
  std::uint32_t at(std::size_t I, std::size_t J) const {
    return Cells_[I * Columns_ + J];
  }

private:
  std::size_t Columns_;
  std::vector<std::uint32_t> Cells_;
};

void appendAll(std::vector<Step> &Steps, char Mark, const Lines &From) {
  for (std::string_view Line : From)
    Steps.push_back({Mark, Line});
}

void appendChanged(std::vector<Step> &Steps, const Lines &Old,
                   const Lines &New) {
  if ((Old.size() + 1) * (New.size() + 1) > MaxTableCells) {
    appendAll(Steps, '-', Old);
    appendAll(Steps, '+', New);
    return;
  }
  CommonLengths Lengths(Old, New);
  std::size_t I = 0;
  std::size_t J = 0;
  while (I < Old.size() || J < New.size()) {
    bool HasOld = I < Old.size();
    bool HasNew = J < New.size();
    if (HasOld && HasNew && Old[I] == New[J]) {
      Steps.push_back({' ', Old[I++]});
      ++J;
    } else if (HasOld &&
               (!HasNew || Lengths.at(I + 1, J) >= Lengths.at(I, J + 1))) {
      Steps.push_back({'-', Old[I++]});
    } else {
      Steps.push_back({'+', New[J++]});
    }
  }
}

std::vector<Step> compare(const Lines &Old, const Lines &New) {
  std::size_t Shorter = std::min(Old.size(), New.size());
  std::size_t Head = 0;
  while (Head < Shorter && Old[Head] == New[Head])
    ++Head;
  std::size_t Tail = 0;
  while (Tail < Shorter - Head &&
         Old[Old.size() - 1 - Tail] == New[New.size() - 1 - Tail])
    ++Tail;
  auto First = static_cast<std::ptrdiff_t>(Head);
  auto Last = static_cast<std::ptrdiff_t>(Tail);
  std::vector<Step> Steps;
  appendAll(Steps, ' ', Lines(Old.begin(), Old.begin() + First));
  appendChanged(Steps, Lines(Old.begin() + First, Old.end() - Last),
                Lines(New.begin() + First, New.end() - Last));
  appendAll(Steps, ' ', Lines(Old.end() - Last, Old.end()));
  return Steps;
}

/// Which steps are changes or within the context of one.
std::vector<bool> selectShown(const std::vector<Step> &Steps) {
  std::vector<bool> Shown(Steps.size(), false);
  for (std::size_t I = 0; I < Steps.size(); ++I) {
    if (Steps[I].Mark_ == ' ')
      continue;
    std::size_t First = I > Context ? I - Context : 0;
    std::size_t Last = std::min(I + Context + 1, Steps.size());
    for (std::size_t J = First; J < Last; ++J)
      Shown[J] = true;
  }
  return Shown;
}

} // namespace

std::string lineDiff(std::string_view Old, std::string_view New) {
  std::vector<Step> Steps = compare(split(Old), split(New));
  std::vector<bool> Shown = selectShown(Steps);
  std::string Text;
  std::size_t OldLine = 1;
  std::size_t NewLine = 1;
  for (std::size_t I = 0; I < Steps.size(); ++I) {
    if (Shown[I]) {
      if (I == 0 || !Shown[I - 1])
        Text += "@@ " + std::to_string(OldLine) + ", " +
                std::to_string(NewLine) + " @@\n";
      Text += Steps[I].Mark_;
      Text.append(Steps[I].Line_).push_back('\n');
    }
    OldLine += Steps[I].Mark_ != '+' ? 1 : 0;
    NewLine += Steps[I].Mark_ != '-' ? 1 : 0;
  }
  return Text;
}

} // namespace amaranth::control
