#include "Coordination/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace amaranth::coordination {

namespace {

/// Weight of a new wait in the moving average.
constexpr double SampleWeight = 0.05;

/// Bound on one wait, as a multiple of the largest average, so that a few
/// stragglers, which the router avoids, are not taken for a queue at all
/// targets.
constexpr double MaxWaitFactor = 4;

/// Rise of the best pace with each sample, so that it follows a real change.
constexpr double BestPaceRise = 0.002;

/// Fall towards a faster sample; a single fast one, from a cached prompt, does
/// not make all others look late.
constexpr double BestPaceFall = 0.1;

/// Time over which the served requests are averaged.
constexpr double WindowSeconds = 1;

/// The limit as a multiple of the served requests, with and without room.
constexpr double RoomGain = 2;
constexpr double FullGain = 1.15;

/// Requests above the multiple, so that a small limit can grow.
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
  auto [Known, New] = BestPace_.try_emplace(Kind, Pace);
  double &Best = Known->second;
  if (!New)
    Best += (Pace < Best ? BestPaceFall : BestPaceRise) * (Pace - Best);
  double MaxWait = seconds(Settings_.MaxWait_);
  double RoomWait = seconds(Settings_.RoomWait_);
  double Wait = std::clamp((Pace - Best) * Cost, 0.0, MaxWait * MaxWaitFactor);
  WaitSeconds_ += SampleWeight * (Wait - WaitSeconds_);
  Served_ *= std::exp(-seconds(Now - ServedTime_) / WindowSeconds);
  Served_ += Best * Cost / WindowSeconds;
  ServedTime_ = Now;
  double Room =
      std::clamp((MaxWait - WaitSeconds_) / (MaxWait - RoomWait), 0.0, 1.0);
  double Gain = FullGain + Room * (RoomGain - FullGain);
  double Least = Settings_.Min_ +
                 Room * std::max(0.0, Settings_.Initial_ - Settings_.Min_);
  Value_ = std::max(Least, Served_ * Gain + Slack);
  Value_ = std::min(Settings_.Max_, Value_);
}

} // namespace amaranth::coordination
