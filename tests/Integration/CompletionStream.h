/// \file
/// A streamed completion of an engine, as a test receives it.
#ifndef AMARANTH_TESTS_INTEGRATION_COMPLETIONSTREAM_H
#define AMARANTH_TESTS_INTEGRATION_COMPLETIONSTREAM_H

#include "Transport/HttpClient.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <optional>
#include <string>

namespace amaranth::integration {

/// Runs one call of POST /v1/completions and collects its events. Set the
/// fields before run().
class CompletionStream final {
public:
  /// \p Body gets "stream": true.
  CompletionStream(std::string Address, nlohmann::json Body);

  Milliseconds ProgressTimeout_{30000};
  transport::CancelToken *Cancel_ = nullptr;
  std::function<void(int Index)> OnToken_;

  /// Blocks until the stream ends.
  void run();

  transport::HttpOutcome Outcome_;
  std::string Text_; ///< Tokens received, joined.
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
