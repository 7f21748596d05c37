#include "Coordination/Engines/SuspectPartRegistry.h"

#include <algorithm>

namespace amaranth::coordination {

using protocol::SuspectPart;
using protocol::SuspectParts;

SuspectPartRegistry::SuspectPartRegistry(SuspectPartPeers &Peers,
                                         SuspectPartRegistrySettings Settings)
    : Peers_(Peers), Settings_(Settings) {}

void SuspectPartRegistry::onCrash(const std::vector<std::string> &Parts,
                                  const std::string &Engine, SteadyTime Now) {
  SuspectParts Report;
  for (const std::string &Id : Parts) {
    Entry &Part = findOrAdd(Id, Now);
    if (!addCrash(Part, {Engine, Now}, Now))
      continue;
    Report.Parts_.push_back(report(Id, Part, Now));
    Report.Parts_.back().Crashes_.push_back({Engine, Milliseconds{0}});
  }
  if (!Report.Parts_.empty())
    Peers_.reportParts(Report);
}

void SuspectPartRegistry::onAnswered(const std::vector<std::string> &Parts,
                                     SteadyTime Now) {
  SuspectParts Report;
  for (const std::string &Id : Parts) {
    Entry &Part = findOrAdd(Id, Now);
    bool WasSuspected = !Part.Crashes_.empty();
    Part.Answered_ = true;
    Part.Crashes_.clear();
    Part.Trials_ = 0;
    if (!WasSuspected)
      continue;
    Report.Parts_.push_back(report(Id, Part, Now));
    Report.Parts_.back().Cleared_ = true;
  }
  if (!Report.Parts_.empty())
    Peers_.reportParts(Report);
}

const std::string *
SuspectPartRegistry::findRefused(const std::vector<std::string> &Parts,
                                 SteadyTime Now) const {
  const std::string *Refused = nullptr;
  bool MayTry = false;
  int Suspects = 0;
  for (const std::string &Id : Parts) {
    auto Found = Parts_.find(Id);
    if (Found == Parts_.end() || !isSuspect(Found->second, Now))
      continue;
    ++Suspects;
    if (!isRefused(Found->second, Now))
      continue;
    Refused = &Id;
    MayTry = mayTry(Id, Found->second, Now);
  }
  // With several suspects, a crash would not show which of them is the cause.
  return MayTry && Suspects == 1 ? nullptr : Refused;
}

void SuspectPartRegistry::onSent(const std::vector<std::string> &Parts,
                                 SteadyTime Now) {
  SuspectParts Report;
  for (const std::string &Id : Parts) {
    auto Found = Parts_.find(Id);
    if (Found == Parts_.end() || !isRefused(Found->second, Now))
      continue;
    ++Found->second.Trials_;
    Found->second.LastAttempt_ = Now;
    Report.Parts_.push_back(report(Id, Found->second, Now));
  }
  // If this host ends, its successor continues with the same number of trials.
  if (!Report.Parts_.empty())
    Peers_.reportParts(Report);
}

void SuspectPartRegistry::merge(const SuspectParts &FromPeer, SteadyTime Now) {
  for (const SuspectPart &Report : FromPeer.Parts_) {
    Entry &Part = findOrAdd(Report.Id_, Now);
    Part.Answered_ = Part.Answered_ || Report.Answered_;
    if (Report.Cleared_) {
      Part.Crashes_.clear();
      Part.Trials_ = 0;
    }
    if (Report.Trials_ > 0) {
      Part.Trials_ = std::max(Part.Trials_, Report.Trials_);
      Part.LastAttempt_ =
          std::max(Part.LastAttempt_, Now - Report.LastAttemptAge_);
    }
    for (const protocol::PartCrash &Reported : Report.Crashes_)
      addCrash(Part, {Reported.Engine_, Now - Reported.Age_}, Now);
  }
}

std::optional<SuspectPart>
SuspectPartRegistry::findSuspect(const std::string &Id, SteadyTime Now) const {
  auto Found = Parts_.find(Id);
  if (Found == Parts_.end() || !isSuspect(Found->second, Now))
    return std::nullopt;
  return reportWithCrashes(Id, Found->second, Now);
}

SuspectParts SuspectPartRegistry::suspects(SteadyTime Now) const {
  SuspectParts Report;
  for (const auto &[Id, Part] : Parts_)
    if (!Part.Crashes_.empty())
      Report.Parts_.push_back(reportWithCrashes(Id, Part, Now));
  return Report;
}

SuspectPart SuspectPartRegistry::report(const std::string &Id,
                                        const Entry &Part, SteadyTime Now) {
  SuspectPart Report;
  Report.Id_ = Id;
  Report.Answered_ = Part.Answered_;
  Report.Trials_ = Part.Trials_;
  Report.LastAttemptAge_ =
      std::chrono::duration_cast<Milliseconds>(Now - Part.LastAttempt_);
  return Report;
}

SuspectPart SuspectPartRegistry::reportWithCrashes(const std::string &Id,
                                                   const Entry &Part,
                                                   SteadyTime Now) {
  SuspectPart Report = report(Id, Part, Now);
  for (const Crash &Known : Part.Crashes_)
    Report.Crashes_.push_back(
        {Known.Engine_,
         std::chrono::duration_cast<Milliseconds>(Now - Known.Time_)});
  return Report;
}

bool SuspectPartRegistry::isSameCrash(const Crash &Left,
                                      const Crash &Right) const {
  return Left.Engine_ == Right.Engine_ &&
         std::chrono::abs(Left.Time_ - Right.Time_) <
             Settings_.MaxReportDifference_;
}

bool SuspectPartRegistry::reachesLimit(const std::vector<Crash> &Crashes,
                                       SteadyTime Now) const {
  std::size_t Count = 0;
  SteadyTime LastCounted{};
  for (const Crash &Known : Crashes) {
    bool IsClose =
        Count > 0 && Known.Time_ - LastCounted < Settings_.CrashInterval_;
    if (IsClose || Now - Known.Time_ >= Settings_.CrashLifetime_)
      continue;
    ++Count;
    LastCounted = Known.Time_;
  }
  return Count >= Settings_.CrashLimit_;
}

bool SuspectPartRegistry::isSuspect(const Entry &Part, SteadyTime Now) const {
  return reachesLimit(Part.Crashes_, Now);
}

bool SuspectPartRegistry::isRefused(const Entry &Part, SteadyTime Now) const {
  if (!isSuspect(Part, Now))
    return false;
  std::vector<Crash> Unexplained = Part.Crashes_;
  for (const auto &Item : Parts_) {
    const Entry &Other = Item.second;
    bool IsLikelier = Part.Answered_ == Other.Answered_
                          ? Other.Crashes_.size() > Part.Crashes_.size()
                          : Part.Answered_;
    if (!IsLikelier || !isSuspect(Other, Now))
      continue;
    std::erase_if(Unexplained, [&](const Crash &Own) {
      return std::any_of(
          Other.Crashes_.begin(), Other.Crashes_.end(),
          [&](const Crash &Shared) { return isSameCrash(Own, Shared); });
    });
  }
  return reachesLimit(Unexplained, Now);
}

bool SuspectPartRegistry::mayTry(const std::string &Id, const Entry &Part,
                                 SteadyTime Now) const {
  if (!Part.Answered_ && Part.Trials_ >= Settings_.MaxUnansweredTrials_)
    return false;
  Milliseconds Delay = Settings_.TrialDelay_;
  for (std::uint32_t Trial = 0;
       Trial < Part.Trials_ && Delay < Settings_.CrashLifetime_; ++Trial)
    Delay *= Settings_.TrialDelayFactor_;
  return Now - Part.LastAttempt_ >= Delay && Peers_.triesPart(Id);
}

bool SuspectPartRegistry::addCrash(Entry &Part, const Crash &Added,
                                   SteadyTime Now) {
  std::erase_if(Part.Crashes_, [&](const Crash &Known) {
    return Now - Known.Time_ >= Settings_.CrashLifetime_;
  });
  bool IsKnown = std::any_of(
      Part.Crashes_.begin(), Part.Crashes_.end(),
      [&](const Crash &Known) { return isSameCrash(Known, Added); });
  if (IsKnown)
    return false;
  if (Part.Crashes_.size() >= Settings_.MaxCrashes_)
    Part.Crashes_.erase(Part.Crashes_.begin());
  auto Position = std::upper_bound(
      Part.Crashes_.begin(), Part.Crashes_.end(), Added.Time_,
      [](SteadyTime Time, const Crash &Known) { return Time < Known.Time_; });
  Part.Crashes_.insert(Position, Added);
  Part.LastAttempt_ = std::max(Part.LastAttempt_, Added.Time_);
  return true;
}

SuspectPartRegistry::Entry &
SuspectPartRegistry::findOrAdd(const std::string &Id, SteadyTime Now) {
  if (!Parts_.contains(Id) && Parts_.size() >= Settings_.MaxParts_)
    removeOldest();
  Entry &Part = Parts_[Id];
  Part.LastReport_ = Now;
  return Part;
}

void SuspectPartRegistry::removeOldest() {
  auto Oldest = std::min_element(
      Parts_.begin(), Parts_.end(), [](const auto &Left, const auto &Right) {
        bool LeftHasCrashes = !Left.second.Crashes_.empty();
        bool RightHasCrashes = !Right.second.Crashes_.empty();
        if (LeftHasCrashes != RightHasCrashes)
          return RightHasCrashes;
        return Left.second.LastReport_ < Right.second.LastReport_;
      });
  Parts_.erase(Oldest);
}

} // namespace amaranth::coordination
