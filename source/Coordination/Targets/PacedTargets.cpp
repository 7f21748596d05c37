#include "Coordination/Targets/PacedTargets.h"

#include "Coordination/Engines/EngineChooser.h"
#include "Support/Log.h"

#include <algorithm>

namespace amaranth::coordination {

using state::TargetRecord;

PacedTargets::PacedTargets(std::string Host, PacedTargetsSettings Settings)
    : Host_(std::move(Host)), Settings_(Settings) {}

const state::Service *PacedTargets::findService(const Entry &Target) const {
  return Table_ ? Table_->findService(Target.Service_) : nullptr;
}

double PacedTargets::coldPerSecond(const Entry &Target) const {
  const state::Service *Service = findService(Target);
  return Service ? Service->ColdPerSecond_ : 0;
}

SteadyTime PacedTargets::coldUntil(const Entry &Target) {
  return std::max(Target.ColdUntil_, Target.UnconfirmedUntil_);
}

bool PacedTargets::isPaced(const Entry &Target) const {
  return Target.PacedSince_ &&
         (Target.HasReturned_ || coldPerSecond(Target) > 0);
}

void PacedTargets::start(const std::string &Id, Entry &Target,
                         const char *Reason, bool MayBeCold, SteadyTime Now) {
  HasPaced_ = true;
  Target.PacedSince_ = Now;
  Target.PerSecond_ = 0;
  Target.OpensAt_ = {};
  const state::Service *Service = findService(Target);
  if (MayBeCold && Service && Service->ColdStart_ > Milliseconds(0))
    Target.UnconfirmedUntil_ =
        Now + std::min(Service->ColdStart_, Settings_.UnconfirmedTime_);
  if (isPaced(Target))
    LogEvent(LogLevel::Info, "target_paced")
        .field("target", Id)
        .field("reason", Reason);
}

void PacedTargets::onRecord(const TargetRecord &Record, SteadyTime Now) {
  auto [Found, IsNew] = Targets_.try_emplace(Record.Id_);
  Entry &Target = Found->second;
  bool HasStarted = IsNew || Target.Incarnation_ != Record.Incarnation_ ||
                    (Target.RemovedAt_ && Record.Incarnation_ == 0);
  Target.Service_ = Record.Service_;
  Target.DataCentre_ = Record.DataCentre_;
  Target.Incarnation_ = Record.Incarnation_;
  Target.RemovedAt_.reset();
  if (HasStarted)
    Target.FailureStreak_ = 0;
  // Before the first response, the whole service may be starting: pacing all of
  // its targets would spare none.
  bool IsInUse = UsualMs_.contains(Record.Service_);
  bool IsCold = Record.WarmUpRemaining_ > Milliseconds(0);
  if (HasStarted && IsLoaded_ && (IsInUse || IsCold))
    start(Record.Id_, Target, "started", true, Now);
}

void PacedTargets::onCold(const std::string &Id, SteadyTime Until,
                          SteadyTime Now) {
  auto Found = Targets_.find(Id);
  if (Found == Targets_.end())
    return;
  Entry &Target = Found->second;
  bool WasCold = Now < Target.ColdUntil_;
  Target.ColdUntil_ = Until;
  if (Now < Until && !WasCold && Target.PacedSince_ != Now)
    start(Id, Target, "cold", false, Now);
}

void PacedTargets::onRemoved(const std::string &Id, SteadyTime Now) {
  auto Found = Targets_.find(Id);
  if (Found != Targets_.end() && !Found->second.RemovedAt_)
    Found->second.RemovedAt_ = Now;
}

void PacedTargets::forgetUnused(SteadyTime Now) {
  std::erase_if(Targets_, [&](const auto &Item) {
    const Entry &Target = Item.second;
    return Target.RemovedAt_ &&
           Now - *Target.RemovedAt_ > Settings_.RemovalRetention_;
  });
  HasPaced_ =
      std::any_of(Targets_.begin(), Targets_.end(), [](const auto &Item) {
        return Item.second.PacedSince_.has_value();
      });
}

void PacedTargets::onDataCentreReturned(const std::string &DataCentre,
                                        SteadyTime Now) {
  for (auto &[Id, Target] : Targets_) {
    if (Target.DataCentre_ != DataCentre || Target.RemovedAt_)
      continue;
    Target.HasReturned_ = true;
    start(Id, Target, "returned", true, Now);
  }
}

std::optional<PaceOutcome>
PacedTargets::onResponse(const TargetRecord &Record, TargetResult Result,
                         Milliseconds Time, double Cost, SteadyTime Now) {
  auto Found = Targets_.find(Record.Id_);
  // A response of an earlier incarnation says nothing about this one.
  if (Found == Targets_.end() ||
      Found->second.Incarnation_ != Record.Incarnation_)
    return std::nullopt;
  Entry &Target = Found->second;
  bool WasPaced = isPaced(Target);
  PaceOutcome Outcome = PaceOutcome::Usual;
  if (Result == TargetResult::Overloaded) {
    Outcome = PaceOutcome::Refused;
  } else if (Result != TargetResult::Success &&
             Result != TargetResult::ErrorReply) {
    Outcome = PaceOutcome::Failed;
    if (++Target.FailureStreak_ == Settings_.FailuresToPace_)
      start(Record.Id_, Target, "failing", false, Now);
  } else {
    Target.FailureStreak_ = 0;
    double UnitMs = static_cast<double>(Time.count()) / std::max(1.0, Cost);
    double &UsualMs =
        UsualMs_.try_emplace(Target.Service_, UnitMs).first->second;
    if (UnitMs > Settings_.SlowFactor_ * UsualMs +
                     static_cast<double>(Settings_.SlowMargin_.count()))
      Outcome = PaceOutcome::Slow;
    // Paced targets may be slow, and so do not show what is usual.
    if (!WasPaced)
      UsualMs += Settings_.UsualTimeWeight_ * (UnitMs - UsualMs);
  }
  return WasPaced ? std::optional<PaceOutcome>(Outcome) : std::nullopt;
}

std::optional<PaceRequest> PacedTargets::makeRequest(const std::string &Id,
                                                     double Cost,
                                                     SteadyTime Now) const {
  auto Found = Targets_.find(Id);
  if (Found == Targets_.end() || !isPaced(Found->second))
    return std::nullopt;
  const Entry &Target = Found->second;
  PaceRequest Request;
  Request.Target_ = Id;
  Request.Cost_ = std::max(1.0, Cost);
  Request.KnownPerSecond_ = Target.PerSecond_;
  Request.PacedSince_ = *Target.PacedSince_;
  Request.ColdUntil_ = coldUntil(Target);
  if (Now < Request.ColdUntil_)
    Request.ColdPerSecond_ = coldPerSecond(Target);
  return Request;
}

void PacedTargets::onAsked(const std::string &Id, SteadyTime Now) {
  auto Found = Targets_.find(Id);
  if (Found != Targets_.end())
    Found->second.AskAgainAt_ = Now + Settings_.AskAgainDelay_;
}

void PacedTargets::onReply(const PaceRequest &Request, const PacePlace &Place,
                           SteadyTime Now) {
  auto Found = Targets_.find(Request.Target_);
  if (Found == Targets_.end() ||
      Found->second.PacedSince_ != Request.PacedSince_)
    return;
  Entry &Target = Found->second;
  Target.IsUnanswered_ = false;
  Target.PerSecond_ = Place.PerSecond_;
  Target.OpensAt_ = Place.Granted_ ? SteadyTime{} : Now + Place.Delay_;
  if (Place.IsPaced_ || Now < coldUntil(Target))
    return;
  Target.PacedSince_.reset();
  Target.HasReturned_ = false;
  LogEvent(LogLevel::Info, "target_pace_ended")
      .field("target", Request.Target_)
      .field("per_second", std::to_string(Place.PerSecond_));
}

PacePlace PacedTargets::reserveShare(const PaceRequest &Request,
                                     std::size_t Hosts, SteadyTime Now) {
  using std::chrono::ceil;
  PacePlace Place;
  Entry &Target = Targets_[Request.Target_];
  Target.IsUnanswered_ = true;
  Target.AskAgainAt_ = Now + Settings_.AskAgainDelay_;
  bool IsCold = Request.ColdPerSecond_ > 0;
  double Rate = IsCold ? Request.ColdPerSecond_ * Settings_.ColdShare_
                       : std::max(Request.KnownPerSecond_, 0.01);
  std::chrono::duration<double> Seconds(static_cast<double>(Hosts) / Rate);
  auto Interval = ceil<SteadyClock::duration>(Seconds);
  if (!IsCold)
    Interval =
        std::min<SteadyClock::duration>(Interval, Settings_.MaxShareInterval_);
  // Hosts that lose the elected host at the same time begin at different
  // times, spread over an interval.
  constexpr std::uint64_t Phases = 1000;
  auto Phase = static_cast<std::int64_t>(
      rendezvousRank(Request.Target_, Host_) % Phases);
  if (Target.NextShareAt_ + Interval < Now)
    Target.NextShareAt_ =
        Now + Interval * Phase / static_cast<std::int64_t>(Phases);
  Place.Delay_ = std::max(Target.NextShareAt_ - Now, SteadyClock::duration(0));
  Place.PerSecond_ = Target.PerSecond_;
  Place.Granted_ = Place.Delay_ <= Request.MaxDelay_;
  if (Place.Granted_)
    Target.NextShareAt_ = Now + Place.Delay_ + Interval;
  else
    Target.OpensAt_ = Target.NextShareAt_;
  return Place;
}

const PacedTargets::Entry *
PacedTargets::findPaced(const std::string &Id) const {
  if (!HasPaced_)
    return nullptr;
  auto Found = Targets_.find(Id);
  return Found != Targets_.end() && isPaced(Found->second) ? &Found->second
                                                           : nullptr;
}

bool PacedTargets::isPaced(const std::string &Id) const {
  return findPaced(Id) != nullptr;
}

SteadyTime PacedTargets::opensAt(const std::string &Id) const {
  const Entry *Target = findPaced(Id);
  return Target ? Target->OpensAt_ : SteadyTime{};
}

bool PacedTargets::isUnanswered(const std::string &Id) const {
  const Entry *Target = findPaced(Id);
  return Target && Target->IsUnanswered_;
}

bool PacedTargets::mayHavePlace(const std::string &Id, SteadyTime Now) const {
  const Entry *Target = findPaced(Id);
  return !Target || Target->OpensAt_ <= Now ||
         (Target->IsUnanswered_ && Target->AskAgainAt_ <= Now);
}

} // namespace amaranth::coordination
