/// \file
/// Streams a reply to a caller as server-sent events.
#ifndef AMARANTH_DAEMON_TOKENSTREAM_H
#define AMARANTH_DAEMON_TOKENSTREAM_H

#include "Protocol/Problem.h"
#include "Protocol/StageClient.h"
#include "Transport/HttpMessage.h"

namespace amaranth::daemon {

/// Writes a `token` event for each token, then either an `end` event with token
/// count and digest or an `error` event. A stream without `end` and `error`
/// tells the caller that the reply was cut off.
class TokenStream final : public protocol::TokenListener {
public:
  explicit TokenStream(transport::ChunkSink &Sink);

  bool onToken(int Index, const std::string &Text) override;

  void finish(const protocol::PipelineData &Data);
  void fail(const protocol::Problem &Problem);

private:
  /// False if the connection to the caller is closed.
  bool writeEvent(const char *Event, const std::string &Data);

  transport::ChunkSink &Sink_;
};

} // namespace amaranth::daemon

#endif
