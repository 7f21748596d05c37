/// \file
/// A caller of a pipeline.
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

/// The answer that the caller received.
struct PromptAnswer {
  int Status_ = 0;
  std::string Text_;
  bool Complete_ = false; ///< Complete answer, or stream with end event.
  int TokenCount_ = 0;    ///< As the answer reports it.
  std::string Digest_;    ///< From the end event.
  int Attempts_ = 0;      ///< Of the first stage; 0 for streams.
  std::string Outcome_;   ///< From the problem body or the error event.
  std::string Detail_;

  /// True if this is the complete answer that the engine stand-in generates for
  /// \p Request.
  bool isAnswerTo(const Prompt &Request) const;
};

/// Sends one request on a new connection, as docs/api.md prescribes.
PromptAnswer askPrompt(const std::string &Host, const Prompt &Request);

} // namespace amaranth::integration

#endif
