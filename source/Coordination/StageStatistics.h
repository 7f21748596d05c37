/// \file
/// Recent durations of stages.
#ifndef AMARANTH_COORDINATION_STAGESTATISTICS_H
#define AMARANTH_COORDINATION_STAGESTATISTICS_H

#include "Support/Time.h"

#include <array>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace amaranth::coordination {

/// Quantiles of the last durations of each key (a stage and a size). Uses a
/// short window of exact values, because hedging must follow a change of load
/// within seconds. Thread-safe.
class StageStatistics final {
public:
  void record(const std::string &Key, Microseconds Duration);

  /// Returns the quantile \p Fraction (0 to less than 1) of \p Key, or none
  /// with fewer than MinSamples durations.
  std::optional<Microseconds> quantile(const std::string &Key, double Fraction);

  static constexpr std::size_t MinSamples = 20;

private:
  static constexpr std::size_t WindowSize = 256;

  struct Window {
    std::array<Microseconds, WindowSize> Durations_{};
    std::size_t Count_ = 0; ///< Durations recorded in total.
  };

  std::mutex Mutex_;
  std::map<std::string, Window> Windows_;
};

} // namespace amaranth::coordination

#endif
