/// \file
/// Client of plain services, whose calls run at one target and have no stages.
#ifndef AMARANTH_PROTOCOL_PLAINSERVICECLIENT_H
#define AMARANTH_PROTOCOL_PLAINSERVICECLIENT_H

#include "Protocol/StageClient.h"

#include <atomic>
#include <cstdint>
#include <string>

namespace amaranth::protocol {

/// One attempt of a plain call. Stage_ of \p Attempt_ is not used.
struct PlainServiceCall {
  StageCall Attempt_;
  std::string Name_; ///< Name of the call.
  std::string Body_; ///< JSON.
};

/// Result of a plain attempt.
struct PlainServiceReply {
  StageReply Reply_;
  std::string Body_; ///< The target's answer: JSON with Ok, else any text.
};

/// Makes one POST /v1/calls/{name}. Thread-safe.
class PlainServiceClient final {
public:
  explicit PlainServiceClient(transport::HttpClient &Client);

  PlainServiceReply run(const PlainServiceCall &Call);

  /// Replies that belonged to another request.
  std::uint64_t mismatches() const { return Mismatches_; }

private:
  transport::HttpClient &Client_;
  std::atomic<std::uint64_t> Mismatches_ = 0;
};

} // namespace amaranth::protocol

#endif
