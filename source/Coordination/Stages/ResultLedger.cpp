#include "Coordination/Stages/ResultLedger.h"

#include <algorithm>

namespace amaranth::coordination {

void ResultLedger::reserve(const std::string &Target, std::uint64_t Bytes) {
  UsageByTarget_[Target].ReservedBytes_ += Bytes;
}

void ResultLedger::unreserve(const std::string &Target, std::uint64_t Bytes) {
  TargetUsage &Usage = UsageByTarget_[Target];
  Usage.ReservedBytes_ -= std::min(Usage.ReservedBytes_, Bytes);
}

void ResultLedger::add(const std::string &Target, const std::string &Handle,
                       std::uint64_t Bytes, SteadyTime Expiry) {
  UsageByTarget_[Target].Results_[Handle] = {Bytes, Expiry};
}

bool ResultLedger::contains(const std::string &Target,
                            const std::string &Handle) const {
  auto Found = UsageByTarget_.find(Target);
  return Found != UsageByTarget_.end() &&
         Found->second.Results_.count(Handle) > 0;
}

void ResultLedger::remove(const std::string &Target,
                          const std::string &Handle) {
  auto Found = UsageByTarget_.find(Target);
  if (Found != UsageByTarget_.end())
    Found->second.Results_.erase(Handle);
}

void ResultLedger::onTargetFull(const std::string &Target,
                                SteadyTime FullUntil) {
  UsageByTarget_[Target].FullUntil_ = FullUntil;
}

void ResultLedger::forgetTarget(const std::string &Target) {
  UsageByTarget_.erase(Target);
}

std::uint64_t ResultLedger::freeBytes(const std::string &Target,
                                      std::uint64_t Capacity, SteadyTime Now) {
  TargetUsage &Usage = UsageByTarget_[Target];
  if (Now < Usage.FullUntil_)
    return 0;
  std::erase_if(Usage.Results_,
                [&](const auto &Item) { return Now >= Item.second.Expiry_; });
  std::uint64_t UsedBytes = Usage.ReservedBytes_;
  for (const auto &[Handle, Stored] : Usage.Results_)
    UsedBytes += Stored.Bytes_;
  return Capacity > UsedBytes ? Capacity - UsedBytes : 0;
}

} // namespace amaranth::coordination
