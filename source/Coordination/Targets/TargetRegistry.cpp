#include "Coordination/Targets/TargetRegistry.h"

#include <algorithm>

namespace amaranth::coordination {

using state::TargetRecord;

TargetRegistry::TargetRegistry(TargetRegistrySettings Settings)
    : Settings_(Settings) {}

void TargetRegistry::apply(const TargetChange &Change, SteadyTime Now) {
  Entry &Known = Records_[Change.Id_];
  if (Change.Revision_ < Known.Revision_ ||
      (Change.Revision_ == Known.Revision_ && !Known.RemoveAt_ &&
       Known.Revision_ != 0))
    return;
  if (!Change.Record_) {
    remove(Known, Change.Revision_, Now);
    return;
  }
  bool WasLeaving = Known.Record_ && Known.Record_->Leaving_ &&
                    Known.Record_->Incarnation_ == Change.Record_->Incarnation_;
  if (Known.Record_)
    ByService_[Known.Record_->Service_].erase(Change.Id_);
  Known.Revision_ = Change.Revision_;
  Known.Record_ = Change.Record_;
  Known.Record_->Leaving_ = Known.Record_->Leaving_ || WasLeaving;
  Known.RemoveAt_.reset();
  Known.ChangedAt_ = Now;
  ByService_[Known.Record_->Service_].insert(Change.Id_);
}

void TargetRegistry::remove(Entry &Known, std::uint64_t Revision,
                            SteadyTime Now) {
  Known.Revision_ = Revision;
  Known.ChangedAt_ = Now;
  if (!Known.Record_)
    return;
  if (StoreDisconnected_ || Now < GracePeriodEnd_) {
    if (!Known.RemoveAt_)
      Known.RemoveAt_ = std::max(GracePeriodEnd_, Now);
    return;
  }
  ByService_[Known.Record_->Service_].erase(Known.Record_->Id_);
  Known.Record_.reset();
  Known.RemoveAt_.reset();
}

void TargetRegistry::onStoreLost() { StoreDisconnected_ = true; }

void TargetRegistry::onStoreBack(SteadyTime Now) {
  if (!StoreDisconnected_)
    return;
  StoreDisconnected_ = false;
  GracePeriodEnd_ = Now + Settings_.ReturnGracePeriod_;
  for (auto &[Id, Known] : Records_)
    if (Known.RemoveAt_)
      Known.RemoveAt_ = GracePeriodEnd_;
}

void TargetRegistry::expire(SteadyTime Now) {
  for (auto It = Records_.begin(); It != Records_.end();) {
    Entry &Known = It->second;
    if (!StoreDisconnected_ && Known.RemoveAt_ && Now >= *Known.RemoveAt_) {
      ByService_[Known.Record_->Service_].erase(It->first);
      Known.Record_.reset();
      Known.RemoveAt_.reset();
      Known.ChangedAt_ = Now;
    }
    bool IsForgotten =
        !Known.Record_ && Now - Known.ChangedAt_ > Settings_.RemovalRetention_;
    It = IsForgotten ? Records_.erase(It) : std::next(It);
  }
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
  auto Found = Records_.find(Id);
  if (Found == Records_.end() || !Found->second.Record_ ||
      Found->second.Record_->Leaving_)
    return nullptr;
  return &*Found->second.Record_;
}

} // namespace amaranth::coordination
