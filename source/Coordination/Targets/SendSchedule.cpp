#include "Coordination/Targets/SendSchedule.h"

#include <algorithm>

namespace amaranth::coordination {

SendSchedule::SendSchedule(SendScheduleSettings Settings)
    : Settings_(Settings) {}

SteadyClock::duration SendSchedule::interval(double PerSecond) const {
  double Rate =
      PerSecond > Settings_.MinPerSecond_ ? PerSecond : Settings_.MinPerSecond_;
  std::chrono::duration<double> Seconds(1 / Rate);
  return std::chrono::ceil<SteadyClock::duration>(Seconds);
}

SteadyTime SendSchedule::nextPlace(const std::string &Target,
                                   SteadyClock::duration Interval,
                                   SteadyTime Now) {
  // Another host may have given places until now: the first one here is an
  // interval later.
  auto [Entry, IsNew] = LastPlaces_.try_emplace(Target, Now);
  return std::max(Entry->second + Interval,
                  Now - (Settings_.Burst_ - 1) * Interval);
}

SendSchedule::Place SendSchedule::reserve(const std::string &Target,
                                          double PerSecond,
                                          SteadyClock::duration MaxDelay,
                                          SteadyTime Now) {
  SteadyClock::duration Interval = interval(PerSecond);
  SteadyTime PlaceAt = nextPlace(Target, Interval, Now);
  SteadyClock::duration Delay =
      std::max(PlaceAt - Now, SteadyClock::duration(0));
  if (Delay > MaxDelay)
    return {false, Delay};
  LastPlaces_[Target] = PlaceAt;
  return {true, Delay};
}

SteadyClock::duration SendSchedule::timeToPlace(const std::string &Target,
                                                double PerSecond,
                                                SteadyTime Now) {
  SteadyTime PlaceAt = nextPlace(Target, interval(PerSecond), Now);
  return std::max(PlaceAt - Now, SteadyClock::duration(0));
}

void SendSchedule::forgetUnused(SteadyTime Now) {
  std::erase_if(LastPlaces_, [&](const auto &Item) {
    return Now - Item.second > Settings_.UnusedLifetime_;
  });
}

} // namespace amaranth::coordination
