#include "Coordination/Engines/EngineSpeed.h"

#include <algorithm>

namespace amaranth::coordination {

void EngineSpeed::onFirstEvent(const std::string &Engine, double Tokens,
                               Milliseconds Time, SteadyTime Now) {
  Entry &Measured = Entries_[Engine];
  if (Now - Measured.Updated_ >= Settings_.Lifetime_)
    Measured = Entry();
  double TokenTime =
      static_cast<double>(Time.count()) / (Tokens + Settings_.BaseTokens_);
  double Weight = Measured.Measurements_ > 0 ? Settings_.Smoothing_ : 1;
  Measured.TokenTime_ += Weight * (TokenTime - Measured.TokenTime_);
  ++Measured.Measurements_;
  Measured.Updated_ = Now;
}

const EngineSpeed::Entry *EngineSpeed::find(const std::string &Engine,
                                            SteadyTime Now) const {
  auto Found = Entries_.find(Engine);
  if (Found == Entries_.end() ||
      Found->second.Measurements_ < Settings_.MinMeasurements_ ||
      Now - Found->second.Updated_ >= Settings_.Lifetime_)
    return nullptr;
  return &Found->second;
}

double
EngineSpeed::usualTime(const std::vector<const state::TargetRecord *> &Engines,
                       SteadyTime Now) const {
  std::vector<double> Times;
  for (const state::TargetRecord *Engine : Engines)
    if (const Entry *Measured = find(Engine->Id_, Now))
      Times.push_back(Measured->TokenTime_);
  if (Times.empty())
    return 0;
  auto Middle = Times.begin() + static_cast<std::ptrdiff_t>(Times.size() / 2);
  std::nth_element(Times.begin(), Middle, Times.end());
  return *Middle;
}

double EngineSpeed::slowness(const std::string &Engine, double UsualTime,
                             SteadyTime Now) const {
  const Entry *Measured = find(Engine, Now);
  if (!Measured || UsualTime <= 0)
    return 1;
  return std::clamp(Measured->TokenTime_ / UsualTime, Settings_.MinSlowness_,
                    Settings_.MaxSlowness_);
}

void EngineSpeed::forgetUnused(SteadyTime Now) {
  std::erase_if(Entries_, [&](const auto &Item) {
    return Now - Item.second.Updated_ >= Settings_.Lifetime_;
  });
}

} // namespace amaranth::coordination
