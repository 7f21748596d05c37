/// \file
/// Client of model engines.
#ifndef AMARANTH_PROTOCOL_ENGINECLIENT_H
#define AMARANTH_PROTOCOL_ENGINECLIENT_H

#include "Protocol/StageClient.h"

#include <atomic>
#include <cstdint>

namespace amaranth::protocol {

/// The prompt of a Generate stage: the texts of the documents, each on a line,
/// then the input.
std::string generatePrompt(const PipelineData &Data);

/// Runs Generate attempts. Tokens with an index already received are skipped, a
/// gap ends the attempt, and the count and digest at the end of the stream are
/// checked against all text, including that kept from earlier attempts.
/// Thread-safe.
class EngineClient final : public StageClient {
public:
  explicit EngineClient(transport::HttpClient &Client);

  StageReply run(const StageCall &Call, PipelineData &Data,
                 TokenListener *Listener) override;

  /// Replies that belonged to another request.
  std::uint64_t mismatches() const { return Mismatches_; }

private:
  transport::HttpClient &Client_;
  std::atomic<std::uint64_t> Mismatches_ = 0;
};

} // namespace amaranth::protocol

#endif
