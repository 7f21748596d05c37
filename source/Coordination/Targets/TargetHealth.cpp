#include "Coordination/Targets/TargetHealth.h"

#include <algorithm>
#include <cmath>

namespace amaranth::coordination {

namespace {

/// Number of consecutive failures after which a target with broken replies is
/// avoided, and after which it is retried with one attempt at a time.
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

void TargetHealth::cancel(const std::string &Id) {
  Entry &Target = Targets_[Id];
  if (Target.InFlight_ > 0)
    --Target.InFlight_;
}

void TargetHealth::end(const std::string &Id, TargetResult Result,
                       Milliseconds Duration, SteadyTime Now) {
  cancel(Id);
  Entry &Target = Targets_[Id];
  double Decay = decayFactor(Target, Now);
  Target.Failures_ *= Decay;
  double Weight = Settings_.Smoothing_;
  bool TargetWorks =
      Result == TargetResult::Success || Result == TargetResult::Overloaded;
  Target.Failures_ =
      Target.Failures_ * (1 - Weight) + (TargetWorks ? 0 : Weight);
  if (Result == TargetResult::Success) {
    double DurationMs = static_cast<double>(Duration.count());
    Target.Duration_ = Target.Duration_ == 0 ? DurationMs
                                             : Target.Duration_ * (1 - Weight) +
                                                   DurationMs * Weight;
  }
  Target.Updated_ = Now;
  if (TargetWorks || Result == TargetResult::ErrorReply) {
    Target.FailureStreak_ = 0;
    return;
  }
  ++Target.FailureStreak_;
  if (Result == TargetResult::Broken && Target.FailureStreak_ < BrokenThreshold)
    return;
  int Doublings = std::min(Target.FailureStreak_ - 1, 10);
  Milliseconds Avoidance = Settings_.MinAvoidance_ * (1 << Doublings);
  Target.AvoidUntil_ = Now + std::min(Avoidance, Settings_.MaxAvoidance_);
}

bool TargetHealth::isUsable(const std::string &Id, SteadyTime Now) const {
  const Entry *Target = find(Id);
  if (!Target || Target->FailureStreak_ == 0)
    return true;
  // After an avoidance, one attempt at a time shows whether the target has
  // recovered.
  return Now >= Target->AvoidUntil_ &&
         (Target->FailureStreak_ < BrokenThreshold || Target->InFlight_ == 0);
}

double TargetHealth::decayFactor(const Entry &Target, SteadyTime Now) const {
  double Age = milliseconds(Now - Target.Updated_);
  return std::exp2(-Age / static_cast<double>(Settings_.HalfLife_.count()));
}

double TargetHealth::typicalDuration() const {
  double Sum = 0;
  int Count = 0;
  for (const auto &[Id, Target] : Targets_)
    if (Target.Duration_ > 0) {
      Sum += Target.Duration_;
      ++Count;
    }
  return Count > 0 ? Sum / Count : 1;
}

double TargetHealth::failureShare(const std::string &Id, SteadyTime Now) const {
  const Entry *Target = find(Id);
  return Target ? Target->Failures_ * decayFactor(*Target, Now) : 0;
}

double TargetHealth::cost(const std::string &Id, SteadyTime Now) const {
  const Entry *Target = find(Id);
  double Typical = typicalDuration();
  if (!Target)
    return Typical;
  double Decay = decayFactor(*Target, Now);
  double Duration = Target->Duration_ == 0
                        ? Typical
                        : Typical + (Target->Duration_ - Typical) * Decay;
  double QueueFactor = 1 + static_cast<double>(Target->InFlight_);
  return Duration * QueueFactor *
         (1 + Settings_.FailureCostFactor_ * Target->Failures_ * Decay);
}

std::size_t TargetHealth::inFlight(const std::string &Id) const {
  const Entry *Target = find(Id);
  return Target ? Target->InFlight_ : 0;
}

void TargetHealth::forgetUnused(SteadyTime Now) {
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
