#include "Coordination/Targets/TargetPacer.h"

#include <algorithm>

namespace amaranth::coordination {

namespace {

/// Time in which \p Requests arrive at a rate.
SteadyClock::duration timeFor(double Requests, double PerSecond) {
  return std::chrono::ceil<SteadyClock::duration>(
      std::chrono::duration<double>(Requests / PerSecond));
}

} // namespace

TargetPacer::TargetPacer(TargetPacerSettings Settings) : Settings_(Settings) {}

void TargetPacer::begin(Entry &Target, double PerSecond, SteadyTime Now) const {
  Target.PerSecond_ =
      std::clamp(PerSecond, Settings_.MinPerSecond_, Settings_.MaxPerSecond_);
  Target.StartedAt_ = Now;
  Target.LastShortAt_ = Now;
  Target.UsualResponses_ = 0;
  Target.IsEnded_ = false;
}

void TargetPacer::applyColdness(Entry &Target, const PaceRequest &Request,
                                SteadyTime Now) const {
  if (!(Request.ColdPerSecond_ > 0) || Request.ColdUntil_ <= Now)
    return;
  if (Target.ColdUntil_ <= Now && Target.TakenOverAt_ < Now)
    begin(Target, Request.ColdPerSecond_ * Settings_.InitialColdShare_, Now);
  Target.ColdUntil_ = Request.ColdUntil_;
  Target.ColdPerSecond_ = Request.ColdPerSecond_;
  Target.PerSecond_ = std::min(Target.PerSecond_, Target.ColdPerSecond_);
}

double TargetPacer::allowedRate(const Entry &Target, SteadyTime Now) const {
  double Rate = Target.PerSecond_;
  if (Now < Target.ColdUntil_) {
    SteadyTime ChangedAt = std::max(HostsChangedAt_, Target.TakenOverAt_);
    bool IsTakingOver = Now - ChangedAt < Settings_.TakeoverTime_;
    double Share = IsTakingOver ? Settings_.TakeoverShare_ : 1;
    Rate = std::min(Rate, Target.ColdPerSecond_ * Share * Reach_);
  }
  return std::max(Rate, 0.01);
}

double TargetPacer::burst(const Entry &Target, double PerSecond,
                          SteadyTime Now) const {
  if (Now < Target.ColdUntil_)
    return Settings_.Burst_;
  std::chrono::duration<double> Time = Settings_.BurstTime_;
  return std::max(Settings_.Burst_, PerSecond * Time.count());
}

bool TargetPacer::hasEvenShare(const Entry &Target, SteadyTime Now) const {
  return Now >= Target.ColdUntil_ &&
         Now - Target.LastShortAt_ >= Settings_.CalmTime_ &&
         Target.UsualResponses_ >= Settings_.MinResponses_;
}

PacePlace TargetPacer::reserve(const PaceRequest &Request, SteadyTime Now) {
  auto [Found, IsNew] = Targets_.try_emplace(Request.Target_);
  Entry &Target = Found->second;
  if (IsNew) {
    // Another host has given places at the target before.
    bool IsKnown = Request.KnownPerSecond_ > 0;
    Target.TakenOverAt_ = IsKnown ? Now : SteadyTime{};
    begin(Target,
          IsKnown ? Request.KnownPerSecond_ : Settings_.InitialPerSecond_, Now);
  } else if (Target.IsEnded_ && Request.PacedSince_ > Target.EndedAt_) {
    begin(Target, Settings_.InitialPerSecond_, Now);
  }
  applyColdness(Target, Request, Now);
  Target.LastRequestAt_ = Now;
  if (!Target.IsEnded_ && hasEvenShare(Target, Now)) {
    Target.IsEnded_ = true;
    Target.EndedAt_ = Now;
  }
  if (Target.IsEnded_)
    return {true, SteadyClock::duration(0), false, Target.PerSecond_};

  double Rate = allowedRate(Target, Now);
  // Another host may have given places until now: the first one here is an
  // interval later.
  if (IsNew) {
    Target.LastPlaceAt_ = Now;
    Target.LastCost_ = 1;
  }
  SteadyTime PlaceAt =
      std::max(Target.LastPlaceAt_ + timeFor(Target.LastCost_, Rate),
               Now - timeFor(burst(Target, Rate, Now) - 1, Rate));
  SteadyClock::duration Delay =
      std::max(PlaceAt - Now, SteadyClock::duration(0));
  if (Delay > SteadyClock::duration(0))
    Target.LastShortAt_ = Now;
  if (Delay > Request.MaxDelay_)
    return {false, Delay, true, Rate};
  Target.LastPlaceAt_ = PlaceAt;
  Target.LastCost_ = std::max(1.0, Request.Cost_);
  return {true, Delay, true, Rate};
}

void TargetPacer::report(const std::string &Id, PaceOutcome Outcome,
                         SteadyTime Now) {
  auto Found = Targets_.find(Id);
  if (Found == Targets_.end() || Found->second.IsEnded_)
    return;
  Entry &Target = Found->second;
  bool IsUsual = Outcome == PaceOutcome::Usual ||
                 (Outcome == PaceOutcome::Slow && Now < Target.ColdUntil_);
  if (IsUsual) {
    ++Target.UsualResponses_;
    // A rate that no request waits for is not known to be sustainable.
    if (Now - Target.LastShortAt_ < Settings_.CalmTime_)
      Target.PerSecond_ =
          std::min(Target.PerSecond_ + Settings_.IncreasePerResponse_,
                   Settings_.MaxPerSecond_);
    if (Now < Target.ColdUntil_)
      Target.PerSecond_ = std::min(Target.PerSecond_, Target.ColdPerSecond_);
    return;
  }
  Target.UsualResponses_ = 0;
  if (Now - Target.LastDecreaseAt_ < Settings_.DecreaseInterval_)
    return;
  Target.LastDecreaseAt_ = Now;
  double Factor = Outcome == PaceOutcome::Slow ? Settings_.DecreaseOnSlow_
                                               : Settings_.DecreaseOnFault_;
  Target.PerSecond_ =
      std::max(Target.PerSecond_ * Factor, Settings_.MinPerSecond_);
}

void TargetPacer::forgetUnused(SteadyTime Now) {
  std::erase_if(Targets_, [&](const auto &Item) {
    return Now - Item.second.LastRequestAt_ > Settings_.UnusedLifetime_;
  });
}

} // namespace amaranth::coordination
