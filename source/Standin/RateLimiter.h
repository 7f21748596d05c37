/// \file
/// Limits the rate of calls by delaying them.
#ifndef AMARANTH_STANDIN_RATELIMITER_H
#define AMARANTH_STANDIN_RATELIMITER_H

#include "Support/Time.h"

#include <mutex>

namespace amaranth::standin {

/// Spaces calls evenly; calls above the rate wait in a queue. Thread-safe.
class RateLimiter final {
public:
  /// A \p PerSecond of 0 means no limit.
  explicit RateLimiter(int PerSecond);

  /// Reserves and returns the time at which the next call may be served.
  SteadyTime reserve();

private:
  Microseconds Interval_;
  std::mutex Mutex_;
  SteadyTime NextFree_;
};

} // namespace amaranth::standin

#endif
