#include "State/LatencyHistogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>
#include <numeric>

namespace amaranth::state {

namespace {

namespace histogram = boost::histogram;

constexpr double AxisStartSeconds = 1e-4;
constexpr int BinsPerDecade = 20;
constexpr int Decades = 6;
constexpr int Bins = BinsPerDecade * Decades;
/// Bins that are merged into one exported bucket, to keep the export short.
constexpr int BinsPerBucket = 5;

using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;
/// Cells that threads can increment concurrently.
using Cell = histogram::accumulators::count<std::uint64_t, true>;
using Histogram =
    histogram::histogram<std::tuple<Axis>, histogram::dense_storage<Cell>>;

/// Upper edge of \p Bin. Bin -1 holds the values below the axis.
double upperEdge(int Bin) {
  return AxisStartSeconds *
         std::pow(10.0, static_cast<double>(Bin + 1) / BinsPerDecade);
}

double toSeconds(std::chrono::nanoseconds Duration) {
  return std::chrono::duration<double>(Duration).count();
}

Microseconds toMicroseconds(double Seconds) {
  return std::chrono::round<Microseconds>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

struct LatencyHistogram::Implementation {
  Histogram Histogram_{
      std::make_tuple(Axis(Bins, AxisStartSeconds, upperEdge(Bins - 1)))};
};

LatencyHistogram::LatencyHistogram()
    : Implementation_(std::make_unique<Implementation>()) {}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(std::chrono::nanoseconds Latency) {
  Latency = std::max(Latency, std::chrono::nanoseconds{0});
  Implementation_->Histogram_(toSeconds(Latency));
  auto Rounded = std::chrono::round<Microseconds>(Latency);
  SumMicroseconds_.fetch_add(static_cast<std::uint64_t>(Rounded.count()),
                             std::memory_order_relaxed);
}

std::vector<std::uint64_t> LatencyHistogram::counts() const {
  std::vector<std::uint64_t> Counts;
  Counts.reserve(Bins + 2);
  for (int Bin = -1; Bin <= Bins; ++Bin)
    Counts.push_back(Implementation_->Histogram_.at(Bin).value());
  return Counts;
}

std::uint64_t LatencyHistogram::count() const {
  std::vector<std::uint64_t> Counts = counts();
  return std::accumulate(Counts.begin(), Counts.end(), std::uint64_t{0});
}

std::optional<Microseconds> LatencyHistogram::quantile(double Rank) const {
  assert(Rank >= 0 && Rank <= 1);
  std::vector<std::uint64_t> Counts = counts();
  auto TotalCount =
      std::accumulate(Counts.begin(), Counts.end(), std::uint64_t{0});
  if (TotalCount == 0)
    return std::nullopt;
  double RankCount = Rank * static_cast<double>(TotalCount);
  double CountBelow = 0;
  for (int Bin = -1; Bin < Bins; ++Bin) {
    auto BinCount =
        static_cast<double>(Counts[static_cast<std::size_t>(Bin + 1)]);
    if (BinCount > 0 && CountBelow + BinCount >= RankCount) {
      // Assumes that the latencies in a bin are spread evenly on the
      // logarithmic axis.
      double BinFraction = std::max(0.0, RankCount - CountBelow) / BinCount;
      return toMicroseconds(
          upperEdge(Bin - 1) *
          std::pow(10.0, BinFraction / static_cast<double>(BinsPerDecade)));
    }
    CountBelow += BinCount;
  }
  return toMicroseconds(upperEdge(Bins - 1));
}

LatencyBuckets LatencyHistogram::buckets() const {
  std::vector<std::uint64_t> Counts = counts();
  LatencyBuckets Result;
  std::uint64_t TotalCount = 0;
  for (int Bin = -1; Bin < Bins; ++Bin) {
    TotalCount += Counts[static_cast<std::size_t>(Bin + 1)];
    if ((Bin + 1) % BinsPerBucket == 0)
      Result.Buckets_.push_back({upperEdge(Bin), TotalCount});
  }
  TotalCount += Counts.back();
  Result.Buckets_.push_back(
      {std::numeric_limits<double>::infinity(), TotalCount});
  Result.SumSeconds_ =
      static_cast<double>(SumMicroseconds_.load(std::memory_order_relaxed)) /
      1e6;
  return Result;
}

} // namespace amaranth::state
