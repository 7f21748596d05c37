/// \file
/// Times of a host that stops.
#ifndef AMARANTH_COORDINATION_DRAINSCHEDULE_H
#define AMARANTH_COORDINATION_DRAINSCHEDULE_H

#include "Support/Time.h"

#include <optional>

namespace amaranth::coordination {

/// Settings of DrainSchedule.
struct DrainScheduleSettings {
  /// Time from the signal to stop until the process is killed.
  Milliseconds Grace_{8000};
  /// Callers cache the directory's answers for seconds, so a draining host
  /// takes new requests for this long, but at most for half of the grace
  /// period.
  Milliseconds AcceptTime_{3000};
  /// Requests in progress are ended this long before the end of the grace
  /// period.
  Milliseconds AnswerMargin_{1000};
  /// The process ends this long before the end of the grace period. The time
  /// from the end of the requests is for sending their answers.
  Milliseconds StopMargin_{700};
};

/// Decides which requests a draining host still takes and when it ends them, so
/// that none is cut off without an answer at the end of the grace period.
class DrainSchedule final {
public:
  explicit DrainSchedule(DrainScheduleSettings Settings)
      : Settings_(Settings) {}

  /// Only the first call has an effect.
  void begin(SteadyTime Now);
  bool hasBegun() const { return Begin_.has_value(); }

  /// Whether callers may open connections.
  bool acceptsConnections(SteadyTime Now) const;
  /// Whether a request that has been read whole at \p Now may be served. Its
  /// answer is due at \p Deadline.
  bool acceptsRequest(SteadyTime Now, SteadyTime Deadline) const;
  /// When requests in progress are ended; far in the future before begin().
  SteadyTime endRequestsAt() const;
  /// When the process ends; far in the future before begin().
  SteadyTime stopAt() const;

private:
  SteadyTime beforeEndOfGrace(Milliseconds Margin) const;

  DrainScheduleSettings Settings_;
  std::optional<SteadyTime> Begin_;
};

} // namespace amaranth::coordination

#endif
