#include "Serving/EntryContext.h"

namespace amaranth::serving {

using coordination::Withheld;
using state::TargetRecord;

std::vector<const TargetRecord *>
EntryContext::eligibleTargets(const std::string &Service) const {
  SteadyTime Now = SteadyClock::now();
  std::vector<const TargetRecord *> Eligible = Targets_.serving(Service);
  std::erase_if(Eligible, [&](const TargetRecord *Target) {
    return Notices_.check(*Target, Now) != Withheld::No ||
           !Origins_.mayBegin(*Target, Now);
  });
  return Eligible;
}

const TargetRecord *EntryContext::findEligible(const std::string &Id) const {
  const TargetRecord *Target = Targets_.find(Id);
  bool IsEligible =
      Target && Notices_.check(*Target, SteadyClock::now()) == Withheld::No;
  return IsEligible ? Target : nullptr;
}

bool EntryContext::isEvacuated(const std::string &Service) const {
  SteadyTime Now = SteadyClock::now();
  bool HasEvacuated = false;
  for (const TargetRecord *Target : Targets_.serving(Service)) {
    Withheld Reason = Notices_.check(*Target, Now);
    if (Reason == Withheld::No || Reason == Withheld::WantsNothing)
      return false;
    HasEvacuated = HasEvacuated || Reason == Withheld::Evacuated;
  }
  return HasEvacuated;
}

TargetExchangeSettings
EntryContext::exchangeSettings(const TargetRecord &Target) const {
  TargetExchangeSettings ExchangeSettings;
  ExchangeSettings.MaySend_ = [this, Id = Target.Id_,
                               Incarnation = Target.Incarnation_,
                               Version = Target.Version_] {
    const TargetRecord *Record = findEligible(Id);
    return Record && Record->Incarnation_ == Incarnation &&
           Record->Version_ == Version;
  };
  return ExchangeSettings;
}

} // namespace amaranth::serving
