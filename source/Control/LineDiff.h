/// \file
/// Differences between two texts by line.
#ifndef AMARANTH_CONTROL_LINEDIFF_H
#define AMARANTH_CONTROL_LINEDIFF_H

#include <string>
#include <string_view>

namespace amaranth::control {

/// The line diff from \p Old to \p New with three lines of context: removed
/// lines start with "-", added ones with "+", unchanged ones with a space, and
/// each hunk with "@@ old line, new line @@". Empty if the texts have the same
/// lines.
std::string lineDiff(std::string_view Old, std::string_view New);

} // namespace amaranth::control

#endif
