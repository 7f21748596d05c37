/// \file
/// Versions of the streams that this host began.
#ifndef AMARANTH_SERVING_LOCALSTREAMORIGINS_H
#define AMARANTH_SERVING_LOCALSTREAMORIGINS_H

#include "Coordination/Streams/StreamVersionTable.h"
#include "Serving/StreamOrigins.h"

namespace amaranth::serving {

/// Answers from this host's memory, without a network.
class LocalStreamOrigins final : public StreamOrigins {
public:
  transport::Awaitable<std::optional<std::string>>
  findVersion(std::string Service, std::string RequestId,
              SteadyTime Deadline) override;
  void onStreamBegun(const std::string &Service, const std::string &RequestId,
                     const std::string &Version) override;

  coordination::StreamVersionTable &table() { return Table_; }

private:
  coordination::StreamVersionTable Table_;
};

} // namespace amaranth::serving

#endif
