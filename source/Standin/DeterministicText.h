/// \file
/// The text that engine stand-ins generate. Tests include this file to compute
/// the expected answer to a prompt.
#ifndef AMARANTH_STANDIN_DETERMINISTICTEXT_H
#define AMARANTH_STANDIN_DETERMINISTICTEXT_H

#include <string>
#include <string_view>

namespace amaranth::standin {

/// Generates each token from the prompt and the token index only, so that a
/// stream that is resumed on another engine continues identically.
class DeterministicText final {
public:
  explicit DeterministicText(std::string_view Prompt);

  /// Token 0 is the first 12 hex characters of the SHA-256 digest of the
  /// prompt, so that an answer can be matched to its request; later tokens are
  /// words.
  std::string token(int Index) const;

  /// The first \p Count tokens, concatenated.
  std::string text(int Count) const;

private:
  std::string PromptDigest_;
};

} // namespace amaranth::standin

#endif
