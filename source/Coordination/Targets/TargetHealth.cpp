#include "Coordination/Targets/TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace amaranth::coordination {

namespace {

/// Failures in a row after which a target that breaks requests is avoided.
constexpr int BrokenThreshold = 2;
/// Targets unused for this long are forgotten.
constexpr Seconds UnusedLifetime{60};

double milliseconds(SteadyClock::duration Time) {
  return std::chrono::duration<double, std::milli>(Time).count();
}

} // namespace

TargetHealth::TargetHealth(TargetHealthSettings Settings)
    : Settings_(Settings) {}

void TargetHealth::begin(const std::string &Id) { ++Targets_[Id].InFlight_; }

void TargetHealth::cancelled(const std::string &Id) {
  Entry &Of = Targets_[Id];
  if (Of.InFlight_ > 0)
    --Of.InFlight_;
}

void TargetHealth::end(const std::string &Id, TargetResult Result,
                       Milliseconds Duration, SteadyTime Now) {
  cancelled(Id);
  Entry &Of = Targets_[Id];
  double Fade = fading(Of, Now);
  Of.Failures_ *= Fade;
  double Weight = Settings_.Smoothing_;
  bool Good = Result == TargetResult::Good || Result == TargetResult::Full;
  Of.Failures_ = Of.Failures_ * (1 - Weight) + (Good ? 0 : Weight);
  if (Result == TargetResult::Good) {
    double Took = static_cast<double>(Duration.count());
    Of.Duration_ =
        Of.Duration_ == 0 ? Took : Of.Duration_ * (1 - Weight) + Took * Weight;
  }
  Of.Updated_ = Now;
  if (Good || Result == TargetResult::Error) {
    Of.Streak_ = 0;
    return;
  }
  ++Of.Streak_;
  if (Result == TargetResult::Broken && Of.Streak_ < BrokenThreshold)
    return;
  int Doublings = std::min(Of.Streak_ - 1, 10);
  Milliseconds Wait = Settings_.MinAvoidance_ * (1 << Doublings);
  Of.AvoidUntil_ = Now + std::min(Wait, Settings_.MaxAvoidance_);
}

bool TargetHealth::usable(const std::string &Id, SteadyTime Now) const {
  const Entry *Of = find(Id);
  if (!Of || Of->Streak_ == 0)
    return true;
  // After an avoidance one attempt at a time decides whether it was mended.
  return Now >= Of->AvoidUntil_ &&
         (Of->Streak_ < BrokenThreshold || Of->InFlight_ == 0);
}

double TargetHealth::fading(const Entry &Of, SteadyTime Now) const {
  double Age = milliseconds(Now - Of.Updated_);
  return std::exp2(-Age / static_cast<double>(Settings_.Fading_.count()));
}

double TargetHealth::typicalDuration() const {
  double Sum = 0;
  int Count = 0;
  for (const auto &[Id, Of] : Targets_)
    if (Of.Duration_ > 0) {
      Sum += Of.Duration_;
      ++Count;
    }
  return Count > 0 ? Sum / Count : 1;
}

double TargetHealth::failureShare(const std::string &Id, SteadyTime Now) const {
  const Entry *Of = find(Id);
  return Of ? Of->Failures_ * fading(*Of, Now) : 0;
}

double TargetHealth::cost(const std::string &Id, SteadyTime Now) const {
  const Entry *Of = find(Id);
  double Typical = typicalDuration();
  if (!Of)
    return Typical;
  double Fade = fading(*Of, Now);
  double Duration =
      Of->Duration_ == 0 ? Typical : Typical + (Of->Duration_ - Typical) * Fade;
  double Queue = 1 + static_cast<double>(Of->InFlight_);
  return Duration * Queue * (1 + Settings_.FailureCost_ * Of->Failures_ * Fade);
}

std::size_t TargetHealth::inFlight(const std::string &Id) const {
  const Entry *Of = find(Id);
  return Of ? Of->InFlight_ : 0;
}

void TargetHealth::forget(SteadyTime Now) {
  std::erase_if(Targets_, [&](const auto &Item) {
    return Item.second.InFlight_ == 0 &&
           Now - Item.second.Updated_ > UnusedLifetime;
  });
}

const TargetHealth::Entry *TargetHealth::find(const std::string &Id) const {
  auto Found = Targets_.find(Id);
  return Found == Targets_.end() ? nullptr : &Found->second;
}

} // namespace amaranth::coordination
