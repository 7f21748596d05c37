#include "Standin/RateLimiter.h"

#include <algorithm>

namespace amaranth::standin {

RateLimiter::RateLimiter(int PerSecond)
    : Interval_(PerSecond > 0 ? Microseconds{Seconds{1}} / PerSecond
                              : Microseconds{0}) {}

SteadyTime RateLimiter::reserve() {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = SteadyClock::now();
  SteadyTime Reserved = std::max(Now, NextFree_);
  NextFree_ = Reserved + Interval_;
  return Reserved;
}

} // namespace amaranth::standin
