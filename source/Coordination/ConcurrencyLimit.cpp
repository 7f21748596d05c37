#include "Coordination/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace amaranth::coordination {

namespace {

/// Weight of a new wait in the moving average.
constexpr double SampleWeight = 0.05;

/// Bound on one wait, as a multiple of MaxWait_, so that a few stragglers,
/// which the router avoids, are not mistaken for a queue at all targets.
constexpr double MaxWaitFactor = 4;

/// Weight of a slower sample in the best pace, so that it follows a lasting
/// change.
constexpr double BestPaceRise = 0.002;

/// Weight of a faster sample. Less than 1, so that a single fast request with a
/// cached prompt does not make all others look delayed.
constexpr double BestPaceFall = 0.1;

/// Time constant of the average number of requests in service.
constexpr double WindowSeconds = 1;

/// The limit as a multiple of the requests in service, while requests do not
/// wait and from MaxWait_ on.
constexpr double LowWaitGain = 2;
constexpr double MaxWaitGain = 1.15;

/// Added to the multiple, so that a small limit can grow.
constexpr double Slack = 4;

double seconds(SteadyClock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitSettings &Settings)
    : Settings_(Settings), Value_(std::min(Settings.Initial_, Settings.Max_)) {}

void ConcurrencyLimit::record(const std::string &Kind, double Cost,
                              Microseconds Duration, SteadyTime Now) {
  Cost = std::max(1.0, Cost);
  double Pace = seconds(Duration) / Cost;
  auto [BestEntry, IsNew] = BestPace_.try_emplace(Kind, Pace);
  double &BestPace = BestEntry->second;
  if (!IsNew)
    BestPace +=
        (Pace < BestPace ? BestPaceFall : BestPaceRise) * (Pace - BestPace);
  double MaxWait = seconds(Settings_.MaxWait_);
  double LowWait = seconds(Settings_.LowWait_);
  double Wait =
      std::clamp((Pace - BestPace) * Cost, 0.0, MaxWait * MaxWaitFactor);
  WaitSeconds_ += SampleWeight * (Wait - WaitSeconds_);
  InService_ *= std::exp(-seconds(Now - InServiceUpdatedAt_) / WindowSeconds);
  InService_ += BestPace * Cost / WindowSeconds;
  InServiceUpdatedAt_ = Now;
  double SpareShare =
      std::clamp((MaxWait - WaitSeconds_) / (MaxWait - LowWait), 0.0, 1.0);
  double Gain = MaxWaitGain + SpareShare * (LowWaitGain - MaxWaitGain);
  double MinLimit =
      Settings_.Min_ +
      SpareShare * std::max(0.0, Settings_.Initial_ - Settings_.Min_);
  Value_ = std::max(MinLimit, InService_ * Gain + Slack);
  Value_ = std::min(Settings_.Max_, Value_);
}

} // namespace amaranth::coordination
