/// \file
/// Differences between two texts by line.
#ifndef AMARANTH_CONTROL_LINEDIFF_H
#define AMARANTH_CONTROL_LINEDIFF_H

#include <string>
#include <string_view>

namespace amaranth::control {

/// The lines that lead from \p Old to \p New, with three lines of context:
/// removed ones after "-", added ones after "+", kept ones after a space, and
/// "@@ old line, new line @@" where a part begins. Empty if the texts are
/// equal.
std::string lineDiff(std::string_view Old, std::string_view New);

} // namespace amaranth::control

#endif
