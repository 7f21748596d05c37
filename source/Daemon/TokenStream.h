/// \file
/// Server-sent events towards a caller.
#ifndef AMARANTH_DAEMON_TOKENSTREAM_H
#define AMARANTH_DAEMON_TOKENSTREAM_H

#include "Protocol/Problem.h"
#include "Protocol/StageClient.h"
#include "Transport/HttpMessage.h"

namespace amaranth::daemon {

/// Writes tokens as they come, then either the end with count and digest, or
/// the problem. A caller that sees neither knows that the answer was cut.
class TokenStream final : public protocol::TokenListener {
public:
  explicit TokenStream(transport::ChunkSink &Sink);

  bool onToken(int Index, const std::string &Text) override;

  void finish(const protocol::PipelineData &Data);
  void fail(const protocol::Problem &Problem);

private:
  bool send(const char *Event, const std::string &Data);

  transport::ChunkSink &Sink_;
};

} // namespace amaranth::daemon

#endif
