/// \file
/// Client of a streamed completion of an engine.
#ifndef AMARANTH_TESTS_INTEGRATION_COMPLETIONSTREAM_H
#define AMARANTH_TESTS_INTEGRATION_COMPLETIONSTREAM_H

#include "Transport/HttpClient.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>

namespace amaranth::integration {

/// Makes one call of POST /v1/completions and collects its events. The timeout,
/// the cancel token and the callback are set before run().
class CompletionStream final {
public:
  /// Adds "stream": true to \p Body.
  CompletionStream(std::string Address, nlohmann::json Body);

  Milliseconds ProgressTimeout_{30000};
  transport::CancelToken *Cancel_ = nullptr;
  std::function<void(int Index)> OnToken_;

  /// Makes the call and blocks until the stream ends.
  void run();

  transport::HttpOutcome Outcome_;
  std::string Text_; ///< Concatenated tokens.
  int ReceivedTokens_ = 0;
  std::optional<int> FirstIndex_;
  std::optional<int> ReportedTokens_; ///< From the end event.
  std::string Digest_;                ///< From the end event.
  bool Done_ = false;                 ///< The [DONE] line arrived.

private:
  void parseEvents(std::string_view Chunk);
  void handleEvent(const std::string &Data);

  std::string Address_;
  nlohmann::json Body_;
  std::string UnparsedBytes_;
};

} // namespace amaranth::integration

#endif
