#include "Coordination/Targets/TargetRegistry.h"

#include <algorithm>

namespace amaranth::coordination {

using state::TargetRecord;

TargetRegistry::TargetRegistry(TargetRegistrySettings Settings)
    : Settings_(Settings) {}

bool TargetRegistry::isOutdated(const Entry &Target,
                                const TargetChange &Change) {
  if (Change.Era_ != 0 && Change.Era_ < Target.Era_)
    return true;
  if (isFromLaterEra(Target, Change))
    return false;
  return Change.Revision_ < Target.Revision_ ||
         (Change.Revision_ == Target.Revision_ && !Target.RemoveAt_ &&
          Target.Revision_ != 0);
}

bool TargetRegistry::isFromLaterEra(const Entry &Target,
                                    const TargetChange &Change) {
  // An era that was never stated counts as the first one.
  return Change.Era_ > std::max<std::uint64_t>(Target.Era_, 1);
}

bool TargetRegistry::withhold(const Entry &Target, const TargetChange &Change,
                              SteadyTime Now) {
  if (!Change.Record_ || !isFromLaterEra(Target, Change))
    return false;
  auto Withheld = Withheld_.find(Change.Id_);
  bool IsSameEra = Withheld != Withheld_.end() &&
                   Withheld->second.Change_.Era_ == Change.Era_;
  // The target has written its record again.
  if (IsSameEra && Change.Revision_ > Withheld->second.Change_.Revision_)
    return false;
  std::int64_t Incarnation = Change.Record_->Incarnation_;
  bool IsRemoved =
      Target.RemovedIncarnation_ && Incarnation <= *Target.RemovedIncarnation_;
  // A clock that was set back gives a valid record a lower start time, too.
  bool IsEarlier = Target.Record_ && Incarnation != 0 &&
                   Incarnation < Target.Record_->Incarnation_;
  if (!IsSameEra && (IsRemoved || IsEarlier))
    Withheld_[Change.Id_] = {Change, Now + Settings_.ReappearanceDelay_};
  return IsRemoved || IsEarlier;
}

bool TargetRegistry::apply(const TargetChange &Change, SteadyTime Now) {
  Entry &Target = Records_[Change.Id_];
  if (isOutdated(Target, Change))
    return false;
  if (withhold(Target, Change, Now))
    return false;
  Withheld_.erase(Change.Id_);
  Target.Revision_ = Change.Revision_;
  Target.Era_ = std::max(Target.Era_, Change.Era_);
  Target.ChangedAt_ = Now;
  if (!Change.Record_) {
    remove(Target, Now);
    return true;
  }
  // If the incarnation is unknown, a record that was removed and returns counts
  // as a new registration.
  bool IsRegisteredAgain =
      Target.RemoveAt_ && Change.Record_->Incarnation_ == 0;
  bool WasLeaving =
      Target.Record_ && Target.Record_->IsDraining_ && !IsRegisteredAgain &&
      Target.Record_->Incarnation_ == Change.Record_->Incarnation_;
  WasLeaving = WasLeaving ||
               (Change.Record_->Incarnation_ != 0 &&
                Target.RemovedIncarnation_ == Change.Record_->Incarnation_ &&
                Target.WasRemovedDraining_);
  if (Target.Record_)
    ByService_[Target.Record_->Service_].erase(Change.Id_);
  Target.Record_ = Change.Record_;
  Target.Record_->IsDraining_ = Target.Record_->IsDraining_ || WasLeaving;
  Target.RemoveAt_.reset();
  Target.RemovedIncarnation_.reset();
  ByService_[Target.Record_->Service_].insert(Change.Id_);
  return true;
}

void TargetRegistry::remove(Entry &Target, SteadyTime Now) {
  if (!Target.Record_)
    return;
  if (DisconnectedAt_ || Now < GracePeriodEnd_) {
    if (!Target.RemoveAt_)
      Target.RemoveAt_ = std::max(GracePeriodEnd_, Now);
    return;
  }
  dropRecord(Target);
}

void TargetRegistry::dropRecord(Entry &Target) {
  ByService_[Target.Record_->Service_].erase(Target.Record_->Id_);
  Target.RemovedIncarnation_ = Target.Record_->Incarnation_;
  Target.WasRemovedDraining_ = Target.Record_->IsDraining_;
  Target.Record_.reset();
  Target.RemoveAt_.reset();
}

void TargetRegistry::onStoreRestored(SteadyTime Now) {
  GracePeriodEnd_ = Now + Settings_.ReturnGracePeriod_;
  for (auto &[Id, Target] : Records_)
    if (Target.RemoveAt_)
      Target.RemoveAt_ = GracePeriodEnd_;
}

std::vector<TargetChange> TargetRegistry::takeReappeared(SteadyTime Now) {
  std::vector<TargetChange> Due;
  for (auto It = Withheld_.begin(); It != Withheld_.end();) {
    if (Now < It->second.AppliesAt_) {
      ++It;
      continue;
    }
    // It counts as the first change of its era that is not an older one.
    Entry &Target = Records_[It->first];
    Target.Era_ = It->second.Change_.Era_;
    Target.Revision_ = 0;
    Due.push_back(std::move(It->second.Change_));
    It = Withheld_.erase(It);
  }
  return Due;
}

void TargetRegistry::onStoreDisconnected(SteadyTime Now) {
  if (!DisconnectedAt_)
    DisconnectedAt_ = Now;
}

void TargetRegistry::onStoreReconnected(SteadyTime Now) {
  if (!DisconnectedAt_)
    return;
  if (Now - *DisconnectedAt_ >= Settings_.ShortInterruption_)
    GracePeriodEnd_ = Now + Settings_.ReturnGracePeriod_;
  DisconnectedAt_.reset();
  for (auto &[Id, Target] : Records_)
    if (Target.RemoveAt_)
      Target.RemoveAt_ = GracePeriodEnd_;
}

std::vector<std::string> TargetRegistry::expire(SteadyTime Now) {
  std::vector<std::string> Removed;
  for (auto It = Records_.begin(); It != Records_.end();) {
    Entry &Target = It->second;
    if (!DisconnectedAt_ && Target.RemoveAt_ && Now >= *Target.RemoveAt_) {
      dropRecord(Target);
      Target.ChangedAt_ = Now;
      Removed.push_back(It->first);
    }
    bool IsForgotten = !Target.Record_ &&
                       Now - Target.ChangedAt_ > Settings_.RemovalRetention_;
    It = IsForgotten ? Records_.erase(It) : std::next(It);
  }
  return Removed;
}

std::vector<const TargetRecord *>
TargetRegistry::serving(const std::string &Service) const {
  std::vector<const TargetRecord *> ServingRecords;
  auto Found = ByService_.find(Service);
  if (Found == ByService_.end())
    return ServingRecords;
  for (const std::string &Id : Found->second)
    if (const TargetRecord *Record = find(Id))
      ServingRecords.push_back(Record);
  return ServingRecords;
}

const TargetRecord *TargetRegistry::find(const std::string &Id) const {
  const TargetRecord *Record = findRecord(Id);
  return Record && !Record->IsDraining_ ? Record : nullptr;
}

const TargetRecord *TargetRegistry::findRecord(const std::string &Id) const {
  auto Found = Records_.find(Id);
  bool HasRecord = Found != Records_.end() && Found->second.Record_;
  return HasRecord ? &*Found->second.Record_ : nullptr;
}

std::vector<TargetRecord> TargetRegistry::leaving() const {
  std::vector<TargetRecord> Leaving;
  for (const auto &[Id, Target] : Records_)
    if (Target.Record_ && Target.Record_->IsDraining_)
      Leaving.push_back(*Target.Record_);
  return Leaving;
}

bool TargetRegistry::hasTargetIn(const std::string &DataCentre) const {
  return std::any_of(Records_.begin(), Records_.end(), [&](const auto &Item) {
    return Item.second.Record_ &&
           Item.second.Record_->DataCentre_ == DataCentre;
  });
}

} // namespace amaranth::coordination
