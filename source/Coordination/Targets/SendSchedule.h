/// \file
/// Schedule of the requests for targets that state a limit.
#ifndef AMARANTH_COORDINATION_TARGETS_SENDSCHEDULE_H
#define AMARANTH_COORDINATION_TARGETS_SENDSCHEDULE_H

#include "Support/Time.h"

#include <map>
#include <string>

namespace amaranth::coordination {

/// Settings of SendSchedule.
struct SendScheduleSettings {
  /// Requests that a target may get at once after a pause.
  int Burst_ = 2;
  /// Rate assumed at least, so that a target that accepts nothing still gets a
  /// request from time to time, which shows whether its limit has ended.
  double MinPerSecond_ = 0.25;
  /// A target without requests for this long is forgotten.
  Milliseconds UnusedLifetime_{60000};
};

/// Gives requests for limited targets their places in time, at the rate that
/// each target states. One host keeps the schedule of a target for the whole
/// fleet: shares for each host would be far below one request in the time in
/// which a limit is counted.
class SendSchedule final {
public:
  /// A place for a request.
  struct Place {
    bool Granted_ = false;
    /// Time until the place that was granted, or until the next free one.
    SteadyClock::duration Delay_{0};
  };

  explicit SendSchedule(SendScheduleSettings Settings = {});

  /// Takes the next place at \p Target, which accepts \p PerSecond requests a
  /// second, unless it is later than \p MaxDelay.
  Place reserve(const std::string &Target, double PerSecond,
                SteadyClock::duration MaxDelay, SteadyTime Now);
  /// Time until the next free place at \p Target, which is not taken.
  SteadyClock::duration timeToPlace(const std::string &Target, double PerSecond,
                                    SteadyTime Now);
  /// Interval between the places at \p PerSecond requests a second.
  SteadyClock::duration interval(double PerSecond) const;
  void forgetUnused(SteadyTime Now);

private:
  /// Time of the next free place.
  SteadyTime nextPlace(const std::string &Target,
                       SteadyClock::duration Interval, SteadyTime Now);

  SendScheduleSettings Settings_;
  /// Time of the last place, by target. The next one is an interval later at
  /// the limit that is in force then.
  std::map<std::string, SteadyTime> LastPlaces_;
};

} // namespace amaranth::coordination

#endif
