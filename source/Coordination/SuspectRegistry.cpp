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
  const Crashes *Known = find(Digest, Settings_.Now_());
  if (!Known)
    return InputStanding::Clear;
  if (Known->size() >= Settings_.CrashLimit_)
    return InputStanding::Refused;
  return InputStanding::Suspect;
}

std::vector<std::string>
SuspectRegistry::crashedTargets(const std::string &Digest) {
  std::lock_guard Lock(Mutex_);
  std::vector<std::string> Names;
  const Crashes *Known = find(Digest, Settings_.Now_());
  if (!Known)
    return Names;
  for (const auto &[Target, One] : *Known)
    Names.push_back(Target);
  return Names;
}

void SuspectRegistry::onReset(const std::string &Digest,
                              const std::string &Target) {
  SuspectInput News;
  {
    std::lock_guard Lock(Mutex_);
    sweep(Settings_.Now_());
    add(Digest, Target, true);
    News = toMessage(Digest, Inputs_[Digest]);
  }
  if (Listener_)
    Listener_->onSuspectChanged(News);
}

void SuspectRegistry::onConnectionRefused(const std::string &Target) {
  std::lock_guard Lock(Mutex_);
  for (auto &[Digest, Known] : Inputs_) {
    auto Found = Known.find(Target);
    if (Found == Known.end() || Found->second.Expiry_ <= Settings_.Now_())
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
    Crashes *Known = find(Digest, Settings_.Now_());
    if (!Known)
      return;
    bool Elsewhere = Known->size() > Known->count(Target);
    auto Own = Known->find(Target);
    bool NoCrash = Own != Known->end() && !Own->second.Confirmed_;
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
    add(FromPeer.Digest_, Target, false);
}

std::vector<SuspectInput> SuspectRegistry::recent(std::size_t Limit) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  std::vector<std::pair<SteadyTime, SuspectInput>> Dated;
  for (const auto &[Digest, Known] : Inputs_) {
    SteadyTime Latest{};
    Crashes Seen;
    for (const auto &[Target, One] : Known) {
      if (!One.Local_ || One.Expiry_ <= Now)
        continue;
      Latest = std::max(Latest, One.Time_);
      Seen[Target] = One;
    }
    if (!Seen.empty())
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

SuspectRegistry::Crashes *SuspectRegistry::find(const std::string &Digest,
                                                SteadyTime Now) {
  auto Found = Inputs_.find(Digest);
  if (Found == Inputs_.end())
    return nullptr;
  std::erase_if(Found->second,
                [Now](const auto &Item) { return Item.second.Expiry_ <= Now; });
  if (!Found->second.empty())
    return &Found->second;
  Inputs_.erase(Found);
  return nullptr;
}

void SuspectRegistry::sweep(SteadyTime Now) {
  if (Now < NextSweep_)
    return;
  NextSweep_ = Now + SweepPeriod;
  for (auto &[Digest, Known] : Inputs_)
    std::erase_if(
        Known, [Now](const auto &Item) { return Item.second.Expiry_ <= Now; });
  std::erase_if(Inputs_, [](const auto &Item) { return Item.second.empty(); });
}

void SuspectRegistry::add(const std::string &Digest, const std::string &Target,
                          bool Local) {
  if (!Inputs_.contains(Digest) && Inputs_.size() >= Settings_.MaxInputs_) {
    auto LastExpiry = [](const auto &Item) {
      SteadyTime Last{};
      for (const auto &[Name, One] : Item.second)
        Last = std::max(Last, One.Expiry_);
      return Last;
    };
    auto First = std::min_element(Inputs_.begin(), Inputs_.end(),
                                  [&](const auto &Left, const auto &Right) {
                                    return LastExpiry(Left) < LastExpiry(Right);
                                  });
    Inputs_.erase(First);
  }
  Crash &One = Inputs_[Digest][Target];
  One.Time_ = Settings_.Now_();
  One.Local_ = One.Local_ || Local;
  auto Hold =
      One.Confirmed_ ? Settings_.ConfirmedHold_ : Settings_.UnconfirmedHold_;
  One.Expiry_ = std::max(One.Expiry_, One.Time_ + Hold);
}

SuspectInput SuspectRegistry::toMessage(const std::string &Digest,
                                        const Crashes &Known) {
  SuspectInput Message;
  Message.Digest_ = Digest;
  for (const auto &[Target, One] : Known)
    Message.CrashedTargets_.push_back(Target);
  return Message;
}

} // namespace amaranth::coordination
