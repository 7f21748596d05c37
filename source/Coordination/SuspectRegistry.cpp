#include "Coordination/SuspectRegistry.h"

#include <algorithm>

namespace amaranth::coordination {

using protocol::SuspectInput;

namespace {

/// Time between two removals of everything that has expired.
constexpr Seconds SweepPeriod{1};

} // namespace

SuspectRegistry::SuspectRegistry(SuspectRegistrySettings Settings,
                                 SuspectListener *Listener)
    : Settings_(std::move(Settings)), Listener_(Listener) {}

InputStanding SuspectRegistry::standing(const std::string &Digest) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  const Entry *Known = find(Digest, Now);
  if (!Known || isInnocent(*Known, Now))
    return InputStanding::Clear;
  if (Known->Crashes_.size() >= Settings_.CrashLimit_)
    return InputStanding::Refused;
  return InputStanding::Suspect;
}

bool SuspectRegistry::isInnocent(const Entry &Of, SteadyTime Now) const {
  auto WasAtAll = [&](const Entry &Other) {
    return std::all_of(
        Of.Crashes_.begin(), Of.Crashes_.end(), [&](const auto &Item) {
          auto There = Other.Crashes_.find(Item.first);
          return There != Other.Crashes_.end() && There->second.Expiry_ > Now;
        });
  };
  return std::any_of(Inputs_.begin(), Inputs_.end(), [&](const auto &Item) {
    const Entry &Other = Item.second;
    Milliseconds Innocent = Settings_.InnocentRunMargin_ +
                            Settings_.InnocentRunFactor_ * Other.LongestRun_;
    bool Refused = Other.Crashes_.size() >= Settings_.CrashLimit_ &&
                   Other.Crashes_.size() > Of.Crashes_.size();
    return (Refused || Of.LongestRun_ > Innocent) && WasAtAll(Other);
  });
}

std::vector<std::string>
SuspectRegistry::crashedTargets(const std::string &Digest) {
  std::lock_guard Lock(Mutex_);
  std::vector<std::string> Names;
  const Entry *Known = find(Digest, Settings_.Now_());
  if (!Known)
    return Names;
  for (const auto &[Target, One] : Known->Crashes_)
    Names.push_back(Target);
  return Names;
}

Milliseconds SuspectRegistry::repeatDelay(const std::string &Digest) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  const Entry *Known = find(Digest, Now);
  if (!Known || isInnocent(*Known, Now))
    return Settings_.NewsDelay_;
  auto Shares = [&](const Entry &Other) {
    return std::any_of(
        Known->Crashes_.begin(), Known->Crashes_.end(),
        [&](const auto &Item) { return Other.Crashes_.contains(Item.first); });
  };
  std::size_t Before = 0;
  for (const auto &[Name, Other] : Inputs_)
    if (Name < Digest && Shares(Other) && !isInnocent(Other, Now))
      ++Before;
  auto Turns = static_cast<int>(std::min(Before, Settings_.MaxTurns_));
  return Settings_.NewsDelay_ + Turns * Settings_.TurnTime_;
}

void SuspectRegistry::onReset(const std::string &Digest,
                              const std::string &Target, Milliseconds Ran) {
  SuspectInput News;
  {
    std::lock_guard Lock(Mutex_);
    sweep(Settings_.Now_());
    add(Digest, Target, Ran, true);
    News = toMessage(Digest, Inputs_[Digest]);
  }
  if (Listener_)
    Listener_->onSuspectChanged(News);
}

void SuspectRegistry::onConnectionRefused(const std::string &Target) {
  std::lock_guard Lock(Mutex_);
  for (auto &[Digest, Known] : Inputs_) {
    auto Found = Known.Crashes_.find(Target);
    if (Found == Known.Crashes_.end() ||
        Found->second.Expiry_ <= Settings_.Now_())
      continue;
    Found->second.Confirmed_ = true;
    Found->second.Expiry_ = Found->second.Time_ + Settings_.ConfirmedHold_;
  }
}

