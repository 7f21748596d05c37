/// \file
/// A check of TOML text before it is parsed.
#ifndef AMARANTH_STATE_TOMLSCAN_H
#define AMARANTH_STATE_TOMLSCAN_H

#include "State/ServiceDocument.h"

#include <optional>
#include <string_view>

namespace amaranth::state {

/// The first fault that toml++ 3.3 must not see. It has undefined behaviour for
/// some non-ASCII characters outside strings and comments, where TOML allows
/// none (an unreachable branch in its whitespace test). It builds one table for
/// each part of a dotted key and destroys them recursively, so that a key of
/// many parts overflows the stack.
std::optional<DocumentFault> scanToml(std::string_view Text);

} // namespace amaranth::state

#endif
