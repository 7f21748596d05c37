#include "Coordination/Targets/TargetRegistry.h"

#include <algorithm>

namespace amaranth::coordination {

using state::TargetRecord;

TargetRegistry::TargetRegistry(TargetRegistrySettings Settings)
    : Settings_(Settings) {}

void TargetRegistry::apply(const TargetChange &Change, SteadyTime Now) {
  Entry &Known = Records_[Change.Id_];
  if (Change.Revision_ < Known.Revision_ ||
      (Change.Revision_ == Known.Revision_ && !Known.MissingUntil_ &&
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
  Known.MissingUntil_.reset();
  Known.Changed_ = Now;
  ByService_[Known.Record_->Service_].insert(Change.Id_);
}

void TargetRegistry::remove(Entry &Of, std::uint64_t Revision, SteadyTime Now) {
  Of.Revision_ = Revision;
  Of.Changed_ = Now;
  if (!Of.Record_)
    return;
  if (StoreLost_ || Now < DoubtUntil_) {
    if (!Of.MissingUntil_)
      Of.MissingUntil_ = std::max(DoubtUntil_, Now);
    return;
  }
  ByService_[Of.Record_->Service_].erase(Of.Record_->Id_);
  Of.Record_.reset();
  Of.MissingUntil_.reset();
}

void TargetRegistry::onStoreLost() { StoreLost_ = true; }

void TargetRegistry::onStoreBack(SteadyTime Now) {
  if (!StoreLost_)
    return;
  StoreLost_ = false;
  DoubtUntil_ = Now + Settings_.ReturnTime_;
  for (auto &[Id, Known] : Records_)
    if (Known.MissingUntil_)
      Known.MissingUntil_ = DoubtUntil_;
}

void TargetRegistry::expire(SteadyTime Now) {
  for (auto It = Records_.begin(); It != Records_.end();) {
    Entry &Known = It->second;
    if (!StoreLost_ && Known.MissingUntil_ && Now >= *Known.MissingUntil_) {
      ByService_[Known.Record_->Service_].erase(It->first);
      Known.Record_.reset();
      Known.MissingUntil_.reset();
      Known.Changed_ = Now;
    }
    bool Forget =
        !Known.Record_ && Now - Known.Changed_ > Settings_.RemovalMemory_;
    It = Forget ? Records_.erase(It) : std::next(It);
  }
}

std::vector<const TargetRecord *>
TargetRegistry::serving(const std::string &Service) const {
  std::vector<const TargetRecord *> Out;
  auto Found = ByService_.find(Service);
  if (Found == ByService_.end())
    return Out;
  for (const std::string &Id : Found->second)
    if (const TargetRecord *Record = find(Id))
      Out.push_back(Record);
  return Out;
}

const TargetRecord *TargetRegistry::find(const std::string &Id) const {
  auto Found = Records_.find(Id);
  if (Found == Records_.end() || !Found->second.Record_ ||
      Found->second.Record_->Leaving_)
    return nullptr;
  return &*Found->second.Record_;
}

} // namespace amaranth::coordination
