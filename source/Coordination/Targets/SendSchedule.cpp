#include "Coordination/Targets/SendSchedule.h"

#include <algorithm>

namespace amaranth::coordination {

SendSchedule::SendSchedule(SendScheduleSettings Settings)
    : Settings_(Settings) {}

SendSchedule::Place SendSchedule::reserve(const std::string &Target,
                                          double PerSecond,
                                          SteadyClock::duration MaxDelay,
                                          SteadyTime Now) {
  double Rate =
      PerSecond > Settings_.MinPerSecond_ ? PerSecond : Settings_.MinPerSecond_;
  std::chrono::duration<double> Seconds(1 / Rate);
  auto Interval = std::chrono::ceil<SteadyClock::duration>(Seconds);
  // Another host may have given places until now: the first one here is an
  // interval later.
  auto [Entry, IsNew] = NextPlaces_.try_emplace(Target, Now + Interval);
  SteadyTime &NextPlace = Entry->second;
  SteadyTime PlaceAt =
      std::max(NextPlace, Now - (Settings_.Burst_ - 1) * Interval);
  SteadyClock::duration Delay =
      std::max(PlaceAt - Now, SteadyClock::duration(0));
  if (Delay > MaxDelay)
    return {false, Delay};
  NextPlace = PlaceAt + Interval;
  return {true, Delay};
}

void SendSchedule::forgetUnused(SteadyTime Now) {
  std::erase_if(NextPlaces_, [&](const auto &Item) {
    return Now - Item.second > Settings_.UnusedLifetime_;
  });
}

} // namespace amaranth::coordination
