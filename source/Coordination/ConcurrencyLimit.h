/// \file
/// Adaptive concurrency limit.
#ifndef AMARANTH_COORDINATION_CONCURRENCYLIMIT_H
#define AMARANTH_COORDINATION_CONCURRENCYLIMIT_H

#include "Support/Time.h"

#include <map>
#include <string>

namespace amaranth::coordination {

/// Settings of ConcurrencyLimit.
struct ConcurrencyLimitSettings {
  double Min_ = 4;
  double Max_ = 128;
  /// Durations above this multiple of the best pace mean a queue at targets.
  double CongestedFactor_ = 3;
  Milliseconds DecreasePeriod_{200}; ///< Shortest time between decreases.
};

/// Keeps the queue here, where it is fair and can still be refused, instead of
/// at the targets: grows while durations stay near the best pace and shrinks
/// when they show a queue. Not thread-safe.
class ConcurrencyLimit final {
public:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings &Settings);

  /// Records a completed request of \p Cost with \p InFlight running at its
  /// end. Requests of different \p Service are not compared.
  void record(const std::string &Service, double Cost, Microseconds Duration,
              int InFlight, SteadyTime Now);

  /// Requests that may run at once.
  double value() const { return Value_; }

  /// Recent durations as a multiple of the best pace.
  double congestion() const { return Congestion_; }

private:
  ConcurrencyLimitSettings Settings_;
  double Value_;
  double Congestion_ = 1;
  SteadyTime LastDecrease_{};
  std::map<std::string, double> BestPace_; ///< Seconds per unit of cost.
};

} // namespace amaranth::coordination

#endif
