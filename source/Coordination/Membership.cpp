#include "Coordination/Membership.h"

#include "Support/Log.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace amaranth::coordination {

using protocol::Gossip;
using protocol::Member;
using protocol::MemberStatus;

namespace {

/// Probe periods of this host that may overlap when a peer does not answer.
constexpr int MaxRunningPeriods = 2;

/// A gap of this many periods means that this process was paused.
constexpr int PausePeriods = 4;

/// Each update is sent the binary logarithm of the fleet size times this
/// factor.
constexpr int AnnouncementFactor = 3;

/// Version of a record of one host; the greatest version is the newest.
auto versionOf(const Member &Host) {
  return std::make_tuple(Host.Incarnation_, Host.Refutation_, Host.Status_);
}

bool isDead(const Member &Host) { return Host.Status_ == MemberStatus::Dead; }

const char *toString(MemberStatus Status) {
  switch (Status) {
  case MemberStatus::Alive:
    return "alive";
  case MemberStatus::Suspect:
    return "suspect";
  case MemberStatus::Draining:
    return "draining";
  case MemberStatus::Dead:
    return "dead";
  }
  return "unknown";
}

} // namespace

Membership::Membership(const MembershipSettings &Settings, const Member &Self,
                       protocol::PeerNetwork &Network, Clock Now)
    : Settings_(Settings), Network_(Network), Now_(std::move(Now)), Self_(Self),
      LastPeriod_(Now_()),
      Random_(Settings.Seed_ ? Settings.Seed_ : std::random_device()()) {
  assert(!Self_.Host_.empty() && !Self_.PeerAddress_.empty());
}

Membership::~Membership() { stop(); }

void Membership::addListener(Listener &Observer) {
  Listeners_.push_back(&Observer);
}

void Membership::addParticipant(GossipParticipant &Participant) {
  Participants_.push_back(&Participant);
}

void Membership::addSeeds(const std::vector<std::string> &PeerAddresses) {
  std::lock_guard Lock(Mutex_);
  Seeds_.insert(PeerAddresses.begin(), PeerAddresses.end());
  Seeds_.erase(Self_.PeerAddress_);
}

void Membership::addKnownMembers(const std::vector<Member> &KnownMembers) {
  Changes Changed;
  {
    std::lock_guard Lock(Mutex_);
    for (const Member &Host : KnownMembers)
      merge(Host, Changed);
  }
  notify(Changed);
}

void Membership::start(transport::TimerService &Timers,
                       transport::WorkArena &Arena) {
  Timer_ = Timers.subscribe(Settings_.ProbePeriod_,
                            [this, &Arena] { startPeriod(Arena); });
}

void Membership::startPeriod(transport::WorkArena &Arena) {
  {
    std::lock_guard Lock(Mutex_);
    // Recorded even if this period is skipped because earlier probes are still
    // in progress; otherwise peers that do not answer would look like a pause
    // of this process.
    excludePause(Now_());
    if (Stopping_ || RunningPeriods_ >= MaxRunningPeriods)
      return;
    ++RunningPeriods_;
  }
  Arena.enqueue([this] {
    probePeers();
    // Notifies under the lock: the waiter may destroy this object next.
    std::lock_guard Lock(Mutex_);
    --RunningPeriods_;
    PeriodEnded_.notify_all();
  });
}

void Membership::stop() {
  Timer_.cancel();
  std::unique_lock Lock(Mutex_);
  Stopping_ = true;
  PeriodEnded_.wait(Lock, [this] { return RunningPeriods_ == 0; });
}

void Membership::runPeriod() {
  {
    std::lock_guard Lock(Mutex_);
    excludePause(Now_());
  }
  probePeers();
}

void Membership::probePeers() {
  Changes Changed;
  std::vector<ProbeTarget> Targets;
  {
    std::lock_guard Lock(Mutex_);
    const SteadyTime Time = Now_();
    expireSuspicions(Time, Changed);
    forgetDead(Time);
    Targets = chooseTargets();
  }
  notify(Changed);
  for (const ProbeTarget &Target : Targets)
    probe(Target);
}

