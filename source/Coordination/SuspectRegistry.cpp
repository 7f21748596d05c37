#include "Coordination/SuspectRegistry.h"

#include <algorithm>

namespace amaranth::coordination {

using protocol::SuspectInput;

namespace {

/// Minimum time between two removals of all expired crashes.
constexpr Seconds ExpiryCheckPeriod{1};
/// Bounds how often the time for which an input is refused is doubled.
constexpr int MaxDoublings = 16;

} // namespace

SuspectRegistry::SuspectRegistry(SuspectRegistrySettings Settings,
                                 SuspectListener *Listener)
    : Settings_(std::move(Settings)), Listener_(Listener) {}

InputStatus SuspectRegistry::inputStatus(const std::string &Digest) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  const Entry *Suspect = find(Digest, Now);
  if (!Suspect || isExplainedByRefused(*Suspect, Now))
    return InputStatus::Clear;
  if (!isAtCrashLimit(*Suspect))
    return InputStatus::Suspect;
  return isInnocent(*Suspect, Now) ? InputStatus::Clear : InputStatus::Refused;
}

bool SuspectRegistry::isAtCrashLimit(const Entry &Suspect) const {
  std::size_t Limit = Suspect.Refusals_ > 0 ? 1 : Settings_.CrashLimit_;
  return Suspect.Crashes_.size() >= Limit;
}

void SuspectRegistry::refuse(Entry &Suspect, SteadyTime Now) {
  Milliseconds Lifetime =
      std::min(Settings_.ConfirmedLifetime_,
               Settings_.UnconfirmedLifetime_ * (1 << Suspect.Refusals_));
  Suspect.Refusals_ = std::min(Suspect.Refusals_ + 1, MaxDoublings);
  for (auto &[Target, Details] : Suspect.Crashes_)
    Details.Expiry_ = std::max(Details.Expiry_, Now + Lifetime);
  Suspect.RefusalsExpiry_ = Now + Lifetime + Settings_.ConfirmedLifetime_;
}

bool SuspectRegistry::sharesAllCrashes(const Entry &Subject, const Entry &Other,
                                       SteadyTime Now) {
  return std::all_of(
      Subject.Crashes_.begin(), Subject.Crashes_.end(), [&](const auto &Item) {
        auto Shared = Other.Crashes_.find(Item.first);
        return Shared != Other.Crashes_.end() && Shared->second.Expiry_ > Now;
      });
}

bool SuspectRegistry::isExplainedByRefused(const Entry &Subject,
                                           SteadyTime Now) const {
  return std::any_of(Inputs_.begin(), Inputs_.end(), [&](const auto &Item) {
    const Entry &Other = Item.second;
    return isAtCrashLimit(Other) &&
           Other.Crashes_.size() > Subject.Crashes_.size() &&
           sharesAllCrashes(Subject, Other, Now);
  });
}

bool SuspectRegistry::isInnocent(const Entry &Subject, SteadyTime Now) const {
  if (isExplainedByRefused(Subject, Now))
    return true;
  return std::any_of(Inputs_.begin(), Inputs_.end(), [&](const auto &Item) {
    const Entry &Other = Item.second;
    Milliseconds InnocentRun = Settings_.InnocentRunMargin_ +
                               Settings_.InnocentRunFactor_ * Other.LongestRun_;
    return Subject.LongestRun_ > InnocentRun &&
           sharesAllCrashes(Subject, Other, Now);
  });
}

std::vector<std::string>
SuspectRegistry::crashedTargets(const std::string &Digest) {
  std::lock_guard Lock(Mutex_);
  std::vector<std::string> Names;
  const Entry *Suspect = find(Digest, Settings_.Now_());
  if (!Suspect)
    return Names;
  for (const auto &[Target, Details] : Suspect->Crashes_)
    Names.push_back(Target);
  return Names;
}

Milliseconds SuspectRegistry::repeatDelay(const std::string &Digest) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  const Entry *Suspect = find(Digest, Now);
  if (!Suspect || isInnocent(*Suspect, Now))
    return Settings_.ReportDelay_;
  auto SharesCrash = [&](const Entry &Other) {
    return std::any_of(
        Suspect->Crashes_.begin(), Suspect->Crashes_.end(),
        [&](const auto &Item) { return Other.Crashes_.contains(Item.first); });
  };
  std::size_t PrecedingSuspects = 0;
  for (const auto &[Name, Other] : Inputs_)
    if (Name < Digest && SharesCrash(Other) && !isInnocent(Other, Now))
      ++PrecedingSuspects;
  auto Turns =
      static_cast<int>(std::min(PrecedingSuspects, Settings_.MaxTurns_));
  return Settings_.ReportDelay_ + Turns * Settings_.TurnInterval_;
}

void SuspectRegistry::onConnectionReset(const std::string &Digest,
                                        const std::string &Target,
                                        Milliseconds RunTime) {
  SuspectInput Message;
  {
    std::lock_guard Lock(Mutex_);
    removeExpired(Settings_.Now_());
    addCrash(Digest, Target, RunTime, true);
    Message = toMessage(Digest, Inputs_[Digest]);
  }
  if (Listener_)
    Listener_->onSuspectChanged(Message);
}

void SuspectRegistry::onConnectionRefused(const std::string &Target) {
  std::lock_guard Lock(Mutex_);
  for (auto &[Digest, Suspect] : Inputs_) {
    auto Found = Suspect.Crashes_.find(Target);
    if (Found == Suspect.Crashes_.end() ||
        Found->second.Expiry_ <= Settings_.Now_())
      continue;
    Found->second.Confirmed_ = true;
    Found->second.Expiry_ = Found->second.Time_ + Settings_.ConfirmedLifetime_;
  }
}

