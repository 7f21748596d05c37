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
  double Initial_ = 32; ///< Also the minimum while requests do not wait.
  /// Average wait at targets from which the limit allows almost no queue there.
  Milliseconds MaxWait_{100};
  /// Average wait below which the targets have spare capacity.
  Milliseconds LowWait_{20};
};

/// Limits the requests at the targets, so that the others wait here, where the
/// queue is fair and requests can still be refused. By Little's law the number
/// of requests in service at targets, without those waiting there, is the rate
/// of completed work times its best pace (seconds per unit of cost). The limit
/// is a multiple of that number: large while requests do not wait, so that a
/// sudden peak is served, and small while they do. Changing the limit step by
/// step instead oscillates, because a wait is known only after it has ended.
/// Not thread-safe.
class ConcurrencyLimit final {
public:
  explicit ConcurrencyLimit(const ConcurrencyLimitSettings &Settings);

  /// Records a completed request of \p Cost. The best pace is kept for each
  /// \p Kind.
  void record(const std::string &Kind, double Cost, Microseconds Duration,
              SteadyTime Now);

  /// Requests that may run at once.
  double value() const { return Value_; }

private:
  ConcurrencyLimitSettings Settings_;
  double Value_;
  double WaitSeconds_ = 0; ///< Moving average.
  double InService_ = 0;   ///< Average number of requests in service.
  SteadyTime InServiceUpdatedAt_{};
  /// Seconds per unit of cost, by kind.
  std::map<std::string, double> BestPace_;
};

} // namespace amaranth::coordination

#endif
