/// \file
/// A sustained rate above which calls wait.
#ifndef AMARANTH_STANDIN_RATELIMITER_H
#define AMARANTH_STANDIN_RATELIMITER_H

#include "Support/Time.h"

#include <mutex>

namespace amaranth::standin {

/// Spaces calls evenly at a rate; calls above it queue up. Thread-safe.
class RateLimiter final {
public:
  /// \p PerSecond 0 means no limit.
  explicit RateLimiter(int PerSecond);

  /// The time at which the next call may be served.
  SteadyTime reserve();

private:
  Microseconds Interval_;
  std::mutex Mutex_;
  SteadyTime Next_;
};

} // namespace amaranth::standin

#endif
