/// \file
/// Client of encoder, retriever and reranker pools.
#ifndef AMARANTH_PROTOCOL_POOLCLIENT_H
#define AMARANTH_PROTOCOL_POOLCLIENT_H

#include "Protocol/StageClient.h"

#include <atomic>
#include <cstdint>

namespace amaranth::protocol {

/// Runs Encode, Retrieve and Rerank attempts. Thread-safe.
class PoolClient final : public StageClient {
public:
  explicit PoolClient(transport::HttpClient &Client);

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
