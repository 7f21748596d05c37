/// \file
/// Reads and validates the requests of callers.
#ifndef AMARANTH_PROTOCOL_CALLERAPI_H
#define AMARANTH_PROTOCOL_CALLERAPI_H

#include "Support/Error.h"
#include "Support/Time.h"
#include "Transport/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace amaranth::protocol {

/// Limits on the requests of callers.
struct CallerLimits {
  std::size_t MaxInputBytes_ = 4 * 1024 * 1024;
  int MaxTokens_ = 32768;
  Milliseconds MinTimeout_{1};
  Milliseconds MaxTimeout_{600000};
};

/// Body of a request to a pipeline.
struct PipelineRequest {
  std::string Input_;
  int MaxTokens_ = 64;
  bool Stream_ = false;
};

/// Body of a request to a plain service.
struct PlainRequest {
  std::string Call_;
  std::string Body_; ///< JSON text passed on to the target.
};

/// Headers that apply to every request.
struct CallerHeaders {
  std::string BearerKey_;
  std::string IdempotencyKey_;          ///< Empty if absent.
  std::optional<Milliseconds> Timeout_; ///< Request-Timeout-Ms.
  std::string TraceParent_;             ///< Empty if absent or malformed.
};

/// Reads the headers; InvalidArgument on a malformed timeout,
/// Unauthenticated without a bearer key.
Result<CallerHeaders> readCallerHeaders(const transport::HttpHeaders &Headers,
                                        const CallerLimits &Limits);

/// Reads a pipeline request; InvalidArgument says which field is wrong.
Result<PipelineRequest> readPipelineRequest(std::string_view Body,
                                            const CallerLimits &Limits);

/// Reads a plain-service request; InvalidArgument says which field is wrong.
Result<PlainRequest> readPlainRequest(std::string_view Body);

} // namespace amaranth::protocol

#endif