/// Extends all suspicions by the time in which this process was paused, because
/// no suspect could refute during it.
void Membership::excludePause(SteadyTime Time) {
  const auto Gap = Time - LastPeriod_;
  LastPeriod_ = Time;
  if (Gap < Settings_.ProbePeriod_ * PausePeriods)
    return;
  for (auto &[Host, Entry] : Records_)
    if (Entry.SuspectSince_)
      *Entry.SuspectSince_ += Gap;
}

void Membership::expireSuspicions(SteadyTime Time, Changes &Changed) {
  const Milliseconds Limit = suspicionTime();
  for (auto &[Host, Entry] : Records_) {
    if (!Entry.SuspectSince_ || Time - *Entry.SuspectSince_ < Limit)
      continue;
    Member Update = Entry.Member_;
    Update.Status_ = MemberStatus::Dead;
    updateRecord(Entry, Update, Changed);
  }
}

void Membership::forgetDead(SteadyTime Time) {
  std::erase_if(Records_, [&](const auto &Item) {
    const Record &Entry = Item.second;
    return isDead(Entry.Member_) &&
           Time - Entry.ChangedAt_ >= Settings_.DeadRetention_;
  });
}

std::size_t Membership::liveCount() const {
  return static_cast<std::size_t>(
      std::count_if(Records_.begin(), Records_.end(), [](const auto &Item) {
        return !isDead(Item.second.Member_);
      }));
}

Milliseconds Membership::suspicionTime() const {
  const double Size = static_cast<double>(liveCount() + 1);
  const auto Digits =
      static_cast<Milliseconds::rep>(std::ceil(std::log10(Size)));
  return Settings_.SuspicionTime_ * std::max<Milliseconds::rep>(Digits, 1);
}

void Membership::merge(const Member &Update, Changes &Changed) {
  if (Update.Host_ == Self_.Host_) {
    mergeSelf(Update);
    return;
  }
  if (Update.Host_.empty() || Update.PeerAddress_.empty())
    return;
  auto Found = Records_.find(Update.Host_);
  if (Found == Records_.end()) {
    // Unknown hosts are not added when they are dead; otherwise hosts would
    // pass the record of a forgotten host to each other for ever.
    if (isDead(Update) || Records_.size() >= Settings_.MaxMembers_)
      return;
    updateRecord(Records_[Update.Host_], Update, Changed);
  } else if (versionOf(Update) > versionOf(Found->second.Member_)) {
    updateRecord(Found->second, Update, Changed);
  }
}

void Membership::mergeSelf(const Member &Update) {
  if (Update.Incarnation_ > Self_.Incarnation_ && !Superseded_) {
    Superseded_ = true;
    LogEvent(LogLevel::Error, "host_superseded")
        .field("incarnation", Self_.Incarnation_)
        .field("newer", Update.Incarnation_);
  }
  const bool ReportedFailed = Update.Status_ == MemberStatus::Suspect ||
                              Update.Status_ == MemberStatus::Dead;
  if (Update.Incarnation_ != Self_.Incarnation_ || !ReportedFailed ||
      Update.Refutation_ < Self_.Refutation_)
    return;
  Self_.Refutation_ = Update.Refutation_ + 1;
}

void Membership::updateRecord(Record &Entry, const Member &Update,
                              Changes &Changed) {
  const SteadyTime Time = Now_();
  const bool SameProcess = Entry.Member_.Incarnation_ == Update.Incarnation_;
  const bool StatusChanged =
      !SameProcess || Entry.Member_.Status_ != Update.Status_;
  if (!SameProcess)
    Entry.LastContact_.reset();
  Entry.LeftByDraining_ = isDead(Update) && SameProcess &&
                          Entry.Member_.Status_ == MemberStatus::Draining;
  Entry.Member_ = Update;
  Entry.ChangedAt_ = Time;
  Entry.SuspectSince_.reset();
  if (Update.Status_ == MemberStatus::Suspect)
    Entry.SuspectSince_ = Time;
  queueAnnouncement(Update.Host_);
  if (StatusChanged)
    Changed.push_back(Update);
}

