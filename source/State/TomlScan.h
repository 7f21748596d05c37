/// \file
/// Check of TOML text before it is parsed.
#ifndef AMARANTH_STATE_TOMLSCAN_H
#define AMARANTH_STATE_TOMLSCAN_H

#include "State/ServiceDocument.h"

#include <optional>
#include <string_view>

namespace amaranth::state {

/// Finds the first fault in \p Text that toml++ 3.3 cannot handle safely.
/// toml++ has undefined behaviour for some non-ASCII characters outside strings
/// and comments, where TOML allows none (it reaches a branch marked as
/// unreachable in its whitespace test). It also builds one table for each part
/// of a dotted key and destroys them recursively, so a key of many parts
/// overflows the stack.
std::optional<DocumentFault> scanToml(std::string_view Text);

} // namespace amaranth::state

#endif