void SuspectRegistry::onCompleted(const std::string &Digest,
                                  const std::string &Target) {
  SuspectInput Message;
  {
    std::lock_guard Lock(Mutex_);
    find(Digest, Settings_.Now_());
    auto Found = Inputs_.find(Digest);
    if (Found == Inputs_.end())
      return;
    Entry *Suspect = &Found->second;
    const auto &Crashes = Suspect->Crashes_;
    bool IsTrial = Crashes.empty();
    bool CrashedOtherTargets = Crashes.size() > Crashes.count(Target);
    auto CrashOfTarget = Crashes.find(Target);
    bool OnlyReset =
        CrashOfTarget != Crashes.end() && !CrashOfTarget->second.Confirmed_;
    if (!CrashedOtherTargets && !OnlyReset && !IsTrial)
      return;
    Message = toMessage(Digest, *Suspect);
    Message.Cleared_ = true;
    Inputs_.erase(Digest);
  }
  if (Listener_)
    Listener_->onSuspectChanged(Message);
}

void SuspectRegistry::merge(const SuspectInput &FromPeer) {
  std::lock_guard Lock(Mutex_);
  removeExpired(Settings_.Now_());
  if (FromPeer.Cleared_) {
    Inputs_.erase(FromPeer.Digest_);
    return;
  }
  for (const std::string &Target : FromPeer.CrashedTargets_)
    addCrash(FromPeer.Digest_, Target, FromPeer.LongestRun_, false);
}

std::vector<SuspectInput>
SuspectRegistry::recentLocalSuspects(std::size_t Limit) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  std::vector<std::pair<SteadyTime, SuspectInput>> ByTime;
  for (const auto &[Digest, Suspect] : Inputs_) {
    SteadyTime LatestCrash{};
    Entry LocalPart;
    LocalPart.LongestRun_ = Suspect.LongestRun_;
    for (const auto &[Target, Details] : Suspect.Crashes_) {
      if (!Details.Local_ || Details.Expiry_ <= Now)
        continue;
      LatestCrash = std::max(LatestCrash, Details.Time_);
      LocalPart.Crashes_[Target] = Details;
    }
    if (!LocalPart.Crashes_.empty())
      ByTime.emplace_back(LatestCrash, toMessage(Digest, LocalPart));
  }
  std::sort(ByTime.begin(), ByTime.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first > Right.first;
            });
  std::vector<SuspectInput> Messages;
  for (auto &[Time, Message] : ByTime)
    if (Messages.size() < Limit)
      Messages.push_back(std::move(Message));
  return Messages;
}

SuspectRegistry::Entry *SuspectRegistry::find(const std::string &Digest,
                                              SteadyTime Now) {
  auto Found = Inputs_.find(Digest);
  if (Found == Inputs_.end())
    return nullptr;
  std::erase_if(Found->second.Crashes_,
                [Now](const auto &Item) { return Item.second.Expiry_ <= Now; });
  if (!Found->second.Crashes_.empty())
    return &Found->second;
  if (Found->second.RefusalsExpiry_ <= Now)
    Inputs_.erase(Found);
  return nullptr;
}

void SuspectRegistry::removeExpired(SteadyTime Now) {
  if (Now < NextExpiryCheck_)
    return;
  NextExpiryCheck_ = Now + ExpiryCheckPeriod;
  for (auto &[Digest, Suspect] : Inputs_)
    std::erase_if(Suspect.Crashes_, [Now](const auto &Item) {
      return Item.second.Expiry_ <= Now;
    });
  std::erase_if(Inputs_, [Now](const auto &Item) {
    return Item.second.Crashes_.empty() && Item.second.RefusalsExpiry_ <= Now;
  });
}

void SuspectRegistry::addCrash(const std::string &Digest,
                               const std::string &Target, Milliseconds RunTime,
                               bool Local) {
  if (!Inputs_.contains(Digest) && Inputs_.size() >= Settings_.MaxInputs_) {
    auto LastExpiry = [](const auto &Item) {
      SteadyTime LatestExpiry{};
      for (const auto &[Name, Details] : Item.second.Crashes_)
        LatestExpiry = std::max(LatestExpiry, Details.Expiry_);
      return LatestExpiry;
    };
    auto NextToExpire =
        std::min_element(Inputs_.begin(), Inputs_.end(),
                         [&](const auto &Left, const auto &Right) {
                           return LastExpiry(Left) < LastExpiry(Right);
                         });
    Inputs_.erase(NextToExpire);
  }
  Entry &Suspect = Inputs_[Digest];
  bool WasAtCrashLimit = isAtCrashLimit(Suspect);
  Suspect.LongestRun_ = std::max(Suspect.LongestRun_, RunTime);
  Crash &Details = Suspect.Crashes_[Target];
  Details.Time_ = Settings_.Now_();
  Details.Local_ = Details.Local_ || Local;
  auto Lifetime = Details.Confirmed_ ? Settings_.ConfirmedLifetime_
                                     : Settings_.UnconfirmedLifetime_;
  Details.Expiry_ = std::max(Details.Expiry_, Details.Time_ + Lifetime);
  if (!WasAtCrashLimit && isAtCrashLimit(Suspect) &&
      !isInnocent(Suspect, Details.Time_))
    refuse(Suspect, Details.Time_);
}

SuspectInput SuspectRegistry::toMessage(const std::string &Digest,
                                        const Entry &Suspect) {
  SuspectInput Message;
  Message.Digest_ = Digest;
  Message.LongestRun_ = Suspect.LongestRun_;
  for (const auto &[Target, Details] : Suspect.Crashes_)
    Message.CrashedTargets_.push_back(Target);
  return Message;
}

} // namespace amaranth::coordination
