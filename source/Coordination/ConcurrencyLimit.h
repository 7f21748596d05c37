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
  double Max_ = 256;
  double Initial_ = 32; ///< Also the least value while requests do not wait.
  /// Average wait at targets from which the limit leaves hardly any queue.
  Milliseconds MaxWait_{100};
  /// Average wait below which the targets have room.
  Milliseconds RoomWait_{20};
};

/// Keeps the queue here, where it is fair and can still be refused, instead of
/// at the targets. By Little's law the requests being served at targets,
/// without those waiting there, are the rate of completed work times its best
/// pace; the limit is a multiple of that number, large while requests do not
/// wait, so that a sudden peak is served, and small while they do. Changing the
/// limit step by step instead oscillates, because a wait is seen only after it
/// has ended. Not thread-safe.
class ConcurrencyLimit final {
public:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings &Settings);

  /// Records a completed request of \p Cost. Requests of different \p Kind are
  /// not compared.
  void record(const std::string &Kind, double Cost, Microseconds Duration,
              SteadyTime Now);

  /// Requests that may run at once.
  double value() const { return Value_; }

private:
  ConcurrencyLimitSettings Settings_;
  double Value_;
  double WaitSeconds_ = 0; ///< Moving average.
  double Served_ = 0;      ///< Average number of requests being served.
  SteadyTime ServedTime_{};
  std::map<std::string, double> BestPace_; ///< Seconds per unit of cost.
};

} // namespace amaranth::coordination

#endif
