/// \file
/// Latency histogram based on Boost.Histogram.
#ifndef AMARANTH_STATE_LATENCYHISTOGRAM_H
#define AMARANTH_STATE_LATENCYHISTOGRAM_H

#include "Support/Time.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace amaranth::state {

/// Cumulative bucket counts for export.
struct LatencyBuckets {
  struct Bucket {
    double UpperSeconds_; ///< Upper bound.
    std::uint64_t Count_; ///< Number of latencies up to the bound.
  };
  std::vector<Bucket> Buckets_; ///< Sorted by bound; the last is infinity.
  double SumSeconds_ = 0;
};

/// Counts latencies on a logarithmic axis from 0.1 ms to 100 s. Thread-safe;
/// recording takes no lock.
class LatencyHistogram final {
public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(const LatencyHistogram &) = delete;
  LatencyHistogram &operator=(const LatencyHistogram &) = delete;

  void record(std::chrono::nanoseconds Latency);

  std::uint64_t count() const;

  /// Estimates the quantile \p Rank (0 to 1) of the recorded latencies,
  /// accurate to one bin, which is 12 % wide. Latencies beyond the axis count
  /// as its end. Returns nothing if none was recorded.
  std::optional<Microseconds> quantile(double Rank) const;

  LatencyBuckets buckets() const;

private:
  struct Implementation;

  std::vector<std::uint64_t> counts() const;

  std::unique_ptr<Implementation> Implementation_;
  std::atomic<std::uint64_t> SumMicroseconds_ = 0;
};

} // namespace amaranth::state

#endif
