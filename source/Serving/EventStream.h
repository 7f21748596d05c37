/// \file
/// Splits a stream of server-sent events into whole events.
#ifndef AMARANTH_SERVING_EVENTSTREAM_H
#define AMARANTH_SERVING_EVENTSTREAM_H

#include <cstdint>
#include <optional>
#include <string>

namespace amaranth::serving {

/// Splits a stream's bytes into whole events, so that an incomplete event is
/// never forwarded. When another target continues the stream, events with ids
/// that were already returned are skipped.
class EventStream final {
public:
  /// Limit for the bytes of one event.
  static constexpr std::size_t MaxEventBytes = 256 * 1024;

  /// Appends bytes and returns the events that are now complete, without those
  /// that were returned before.
  std::string addBytes(const std::string &Bytes);
  /// Whether the bytes of an incomplete event are buffered.
  bool hasPartialEvent() const { return !Pending_.empty(); }
  /// Bytes of the incomplete event.
  std::size_t pendingBytes() const { return Pending_.size(); }
  /// Discards the incomplete event; call before another target continues.
  void discardPartialEvent() { Pending_.clear(); }
  /// Id of the last event returned that had one.
  std::optional<std::uint64_t> lastEventId() const { return LastReturnedId_; }
  /// Whether any event has been returned.
  bool hasReturnedEvents() const { return HasReturnedEvents_; }

private:
  std::string Pending_;
  std::optional<std::uint64_t> LastReturnedId_;
  bool HasReturnedEvents_ = false;
};

} // namespace amaranth::serving

#endif
