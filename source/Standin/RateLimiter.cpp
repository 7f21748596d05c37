#include "Standin/RateLimiter.h"

#include <algorithm>

namespace amaranth::standin {

RateLimiter::RateLimiter(int PerSecond)
    : Interval_(PerSecond > 0 ? Microseconds{Seconds{1}} / PerSecond
                              : Microseconds{0}) {}

SteadyTime RateLimiter::reserve() {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = SteadyClock::now();
  SteadyTime Mine = std::max(Now, Next_);
  Next_ = Mine + Interval_;
  return Mine;
}

} // namespace amaranth::standin
