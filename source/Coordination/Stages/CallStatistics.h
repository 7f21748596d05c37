/// \file
/// Averages over the calls to the targets of a stage service.
#ifndef AMARANTH_COORDINATION_STAGES_CALLSTATISTICS_H
#define AMARANTH_COORDINATION_STAGES_CALLSTATISTICS_H

#include "State/RoutingTable.h"
#include "Support/Time.h"

namespace amaranth::coordination {

/// Duration of a call with \p Pieces according to the configuration.
Milliseconds configuredCallTime(const state::StageCapacity &Capacity,
                                std::size_t Pieces);

/// Settings of CallStatistics.
struct CallStatisticsSettings {
  /// Weight of a new call in the averages.
  double CallWeight_ = 0.05;
};

/// Averages over the recent successful calls of one stage service. Calls take
/// longer than configured, and are less full if storage for results is short.
/// Not thread-safe.
class CallStatistics final {
public:
  explicit CallStatistics(CallStatisticsSettings Settings = {});

  /// Records a call that completed \p Pieces. \p Saturated means that a full
  /// call still waited when it was composed.
  void add(const state::StageCapacity &Capacity, std::size_t Pieces,
           bool Saturated, Milliseconds Elapsed);
  /// Pieces completed in a time by saturated calls, relative to full calls
  /// according to the configuration.
  double yield() const { return Yield_; }

private:
  CallStatisticsSettings Settings_;
  double Yield_ = 1;
};

} // namespace amaranth::coordination

#endif
