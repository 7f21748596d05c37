/// \file
/// Aligned tables for terminals.
#ifndef AMARANTH_STATE_TEXTTABLE_H
#define AMARANTH_STATE_TEXTTABLE_H

#include <string>
#include <vector>

namespace amaranth::state {

/// Collects rows and pads each column to its widest cell. Replaces control
/// characters in cells, because their text may come from other hosts.
class TextTable final {
public:
  explicit TextTable(std::vector<std::string> Headings);

  /// Adds a row, which must have one cell for each heading.
  void addRow(std::vector<std::string> Cells);

  std::string toString() const;

private:
  std::vector<std::vector<std::string>> Rows_;
};

} // namespace amaranth::state

#endif
