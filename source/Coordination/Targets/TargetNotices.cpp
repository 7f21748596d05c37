#include "Coordination/Targets/TargetNotices.h"

#include <algorithm>

namespace amaranth::coordination {

using protocol::TargetNotice;
using state::TargetRecord;

TargetNotices::TargetNotices(TargetNoticesSettings Settings)
    : Settings_(Settings) {}

Withheld TargetNotices::check(const TargetRecord &Target,
                              SteadyTime Now) const {
  if (!MayWithhold_ && Evacuated_.empty())
    return Withheld::No;
  const Entry *Known = find(Target.Id_);
  bool Applies = Known && Known->Incarnation_ == Target.Incarnation_;
  if (Applies && Known->IsLeaving_)
    return Withheld::Leaving;
  if (Evacuated_.contains(Target.DataCentre_))
    return Withheld::Evacuated;
  if (Applies && Known->WantsNothingUntil_ && Now < *Known->WantsNothingUntil_)
    return Withheld::WantsNothing;
  return Withheld::No;
}

const TargetNotices::Entry *TargetNotices::find(const std::string &Id) const {
  auto Found = Entries_.find(Id);
  return Found == Entries_.end() ? nullptr : &Found->second;
}

TargetNotices::Entry *TargetNotices::entryFor(const std::string &Id,
                                              std::int64_t Incarnation,
                                              SteadyTime Now) {
  auto [Position, IsNew] = Entries_.try_emplace(Id);
  Entry &Target = Position->second;
  if (!IsNew && Incarnation < Target.Incarnation_)
    return nullptr;
  if (Incarnation != Target.Incarnation_)
    Target = Entry();
  Target.Incarnation_ = Incarnation;
  Target.ReceivedAt_ = Now;
  return &Target;
}

bool TargetNotices::setLimit(Entry &Target, std::optional<double> PerSecond,
                             SteadyTime Now) {
  if (!PerSecond) {
    bool HadLimit = Target.Limit_.has_value();
    Target.Limit_.reset();
    return HadLimit;
  }
  bool Changed = !Target.Limit_ || Target.Limit_->PerSecond_ != *PerSecond;
  if (!Target.Limit_)
    Target.Limit_ = Limit();
  HasLimits_ = true;
  // A place may be free sooner than at the lower limit.
  if (*PerSecond > Target.Limit_->PerSecond_)
    Target.Limit_->FullUntil_ = {};
  Target.Limit_->PerSecond_ = *PerSecond;
  Target.Limit_->ReceivedAt_ = Now;
  return Changed;
}

bool TargetNotices::setCold(Entry &Target, Milliseconds ColdFor, Source From,
                            SteadyTime Now) {
  SteadyTime Until = Now + std::clamp(ColdFor, Milliseconds(0),
                                      Milliseconds(Settings_.MaxCold_));
  SteadyTime Known = Target.Cold_ ? Target.Cold_->Until_ : Now;
  // A record may have been written before the target became cold.
  bool IsOlder = From == Source::Record && Until < Known && Target.Cold_ &&
                 Target.Cold_->Source_ != Source::Record;
  if (IsOlder)
    return false;
  Target.Cold_ = Cold{Until, From};
  SteadyClock::duration Difference =
      std::max(Until, Now) - std::max(Known, Now);
  return std::chrono::abs(Difference) > Settings_.ColdTolerance_;
}

bool TargetNotices::onAnswer(const TargetRecord &Target,
                             const TargetStatement &Statement, SteadyTime Now) {
  Entry *Known = entryFor(Target.Id_, Target.Incarnation_, Now);
  if (!Known)
    return false;
  bool Changed = Statement.IsLeaving_ && !Known->IsLeaving_;
  Known->IsLeaving_ = Known->IsLeaving_ || Statement.IsLeaving_;
  MayWithhold_ =
      MayWithhold_ || Known->IsLeaving_ || Statement.WantsNothingFor_;
  if (!Statement.IsLimitInvalid_)
    Changed = setLimit(*Known, Statement.PerSecond_, Now) || Changed;
  if (Statement.ColdFor_)
    Changed =
        setCold(*Known, *Statement.ColdFor_, Source::Answer, Now) || Changed;
  if (Statement.WantsNothingFor_) {
    // An answer that was on its way does not shorten the time.
    SteadyTime Until =
        Now + std::min(*Statement.WantsNothingFor_, Settings_.MaxWantsNothing_);
    Known->WantsNothingUntil_ =
        std::max(Known->WantsNothingUntil_.value_or(Until), Until);
  }
  return Changed;
}

TargetNotice TargetNotices::peerNotice(const TargetRecord &Target,
                                       SteadyTime Now) const {
  TargetNotice Notice;
  Notice.Target_ = Target.Id_;
  Notice.Incarnation_ = Target.Incarnation_;
  const Entry *Known = find(Target.Id_);
  if (!Known || Known->Incarnation_ != Target.Incarnation_)
    return Notice;
  Notice.IsLeaving_ = Known->IsLeaving_;
  if (Known->Limit_)
    Notice.PerSecond_ = Known->Limit_->PerSecond_;
  if (Known->Cold_)
    Notice.ColdFor_ =
        std::max(Milliseconds(0),
                 std::chrono::ceil<Milliseconds>(Known->Cold_->Until_ - Now));
  return Notice;
}

void TargetNotices::onPeer(const TargetNotice &Notice, SteadyTime Now) {
  Entry *Known = entryFor(Notice.Target_, Notice.Incarnation_, Now);
  if (!Known)
    return;
  Known->IsLeaving_ = Known->IsLeaving_ || Notice.IsLeaving_;
  MayWithhold_ = MayWithhold_ || Known->IsLeaving_;
  setLimit(*Known, Notice.PerSecond_, Now);
  if (Notice.ColdFor_)
    setCold(*Known, *Notice.ColdFor_, Source::Peer, Now);
}

void TargetNotices::onRecord(const TargetRecord &Record, SteadyTime Now) {
  Entry &Known = Entries_[Record.Id_];
  // Another incarnation may have a lower number, if a clock was set back.
  bool IsNew = Known.Incarnation_ != Record.Incarnation_ ||
               (Known.IsMissing_ && Record.Incarnation_ == 0);
  if (IsNew)
    Known = Entry();
  Known.IsMissing_ = false;
  Known.Incarnation_ = Record.Incarnation_;
  Known.IsRegistered_ = true;
  if (Record.WarmUpRemaining_ > Milliseconds(0) || Known.Cold_)
    setCold(Known, Record.WarmUpRemaining_, Source::Record, Now);
}

void TargetNotices::onMissing(const std::string &Id) {
  auto Found = Entries_.find(Id);
  if (Found != Entries_.end())
    Found->second.IsMissing_ = true;
}

void TargetNotices::onRemoved(const std::string &Id) { Entries_.erase(Id); }

bool TargetNotices::setEvacuated(const std::string &DataCentre,
                                 bool IsEvacuated) {
  if (DataCentre.empty())
    return false;
  if (IsEvacuated)
    return Evacuated_.insert(DataCentre).second;
  return Evacuated_.erase(DataCentre) > 0;
}

std::optional<double> TargetNotices::limit(const std::string &Id) const {
  const Entry *Known = HasLimits_ ? find(Id) : nullptr;
  if (!Known || !Known->Limit_)
    return std::nullopt;
  return Known->Limit_->PerSecond_;
}

std::optional<SteadyTime>
TargetNotices::coldUntil(const std::string &Id) const {
  const Entry *Known = find(Id);
  if (!Known || !Known->Cold_)
    return std::nullopt;
  return Known->Cold_->Until_;
}

std::optional<SteadyTime>
TargetNotices::wantsNothingUntil(const std::string &Id) const {
  const Entry *Known = find(Id);
  return Known ? Known->WantsNothingUntil_ : std::nullopt;
}

void TargetNotices::setFullUntil(const std::string &Id, SteadyTime Until) {
  auto Found = Entries_.find(Id);
  if (Found != Entries_.end() && Found->second.Limit_)
    Found->second.Limit_->FullUntil_ = Until;
}

SteadyTime TargetNotices::opensAt(const std::string &Id) const {
  const Entry *Known = HasLimits_ ? find(Id) : nullptr;
  return Known && Known->Limit_ ? Known->Limit_->FullUntil_ : SteadyTime{};
}

bool TargetNotices::noteIrregular(const std::string &StatedBy) {
  ++IrregularCount_;
  return IrregularSources_.size() < Settings_.MaxIrregularSources_ &&
         IrregularSources_.insert(StatedBy).second;
}

void TargetNotices::forgetOld(SteadyTime Now) {
  MayWithhold_ = false;
  HasLimits_ = false;
  for (auto Position = Entries_.begin(); Position != Entries_.end();) {
    Entry &Target = Position->second;
    if (Target.Limit_ &&
        Now - Target.Limit_->ReceivedAt_ > Settings_.LimitLifetime_)
      Target.Limit_.reset();
    if (Target.Cold_ && Target.Cold_->Until_ <= Now)
      Target.Cold_.reset();
    if (Target.WantsNothingUntil_ && *Target.WantsNothingUntil_ <= Now)
      Target.WantsNothingUntil_.reset();
    MayWithhold_ =
        MayWithhold_ || Target.IsLeaving_ || Target.WantsNothingUntil_;
    HasLimits_ = HasLimits_ || Target.Limit_;
    bool IsForgotten =
        !Target.IsRegistered_ &&
        Now - Target.ReceivedAt_ > Settings_.UnregisteredLifetime_;
    Position = IsForgotten ? Entries_.erase(Position) : std::next(Position);
  }
}

} // namespace amaranth::coordination
