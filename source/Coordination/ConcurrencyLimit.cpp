#include "Coordination/ConcurrencyLimit.h"

#include <algorithm>

namespace amaranth::coordination {

namespace {

/// Weight of a new duration in the congestion average.
constexpr double SampleWeight = 0.05;

/// Bound on one duration, so that a few stragglers, which the router avoids,
/// are not taken for a queue at all targets.
constexpr double MaxRatio = 5;

/// Rise of the best pace with each sample, so that it follows a real change.
constexpr double BestPaceRise = 0.002;

/// Fall towards a faster sample; a single fast one, from a cached prompt, does
/// not make all others look congested.
constexpr double BestPaceFall = 0.1;

constexpr double DecreaseFactor = 0.9;

/// Part of the limit in use from which growth makes sense.
constexpr double FullShare = 0.9;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitSettings &Settings)
    : Settings_(Settings), Value_(Settings.Max_) {}

void ConcurrencyLimit::record(const std::string &Service, double Cost,
                              Microseconds Duration, int InFlight,
                              SteadyTime Now) {
  double Pace =
      std::chrono::duration<double>(Duration).count() / std::max(1.0, Cost);
  auto [Known, New] = BestPace_.try_emplace(Service, Pace);
  double &Best = Known->second;
  if (!New)
    Best += (Pace < Best ? BestPaceFall : BestPaceRise) * (Pace - Best);
  Best = std::max(Best, 1e-9);
  double Ratio = std::min(MaxRatio, Pace / Best);
  Congestion_ += SampleWeight * (Ratio - Congestion_);
  if (Congestion_ > Settings_.CongestedFactor_) {
    if (Now - LastDecrease_ < Settings_.DecreasePeriod_)
      return;
    LastDecrease_ = Now;
    Value_ = std::max(Settings_.Min_, Value_ * DecreaseFactor);
    return;
  }
  if (InFlight >= Value_ * FullShare)
    Value_ = std::min(Settings_.Max_, Value_ + 1 / Value_);
}

} // namespace amaranth::coordination
