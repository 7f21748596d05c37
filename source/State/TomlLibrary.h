/// \file
/// toml++ with assertions that throw exceptions. Include this file instead of
/// <toml++/toml.h>, so that all files compile its inline functions alike.
#ifndef AMARANTH_STATE_TOMLLIBRARY_H
#define AMARANTH_STATE_TOMLLIBRARY_H

#include <exception>

namespace amaranth::state::detail {

/// A failed assertion of the TOML parser.
struct TomlAssertion final : std::exception {
  const char *what() const noexcept override { return "TOML assertion failed"; }
};

constexpr void assertToml(bool Condition) {
  if (!Condition)
    throw TomlAssertion();
}

} // namespace amaranth::state::detail

// toml++ 3.3 asserts that a table header starts with a key, so a line such as
// "[!" in a document would abort the process.
#define TOML_ASSERT(Condition)                                                 \
  ::amaranth::state::detail::assertToml(static_cast<bool>(Condition))
#define TOML_EXCEPTIONS 1
// Documents nest arrays and tables at most three deep. The limit bounds the use
// of the stack.
#define TOML_MAX_NESTED_VALUES 16
#include <toml++/toml.h>

#endif