/// A draining member keeps its status while it is suspected.
void Membership::startSuspicion(Record &Entry, Changes &Changed) {
  if (isDead(Entry.Member_) || Entry.SuspectSince_)
    return;
  if (Entry.Member_.Status_ == MemberStatus::Draining) {
    Entry.SuspectSince_ = Now_();
  } else {
    Member Update = Entry.Member_;
    Update.Status_ = MemberStatus::Suspect;
    updateRecord(Entry, Update, Changed);
  }
  // The next probe goes to this member and carries the suspicion, so that it
  // can refute at once.
  ProbeOrder_.push_back(Entry.Member_.Host_);
}

void Membership::queueAnnouncement(const std::string &Host) {
  const double Size = static_cast<double>(Records_.size() + 2);
  Announcements_[Host] =
      AnnouncementFactor * static_cast<int>(std::ceil(std::log2(Size)));
}

std::vector<Membership::ProbeTarget> Membership::chooseTargets() {
  std::vector<ProbeTarget> Targets;
  if (auto Next = nextProbeTarget())
    Targets.push_back(*Next);
  const bool Reconnect = PeriodCount_ % Settings_.ReconnectPeriods_ == 0;
  ++PeriodCount_;
  if (Targets.empty() || Reconnect)
    if (auto Unreached = chooseReconnectTarget())
      Targets.push_back(*Unreached);
  return Targets;
}

std::optional<Membership::ProbeTarget> Membership::nextProbeTarget() {
  for (int Round = 0; Round < 2; ++Round) {
    while (!ProbeOrder_.empty()) {
      std::string Host = std::move(ProbeOrder_.back());
      ProbeOrder_.pop_back();
      auto Found = Records_.find(Host);
      if (Found != Records_.end() && !isDead(Found->second.Member_))
        return ProbeTarget{Host, Found->second.Member_.PeerAddress_};
    }
    for (const auto &[Host, Entry] : Records_)
      if (!isDead(Entry.Member_))
        ProbeOrder_.push_back(Host);
    std::shuffle(ProbeOrder_.begin(), ProbeOrder_.end(), Random_);
  }
  return std::nullopt;
}

/// A random dead member or seed without a known host, if there is one.
std::optional<Membership::ProbeTarget> Membership::chooseReconnectTarget() {
  std::vector<ProbeTarget> Candidates;
  std::set<std::string> UnknownSeeds = Seeds_;
  for (const auto &[Host, Entry] : Records_) {
    UnknownSeeds.erase(Entry.Member_.PeerAddress_);
    if (isDead(Entry.Member_) && !Entry.LeftByDraining_)
      Candidates.push_back({Host, Entry.Member_.PeerAddress_});
  }
  for (const std::string &Address : UnknownSeeds)
    Candidates.push_back({"", Address});
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[Random_() % Candidates.size()];
}

void Membership::probe(const ProbeTarget &Target) {
  Gossip Outgoing = composeGossip(Target.Host_);
  auto Reply = capture([&] {
    return Network_.probe(Target.PeerAddress_, Outgoing,
                          Settings_.ProbeTimeout_);
  });
  if (Reply)
    processGossip(*Reply);
  // Another process may have taken over the address.
  const bool Answered =
      Reply && (Target.Host_.empty() || Reply->Sender_.Host_ == Target.Host_);
  if (Answered || Target.Host_.empty() || probeIndirectly(Target))
    return;
  Changes Changed;
  {
    std::lock_guard Lock(Mutex_);
    auto Found = Records_.find(Target.Host_);
    // A new incarnation may have appeared at another address meanwhile.
    if (Found != Records_.end() &&
        Found->second.Member_.PeerAddress_ == Target.PeerAddress_)
      startSuspicion(Found->second, Changed);
  }
  notify(Changed);
}

