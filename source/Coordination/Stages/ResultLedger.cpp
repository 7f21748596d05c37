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
                       const std::string &Piece, std::uint64_t Bytes,
                       SteadyTime Expiry) {
  TargetUsage &Usage = UsageByTarget_[Target];
  if (!Usage.Results_.emplace(Handle, StoredResult{Piece, Bytes}).second)
    return;
  Usage.StoredBytes_ += Bytes;
  Usage.Expiries_.emplace_back(Expiry, Handle);
}

bool ResultLedger::wasReportedForOther(const std::string &Target,
                                       const std::string &Handle,
                                       const std::string &Piece) const {
  auto Usage = UsageByTarget_.find(Target);
  if (Usage == UsageByTarget_.end())
    return false;
  auto Found = Usage->second.Results_.find(Handle);
  return Found != Usage->second.Results_.end() && Found->second.Piece_ != Piece;
}

void ResultLedger::remove(const std::string &Target,
                          const std::string &Handle) {
  TargetUsage &Usage = UsageByTarget_[Target];
  auto Found = Usage.Results_.find(Handle);
  if (Found != Usage.Results_.end())
    Usage.StoredBytes_ -= std::exchange(Found->second.Bytes_, 0);
}

void ResultLedger::removeExpired(TargetUsage &Usage, SteadyTime Now) {
  while (!Usage.Expiries_.empty() && Usage.Expiries_.front().first <= Now) {
    auto Found = Usage.Results_.find(Usage.Expiries_.front().second);
    Usage.StoredBytes_ -= Found->second.Bytes_;
    Usage.Results_.erase(Found);
    Usage.Expiries_.pop_front();
  }
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
  removeExpired(Usage, Now);
  if (Now < Usage.FullUntil_)
    return 0;
  std::uint64_t UsedBytes = Usage.ReservedBytes_ + Usage.StoredBytes_;
  return Capacity > UsedBytes ? Capacity - UsedBytes : 0;
}

} // namespace amaranth::coordination