void SuspectRegistry::onCompleted(const std::string &Digest,
                                  const std::string &Target) {
  SuspectInput News;
  {
    std::lock_guard Lock(Mutex_);
    Entry *Known = find(Digest, Settings_.Now_());
    if (!Known)
      return;
    const auto &Crashes = Known->Crashes_;
    bool Elsewhere = Crashes.size() > Crashes.count(Target);
    auto Own = Crashes.find(Target);
    bool NoCrash = Own != Crashes.end() && !Own->second.Confirmed_;
    if (!Elsewhere && !NoCrash)
      return;
    News = toMessage(Digest, *Known);
    News.Cleared_ = true;
    Inputs_.erase(Digest);
  }
  if (Listener_)
    Listener_->onSuspectChanged(News);
}

void SuspectRegistry::merge(const SuspectInput &FromPeer) {
  std::lock_guard Lock(Mutex_);
  sweep(Settings_.Now_());
  if (FromPeer.Cleared_) {
    Inputs_.erase(FromPeer.Digest_);
    return;
  }
  for (const std::string &Target : FromPeer.CrashedTargets_)
    add(FromPeer.Digest_, Target, FromPeer.LongestRun_, false);
}

std::vector<SuspectInput> SuspectRegistry::recent(std::size_t Limit) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  std::vector<std::pair<SteadyTime, SuspectInput>> Dated;
  for (const auto &[Digest, Known] : Inputs_) {
    SteadyTime Latest{};
    Entry Seen;
    Seen.LongestRun_ = Known.LongestRun_;
    for (const auto &[Target, One] : Known.Crashes_) {
      if (!One.Local_ || One.Expiry_ <= Now)
        continue;
      Latest = std::max(Latest, One.Time_);
      Seen.Crashes_[Target] = One;
    }
    if (!Seen.Crashes_.empty())
      Dated.emplace_back(Latest, toMessage(Digest, Seen));
  }
  std::sort(Dated.begin(), Dated.end(),
            [](const auto &Left, const auto &Right) {
              return Left.first > Right.first;
            });
  std::vector<SuspectInput> Messages;
  for (auto &[Time, Message] : Dated)
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
  Inputs_.erase(Found);
  return nullptr;
}

void SuspectRegistry::sweep(SteadyTime Now) {
  if (Now < NextSweep_)
    return;
  NextSweep_ = Now + SweepPeriod;
  for (auto &[Digest, Known] : Inputs_)
    std::erase_if(Known.Crashes_, [Now](const auto &Item) {
      return Item.second.Expiry_ <= Now;
    });
  std::erase_if(Inputs_,
                [](const auto &Item) { return Item.second.Crashes_.empty(); });
}

void SuspectRegistry::add(const std::string &Digest, const std::string &Target,
                          Milliseconds Ran, bool Local) {
  if (!Inputs_.contains(Digest) && Inputs_.size() >= Settings_.MaxInputs_) {
    auto LastExpiry = [](const auto &Item) {
      SteadyTime Last{};
      for (const auto &[Name, One] : Item.second.Crashes_)
        Last = std::max(Last, One.Expiry_);
      return Last;
    };
    auto First = std::min_element(Inputs_.begin(), Inputs_.end(),
                                  [&](const auto &Left, const auto &Right) {
                                    return LastExpiry(Left) < LastExpiry(Right);
                                  });
    Inputs_.erase(First);
  }
  Entry &Known = Inputs_[Digest];
  Known.LongestRun_ = std::max(Known.LongestRun_, Ran);
  Crash &One = Known.Crashes_[Target];
  One.Time_ = Settings_.Now_();
  One.Local_ = One.Local_ || Local;
  auto Hold =
      One.Confirmed_ ? Settings_.ConfirmedHold_ : Settings_.UnconfirmedHold_;
  One.Expiry_ = std::max(One.Expiry_, One.Time_ + Hold);
}

SuspectInput SuspectRegistry::toMessage(const std::string &Digest,
                                        const Entry &Known) {
  SuspectInput Message;
  Message.Digest_ = Digest;
  Message.LongestRun_ = Known.LongestRun_;
  for (const auto &[Target, One] : Known.Crashes_)
    Message.CrashedTargets_.push_back(Target);
  return Message;
}

} // namespace amaranth::coordination