std::vector<std::string>
Membership::chooseIndirectProbers(const std::string &Host) {
  std::vector<std::string> Candidates;
  auto Target = Records_.find(Host);
  // Dead members are only probed directly.
  if (Target == Records_.end() || isDead(Target->second.Member_))
    return Candidates;
  for (const auto &[Name, Entry] : Records_)
    if (Name != Host && Entry.Member_.Status_ == MemberStatus::Alive)
      Candidates.push_back(Entry.Member_.PeerAddress_);
  std::vector<std::string> Probers;
  std::sample(Candidates.begin(), Candidates.end(), std::back_inserter(Probers),
              Settings_.IndirectProbes_, Random_);
  return Probers;
}

bool Membership::probeIndirectly(const ProbeTarget &Target) {
  std::vector<std::string> Probers;
  {
    std::lock_guard Lock(Mutex_);
    Probers = chooseIndirectProbers(Target.Host_);
  }
  return std::any_of(
      Probers.begin(), Probers.end(), [&](const std::string &Prober) {
        auto Answer = capture([&] {
          return Network_.probeIndirect(Prober, Target.PeerAddress_,
                                        Settings_.IndirectTimeout_);
        });
        return Answer && *Answer;
      });
}

Gossip Membership::onProbe(const Gossip &FromPeer) {
  processGossip(FromPeer);
  return composeGossip(FromPeer.Sender_.Host_);
}

bool Membership::onProbeIndirect(const std::string &PeerAddress) {
  std::string Host;
  {
    std::lock_guard Lock(Mutex_);
    for (const auto &[Name, Entry] : Records_)
      if (Entry.Member_.PeerAddress_ == PeerAddress)
        Host = Name;
  }
  if (Host.empty())
    return false;
  Gossip Outgoing = composeGossip(Host);
  auto Reply = capture([&] {
    return Network_.probe(PeerAddress, Outgoing, Settings_.ProbeTimeout_);
  });
  if (!Reply)
    return false;
  processGossip(*Reply);
  return Reply->Sender_.Host_ == Host;
}

Gossip Membership::composeGossip(const std::string &Receiver) {
  Gossip Outgoing;
  {
    std::lock_guard Lock(Mutex_);
    Outgoing.Sender_ = Self_;
    addUpdates(Outgoing, Receiver);
  }
  for (GossipParticipant *Participant : Participants_)
    Participant->contribute(Outgoing);
  return Outgoing;
}

void Membership::addUpdates(Gossip &Outgoing, const std::string &Receiver) {
  // Includes a suspicion of the receiver itself, so that it can refute.
  auto Found = Records_.find(Receiver);
  if (Found != Records_.end() &&
      (isDead(Found->second.Member_) || Found->second.SuspectSince_)) {
    Member Suspicion = Found->second.Member_;
    if (!isDead(Suspicion))
      Suspicion.Status_ = MemberStatus::Suspect;
    Outgoing.Updates_.push_back(Suspicion);
  }
  addAnnouncements(Outgoing);
  addRandomMembers(Outgoing);
}

/// Adds the updates with the most sends left, which were sent least often.
void Membership::addAnnouncements(Gossip &Outgoing) {
  std::vector<std::pair<int, std::string>> Pending;
  for (const auto &[Host, SendsLeft] : Announcements_)
    Pending.emplace_back(SendsLeft, Host);
  std::sort(Pending.rbegin(), Pending.rend());
  for (const auto &[SendsLeft, Host] : Pending) {
    if (Outgoing.Updates_.size() >= Settings_.MaxUpdates_)
      return;
    auto Found = Records_.find(Host);
    if (Found != Records_.end())
      Outgoing.Updates_.push_back(Found->second.Member_);
    if (SendsLeft <= 1 || Found == Records_.end())
      Announcements_.erase(Host);
    else
      Announcements_[Host] = SendsLeft - 1;
  }
}

