#include "Coordination/Targets/TargetLimits.h"

namespace amaranth::coordination {

namespace {

/// A target that has not answered for this long is asked as if it had no limit,
/// which shows whether it still has one.
constexpr Seconds LimitLifetime{30};

} // namespace

bool TargetLimits::set(const std::string &Id, std::optional<double> PerSecond,
                       SteadyTime Now) {
  if (!PerSecond)
    return Limits_.erase(Id) > 0;
  auto [Entry, IsNew] = Limits_.try_emplace(Id);
  Limit &Known = Entry->second;
  Known.StatedAt_ = Now;
  bool Changed = IsNew || Known.PerSecond_ != *PerSecond;
  Known.PerSecond_ = *PerSecond;
  return Changed;
}

std::optional<double> TargetLimits::find(const std::string &Id) const {
  auto Found = Limits_.find(Id);
  if (Found == Limits_.end())
    return std::nullopt;
  return Found->second.PerSecond_;
}

void TargetLimits::setFullUntil(const std::string &Id, SteadyTime Until) {
  auto Found = Limits_.find(Id);
  if (Found != Limits_.end())
    Found->second.FullUntil_ = Until;
}

SteadyTime TargetLimits::opensAt(const std::string &Id) const {
  auto Found = Limits_.find(Id);
  return Found == Limits_.end() ? SteadyTime{} : Found->second.FullUntil_;
}

void TargetLimits::forgetOld(SteadyTime Now) {
  std::erase_if(Limits_, [&](const auto &Item) {
    return Now - Item.second.StatedAt_ > LimitLifetime;
  });
}

} // namespace amaranth::coordination
