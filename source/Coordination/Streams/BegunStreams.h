/// \file
/// The streams that a host began, with the versions that began them.
#ifndef AMARANTH_COORDINATION_STREAMS_BEGUNSTREAMS_H
#define AMARANTH_COORDINATION_STREAMS_BEGUNSTREAMS_H

#include "Coordination/Streams/ServiceVersions.h"
#include "Protocol/FleetMessages.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>

namespace amaranth::coordination {

/// Identifies a stream by its service and the request that brought its first
/// event.
std::uint64_t streamHash(const std::string &Service,
                         const std::string &RequestId);

/// Settings of BegunStreams.
struct BegunStreamsSettings {
  Milliseconds Window_ = StreamWindow;
  std::size_t MaxStreams_ = 50000; ///< The oldest are forgotten.
};

/// Keeps the streams of the window. Has no clock and no network.
class BegunStreams final {
public:
  explicit BegunStreams(BegunStreamsSettings Settings = {});

  /// A stream that is added again stays with the version that began it.
  void add(std::uint64_t Stream, const VersionName &Name, SteadyTime Now);
  /// The version that began \p Stream; nothing if it is not known.
  std::optional<std::string> find(std::uint64_t Stream, SteadyTime Now) const;
  void forgetOld(SteadyTime Now);
  /// The last \p MaxStreams streams of the services for which \p IsIncluded.
  protocol::StreamVersions
  record(const std::function<bool(const std::string &Service)> &IsIncluded,
         std::size_t MaxStreams, SteadyTime Now) const;

private:
  struct Stream {
    std::size_t Version_ = 0; ///< Index in Versions_.
    SteadyTime AddedAt_{};
  };
  struct Addition {
    std::uint64_t Stream_ = 0;
    SteadyTime At_{};
  };

  /// Removes the oldest addition, and the stream if it was not added again.
  void dropOldest();
  bool isCurrent(const Addition &Added) const;

  BegunStreamsSettings Settings_;
  std::vector<VersionName> Versions_;
  std::unordered_map<std::uint64_t, Stream> Streams_;
  std::deque<Addition> Additions_; ///< The oldest first.
};

} // namespace amaranth::coordination

#endif
