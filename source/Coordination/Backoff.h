/// \file
/// Delays between retries.
#ifndef AMARANTH_COORDINATION_BACKOFF_H
#define AMARANTH_COORDINATION_BACKOFF_H

#include "Support/Time.h"

#include <cstdint>
#include <mutex>
#include <random>

namespace amaranth::coordination {

/// Exponential backoff with full jitter, so that requests that failed at the
/// same time do not retry at the same time. Thread-safe.
class Backoff final {
public:
  /// \p Base doubles with each retry, up to \p Limit.
  Backoff(Milliseconds Base, Milliseconds Limit, std::uint64_t Seed);

  /// Random delay before retry \p Retry, counted from 0.
  Milliseconds next(int Retry);

private:
  Milliseconds Base_;
  Milliseconds Limit_;
  std::mutex Mutex_;
  std::mt19937_64 Random_;
};

} // namespace amaranth::coordination

#endif
