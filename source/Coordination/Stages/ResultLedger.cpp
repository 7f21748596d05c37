#include "Coordination/Stages/ResultLedger.h"

#include <algorithm>

namespace amaranth::coordination {

void ResultLedger::reserve(const std::string &Target, std::uint64_t Bytes) {
  Targets_[Target].Reserved_ += Bytes;
}

void ResultLedger::unreserve(const std::string &Target, std::uint64_t Bytes) {
  Entry &Of = Targets_[Target];
  Of.Reserved_ -= std::min(Of.Reserved_, Bytes);
}

void ResultLedger::add(const std::string &Target, const std::string &Handle,
                       std::uint64_t Bytes, SteadyTime Expiry) {
  Targets_[Target].Results_[Handle] = {Bytes, Expiry};
}

bool ResultLedger::contains(const std::string &Target,
                            const std::string &Handle) const {
  auto Found = Targets_.find(Target);
  return Found != Targets_.end() && Found->second.Results_.count(Handle) > 0;
}

void ResultLedger::remove(const std::string &Target,
                          const std::string &Handle) {
  auto Found = Targets_.find(Target);
  if (Found != Targets_.end())
    Found->second.Results_.erase(Handle);
}

void ResultLedger::onNoRoom(const std::string &Target, SteadyTime FullUntil) {
  Targets_[Target].FullUntil_ = FullUntil;
}

void ResultLedger::forgetTarget(const std::string &Target) {
  Targets_.erase(Target);
}

std::uint64_t ResultLedger::left(const std::string &Target, std::uint64_t Room,
                                 SteadyTime Now) {
  Entry &Of = Targets_[Target];
  if (Now < Of.FullUntil_)
    return 0;
  std::erase_if(Of.Results_,
                [&](const auto &Item) { return Now >= Item.second.Expiry_; });
  std::uint64_t Used = Of.Reserved_;
  for (const auto &[Handle, Kept] : Of.Results_)
    Used += Kept.Bytes_;
  return Room > Used ? Room - Used : 0;
}

} // namespace amaranth::coordination