void Membership::addRandomMembers(Gossip &Outgoing) {
  const std::size_t Available =
      std::min(Settings_.RandomUpdates_,
               Settings_.MaxUpdates_ -
                   std::min(Settings_.MaxUpdates_, Outgoing.Updates_.size()));
  std::vector<const Member *> Live;
  for (const auto &[Host, Entry] : Records_)
    if (!isDead(Entry.Member_))
      Live.push_back(&Entry.Member_);
  std::vector<const Member *> Chosen;
  std::sample(Live.begin(), Live.end(), std::back_inserter(Chosen), Available,
              Random_);
  for (const Member *Host : Chosen)
    Outgoing.Updates_.push_back(*Host);
}

void Membership::processGossip(const Gossip &FromPeer) {
  Changes Changed;
  {
    std::lock_guard Lock(Mutex_);
    const Member &Sender = FromPeer.Sender_;
    merge(Sender, Changed);
    auto Found = Records_.find(Sender.Host_);
    if (Found != Records_.end() &&
        Found->second.Member_.Incarnation_ == Sender.Incarnation_) {
      Found->second.LastContact_ = Now_();
      Found->second.Member_.Load_ = Sender.Load_;
    }
    const std::size_t Count =
        std::min(FromPeer.Updates_.size(), Settings_.MaxUpdates_ * 2);
    for (std::size_t I = 0; I < Count; ++I)
      merge(FromPeer.Updates_[I], Changed);
  }
  notify(Changed);
  for (GossipParticipant *Participant : Participants_)
    Participant->receive(FromPeer);
}

void Membership::notify(const Changes &Changed) {
  for (const Member &Host : Changed) {
    LogEvent(LogLevel::Info, "member_status")
        .field("host", Host.Host_)
        .field("incarnation", Host.Incarnation_)
        .field("status", toString(Host.Status_));
    for (Listener *Observer : Listeners_)
      Observer->onMemberChanged(Host);
  }
}

void Membership::announceDraining() {
  std::lock_guard Lock(Mutex_);
  Self_.Status_ = MemberStatus::Draining;
  // Overrides suspicions of this host that are still being spread.
  ++Self_.Refutation_;
}

void Membership::adoptIncarnation(std::uint64_t Incarnation) {
  std::lock_guard Lock(Mutex_);
  if (Incarnation <= Self_.Incarnation_)
    return;
  Self_.Incarnation_ = Incarnation;
  Self_.Refutation_ = 0;
}

bool Membership::isSuperseded() const {
  std::lock_guard Lock(Mutex_);
  return Superseded_;
}

bool Membership::contactedMajorityWithin(Milliseconds Window) const {
  std::lock_guard Lock(Mutex_);
  const SteadyTime Oldest = Now_() - Window;
  std::size_t Peers = 0;
  std::size_t DirectContacts = 0;
  std::size_t LivePeers = 0;
  for (const auto &[Host, Entry] : Records_) {
    if (Entry.LeftByDraining_)
      continue;
    ++Peers;
    DirectContacts +=
        Entry.LastContact_ && *Entry.LastContact_ >= Oldest ? 1 : 0;
    LivePeers += isDead(Entry.Member_) ? 0 : 1;
  }
  if (Peers <= Settings_.DirectContactLimit_)
    return Peers == 0 || DirectContacts * 2 > Peers;
  // In a large fleet, members that reachable peers report as live count too.
  return DirectContacts > 0 && LivePeers * 2 > Peers;
}

Member Membership::self() const {
  std::lock_guard Lock(Mutex_);
  return Self_;
}

std::vector<Member> Membership::members() const {
  std::lock_guard Lock(Mutex_);
  std::vector<Member> Members{Self_};
  for (const auto &[Host, Entry] : Records_)
    Members.push_back(Entry.Member_);
  return Members;
}

std::optional<Member> Membership::find(const std::string &Host) const {
  std::lock_guard Lock(Mutex_);
  if (Host == Self_.Host_)
    return Self_;
  auto Found = Records_.find(Host);
  if (Found == Records_.end())
    return std::nullopt;
  return Found->second.Member_;
}

} // namespace amaranth::coordination
