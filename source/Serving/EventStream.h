/// \file
/// Whole events of a stream.
#ifndef AMARANTH_SERVING_EVENTSTREAM_H
#define AMARANTH_SERVING_EVENTSTREAM_H

#include <cstdint>
#include <optional>
#include <string>

namespace amaranth::serving {

/// Splits a stream's bytes at the ends of events, so that an event that a
/// target broke off is never passed on, and events that were passed on already
/// are left out when another target continues the stream.
class EventStream final {
public:
  /// Adds bytes and returns the whole events among all that is pending.
  std::string add(const std::string &Bytes);
  /// Bytes of an event that has not ended.
  bool hasPartialEvent() const { return !Pending_.empty(); }
  /// Another target continues: what was pending is void.
  void dropPartialEvent() { Pending_.clear(); }
  /// Id of the last whole event.
  std::optional<std::uint64_t> lastId() const { return LastId_; }
  bool started() const { return Started_; }

private:
  std::string Pending_;
  std::optional<std::uint64_t> LastId_;
  bool Started_ = false;
};

} // namespace amaranth::serving

#endif
