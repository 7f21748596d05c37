/// \file
/// Clock aliases shared by all libraries.
#ifndef AMARANTH_SUPPORT_TIME_H
#define AMARANTH_SUPPORT_TIME_H

#include <chrono>

namespace amaranth {

/// Monotonic time, for deadlines, leases and intervals inside one process.
using SteadyClock = std::chrono::steady_clock;
using SteadyTime = SteadyClock::time_point;

/// Wall-clock time, for values that are read by people or other processes.
using WallClock = std::chrono::system_clock;
using WallTime = WallClock::time_point;

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/// Time left until \p Deadline, never negative.
inline Milliseconds remaining(SteadyTime Deadline) {
  auto Left = std::chrono::ceil<Milliseconds>(Deadline - SteadyClock::now());
  return Left.count() > 0 ? Left : Milliseconds{0};
}

/// Milliseconds since the Unix epoch.
inline Milliseconds unixTimeNow() {
  return std::chrono::duration_cast<Milliseconds>(
      WallClock::now().time_since_epoch());
}

} // namespace amaranth

#endif
