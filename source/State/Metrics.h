/// \file
/// Counters, gauges and latency histograms with Prometheus text export.
#ifndef AMARANTH_STATE_METRICS_H
#define AMARANTH_STATE_METRICS_H

#include "State/LatencyHistogram.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <shared_mutex>
#include <string>
#include <tuple>
#include <vector>

namespace amaranth::state {

/// One label of a series.
struct MetricLabel {
  std::string Name_;
  std::string Value_;

  bool operator<(const MetricLabel &Other) const {
    return std::tie(Name_, Value_) < std::tie(Other.Name_, Other.Value_);
  }
};

using MetricLabels = std::vector<MetricLabel>;

/// A counter that never decreases. Thread-safe.
class Counter final {
public:
  void add(std::uint64_t Amount = 1) {
    Value_.fetch_add(Amount, std::memory_order_relaxed);
  }
  std::uint64_t value() const { return Value_.load(std::memory_order_relaxed); }

private:
  std::atomic<std::uint64_t> Value_ = 0;
};

/// A value that can increase and decrease. Thread-safe.
class Gauge final {
public:
  void set(double Value) { Value_.store(Value, std::memory_order_relaxed); }
  void add(double Amount) {
    Value_.fetch_add(Amount, std::memory_order_relaxed);
  }
  double value() const { return Value_.load(std::memory_order_relaxed); }

private:
  std::atomic<double> Value_ = 0;
};

/// Settings of Metrics.
struct MetricsSettings {
  /// Maximum number of label sets of one metric. Further ones share a series
  /// labelled overflow="true", so that labels from callers cannot exhaust
  /// memory.
  std::size_t MaxSeries_ = 4096;
};

/// Registry of the metrics of one process. A lookup takes a shared lock and
/// compares strings; code that updates a metric often should keep the
/// reference, which is valid as long as the registry. A name can be used for
/// one type of metric only. Thread-safe.
class Metrics final {
public:
  explicit Metrics(const MetricsSettings &Settings);
  Metrics(const Metrics &) = delete;
  Metrics &operator=(const Metrics &) = delete;

  /// Returns the counter \p Name with \p Labels, whose order does not matter;
  /// creates it if needed.
  Counter &counter(const std::string &Name, MetricLabels Labels = {});
  Gauge &gauge(const std::string &Name, MetricLabels Labels = {});
  /// The values are exported in seconds, so \p Name must end in "_seconds".
  LatencyHistogram &latency(const std::string &Name, MetricLabels Labels = {});

  /// Sets the help text of the metric \p Name.
  void describe(const std::string &Name, std::string Help);

  /// Formats all metrics in the Prometheus text format.
  std::string exportText() const;

private:
  template <typename T>
  using Series = std::map<MetricLabels, std::unique_ptr<T>>;
  template <typename T> using Families = std::map<std::string, Series<T>>;

  template <typename T>
  T &findOrCreate(Families<T> &FamiliesOfType, const std::string &Name,
                  MetricLabels Labels);
  template <typename T>
  T &create(Families<T> &FamiliesOfType, const std::string &Name,
            MetricLabels Labels);
  bool isRegistered(const std::string &Name) const;
  void appendHeader(std::string &Text, const std::string &Name,
                    const char *Type) const;

  MetricsSettings Settings_;
  mutable std::shared_mutex Mutex_;
  Families<Counter> Counters_;
  Families<Gauge> Gauges_;
  Families<LatencyHistogram> Latencies_;
  std::map<std::string, std::string> Help_;
};

} // namespace amaranth::state

#endif
