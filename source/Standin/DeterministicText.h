/// \file
/// The text that engine stand-ins generate. Tests include this file to compute
/// the expected answer of a prompt.
#ifndef AMARANTH_STANDIN_DETERMINISTICTEXT_H
#define AMARANTH_STANDIN_DETERMINISTICTEXT_H

#include <string>
#include <string_view>

namespace amaranth::standin {

/// Generates token i as a function of the prompt and i alone, so that a stream
/// resumed on another engine continues identically.
class DeterministicText final {
public:
  explicit DeterministicText(std::string_view Prompt);

  /// Token 0 is the first 12 hex characters of SHA-256 of the prompt, so that
  /// an answer can be matched to its request; later tokens are words.
  std::string token(int Index) const;

  /// The first \p Count tokens together.
  std::string text(int Count) const;

private:
  std::string PromptDigest_;
};

} // namespace amaranth::standin

#endif
