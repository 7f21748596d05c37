#include "Control/LineDiff.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace amaranth::control {

namespace {

constexpr std::size_t ContextLines = 3;
/// If the changed part needs a larger table, all its lines are shown as removed
/// and added.
constexpr std::size_t MaxTableCells = 16 * 1024 * 1024;

using Lines = std::vector<std::string_view>;

struct DiffLine {
  char Mark_; ///< ' ', '-' or '+'.
  std::string_view Line_;
};

Lines split(std::string_view Text) {
  Lines Split;
  while (!Text.empty()) {
    std::size_t End = std::min(Text.find('\n'), Text.size());
    Split.push_back(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Split;
}

/// Lengths of the longest common subsequences of every pair of suffixes.
class CommonLengthTable final {
public:
  CommonLengthTable(const Lines &Old, const Lines &New)
      : Columns_(New.size() + 1), Cells_((Old.size() + 1) * Columns_) {
    for (std::size_t I = Old.size(); I-- > 0;)
      for (std::size_t J = New.size(); J-- > 0;)
        Cells_[I * Columns_ + J] =
            Old[I] == New[J] ? length(I + 1, J + 1) + 1
                             : std::max(length(I + 1, J), length(I, J + 1));
  }
  std::uint32_t length(std::size_t I, std::size_t J) const {
    return Cells_[I * Columns_ + J];
  }

private:
  std::size_t Columns_;
  std::vector<std::uint32_t> Cells_;
};

void appendAll(std::vector<DiffLine> &Diff, char Mark, const Lines &Source) {
  for (std::string_view Line : Source)
    Diff.push_back({Mark, Line});
}

void appendChanged(std::vector<DiffLine> &Diff, const Lines &Old,
                   const Lines &New) {
  if ((Old.size() + 1) * (New.size() + 1) > MaxTableCells) {
    appendAll(Diff, '-', Old);
    appendAll(Diff, '+', New);
    return;
  }
  CommonLengthTable Lengths(Old, New);
  std::size_t I = 0;
  std::size_t J = 0;
  while (I < Old.size() || J < New.size()) {
    bool HasOld = I < Old.size();
    bool HasNew = J < New.size();
    if (HasOld && HasNew && Old[I] == New[J]) {
      Diff.push_back({' ', Old[I++]});
      ++J;
    } else if (HasOld && (!HasNew || Lengths.length(I + 1, J) >=
                                         Lengths.length(I, J + 1))) {
      Diff.push_back({'-', Old[I++]});
    } else {
      Diff.push_back({'+', New[J++]});
    }
  }
}

std::vector<DiffLine> diffLines(const Lines &Old, const Lines &New) {
  std::size_t Shorter = std::min(Old.size(), New.size());
  std::size_t PrefixLength = 0;
  while (PrefixLength < Shorter && Old[PrefixLength] == New[PrefixLength])
    ++PrefixLength;
  std::size_t SuffixLength = 0;
  while (SuffixLength < Shorter - PrefixLength &&
         Old[Old.size() - 1 - SuffixLength] ==
             New[New.size() - 1 - SuffixLength])
    ++SuffixLength;
  auto PrefixOffset = static_cast<std::ptrdiff_t>(PrefixLength);
  auto SuffixOffset = static_cast<std::ptrdiff_t>(SuffixLength);
  std::vector<DiffLine> Diff;
  appendAll(Diff, ' ', Lines(Old.begin(), Old.begin() + PrefixOffset));
  appendChanged(Diff,
                Lines(Old.begin() + PrefixOffset, Old.end() - SuffixOffset),
                Lines(New.begin() + PrefixOffset, New.end() - SuffixOffset));
  appendAll(Diff, ' ', Lines(Old.end() - SuffixOffset, Old.end()));
  return Diff;
}

/// Selects the changed lines and those within the context of one.
std::vector<bool> selectShown(const std::vector<DiffLine> &Diff) {
  std::vector<bool> Shown(Diff.size(), false);
  for (std::size_t I = 0; I < Diff.size(); ++I) {
    if (Diff[I].Mark_ == ' ')
      continue;
    std::size_t First = I > ContextLines ? I - ContextLines : 0;
    std::size_t Last = std::min(I + ContextLines + 1, Diff.size());
    for (std::size_t J = First; J < Last; ++J)
      Shown[J] = true;
  }
  return Shown;
}

} // namespace

std::string lineDiff(std::string_view Old, std::string_view New) {
  std::vector<DiffLine> Diff = diffLines(split(Old), split(New));
  std::vector<bool> Shown = selectShown(Diff);
  std::string Text;
  std::size_t OldLine = 1;
  std::size_t NewLine = 1;
  for (std::size_t I = 0; I < Diff.size(); ++I) {
    if (Shown[I]) {
      if (I == 0 || !Shown[I - 1])
        Text += "@@ " + std::to_string(OldLine) + ", " +
                std::to_string(NewLine) + " @@\n";
      Text += Diff[I].Mark_;
      Text.append(Diff[I].Line_).push_back('\n');
    }
    OldLine += Diff[I].Mark_ != '+' ? 1 : 0;
    NewLine += Diff[I].Mark_ != '-' ? 1 : 0;
  }
  return Text;
}

} // namespace amaranth::control
