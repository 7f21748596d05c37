/// \file
/// A caller of pipelines.
#ifndef AMARANTH_TESTS_INTEGRATION_PROMPTCALLER_H
#define AMARANTH_TESTS_INTEGRATION_PROMPTCALLER_H

#include "Support/Time.h"

#include <functional>
#include <string>

namespace amaranth::integration {

/// A request to a pipeline.
struct Prompt {
  std::string Text_;
  int MaxTokens_ = 40;
  bool Stream_ = false;
  Milliseconds Timeout_{20000};
  std::function<void(int Index)> OnToken_; ///< For streams.
};

/// The answer as the caller received it.
struct PromptAnswer {
  int Status_ = 0;
  std::string Text_;
  bool Complete_ = false; ///< A whole answer, or a stream with its end event.
  int TokenCount_ = 0;    ///< Tokens, as the answer says.
  std::string Digest_;    ///< From the end event.
  int Attempts_ = 0;      ///< Of the first stage; not known for streams.
  std::string Outcome_;   ///< Of the problem or error event.
  std::string Detail_;

  /// The whole answer that the engine stand-in generates for \p Request.
  bool isAnswerTo(const Prompt &Request) const;
};

/// Sends one request on a new connection, as docs/api.md says.
PromptAnswer askPrompt(const std::string &Host, const Prompt &Request);

} // namespace amaranth::integration

#endif
