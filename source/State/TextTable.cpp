#include "State/TextTable.h"

#include <algorithm>
#include <cassert>

namespace amaranth::state {

TextTable::TextTable(std::vector<std::string> Headings) {
  Rows_.push_back(std::move(Headings));
}

void TextTable::addRow(std::vector<std::string> Cells) {
  assert(Cells.size() == Rows_[0].size());
  for (std::string &Cell : Cells)
    for (char &C : Cell)
      if (static_cast<unsigned char>(C) < ' ' || C == 0x7f)
        C = '?';
  Rows_.push_back(std::move(Cells));
}

std::string TextTable::toString() const {
  std::vector<std::size_t> Widths(Rows_[0].size());
  for (const auto &Row : Rows_)
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  std::string Text;
  for (const auto &Row : Rows_) {
    std::string Line;
    for (std::size_t I = 0; I < Row.size(); ++I) {
      Line += Row[I];
      Line.append(Widths[I] - Row[I].size() + 2, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Text += Line + "\n";
  }
  return Text;
}

} // namespace amaranth::state
