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

/// Probes of one host that may overlap when a peer is silent.
constexpr int MaxRunningPeriods = 2;

/// A gap of this many periods means that this process was paused.
constexpr int PausePeriods = 4;

/// Each update is sent this many times the binary logarithm of the fleet size.
constexpr int AnnouncementFactor = 3;

/// Orders what is known of one host; the greatest is the newest.
auto order(const Member &Known) {
  return std::make_tuple(Known.Incarnation_, Known.Refutation_, Known.Status_);
}

bool isDead(const Member &Known) { return Known.Status_ == MemberStatus::Dead; }

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

void Membership::addListener(Listener &Added) { Listeners_.push_back(&Added); }

void Membership::addParticipant(GossipParticipant &Added) {
  Participants_.push_back(&Added);
}

void Membership::addSeeds(const std::vector<std::string> &PeerAddresses) {
  std::lock_guard Lock(Mutex_);
  Seeds_.insert(PeerAddresses.begin(), PeerAddresses.end());
  Seeds_.erase(Self_.PeerAddress_);
}

void Membership::learn(const std::vector<Member> &Known) {
  Changes Changed;
  {
    std::lock_guard Lock(Mutex_);
    for (const Member &Each : Known)
      merge(Each, Changed);
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
    // Noted even if probes in progress take up this period; otherwise silent
    // peers would look like a pause of this process.
    forgivePause(Now_());
    if (Stopping_ || Running_ >= MaxRunningPeriods)
      return;
    ++Running_;
  }
  Arena.enqueue([this] {
    probePeers();
    // Notifies under the lock: the waiter may destroy this object next.
    std::lock_guard Lock(Mutex_);
    --Running_;
    Idle_.notify_all();
  });
}

void Membership::stop() {
  Timer_.cancel();
  std::unique_lock Lock(Mutex_);
  Stopping_ = true;
  Idle_.wait(Lock, [this] { return Running_ == 0; });
}

void Membership::runPeriod() {
  {
    std::lock_guard Lock(Mutex_);
    forgivePause(Now_());
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
  for (const ProbeTarget &Each : Targets)
    probe(Each);
}

/// Time in which this process did not run gave no suspect a chance to refute.
void Membership::forgivePause(SteadyTime Time) {
  const auto Gap = Time - LastPeriod_;
  LastPeriod_ = Time;
  if (Gap < Settings_.ProbePeriod_ * PausePeriods)
    return;
  for (auto &[Host, Known] : Records_)
    if (Known.SuspectSince_)
      *Known.SuspectSince_ += Gap;
}

void Membership::expireSuspicions(SteadyTime Time, Changes &Out) {
  const Milliseconds Limit = suspicionTime();
  for (auto &[Host, Known] : Records_) {
    if (!Known.SuspectSince_ || Time - *Known.SuspectSince_ < Limit)
      continue;
    Member Update = Known.Member_;
    Update.Status_ = MemberStatus::Dead;
    put(Known, Update, Out);
  }
}

void Membership::forgetDead(SteadyTime Time) {
  std::erase_if(Records_, [&](const auto &Item) {
    const Record &Known = Item.second;
    return isDead(Known.Member_) &&
           Time - Known.Changed_ >= Settings_.DeadRetention_;
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

void Membership::merge(const Member &Update, Changes &Out) {
  if (Update.Host_ == Self_.Host_) {
    mergeSelf(Update);
    return;
  }
  if (Update.Host_.empty() || Update.PeerAddress_.empty())
    return;
  auto Found = Records_.find(Update.Host_);
  if (Found == Records_.end()) {
    // A dead host that is not remembered stays forgotten; otherwise hosts would
    // remind each other of it for ever.
    if (isDead(Update) || Records_.size() >= Settings_.MaxMembers_)
      return;
    put(Records_[Update.Host_], Update, Out);
  } else if (order(Update) > order(Found->second.Member_)) {
    put(Found->second, Update, Out);
  }
}

void Membership::mergeSelf(const Member &Update) {
  if (Update.Incarnation_ > Self_.Incarnation_ && !Superseded_) {
    Superseded_ = true;
    LogEvent(LogLevel::Error, "host_superseded")
        .field("incarnation", Self_.Incarnation_)
        .field("newer", Update.Incarnation_);
  }
  const bool Accused = Update.Status_ == MemberStatus::Suspect ||
                       Update.Status_ == MemberStatus::Dead;
  if (Update.Incarnation_ != Self_.Incarnation_ || !Accused ||
      Update.Refutation_ < Self_.Refutation_)
    return;
  Self_.Refutation_ = Update.Refutation_ + 1;
}

void Membership::put(Record &Into, const Member &Update, Changes &Out) {
  const SteadyTime Time = Now_();
  const bool SameProcess = Into.Member_.Incarnation_ == Update.Incarnation_;
  const bool StatusChanged =
      !SameProcess || Into.Member_.Status_ != Update.Status_;
  if (!SameProcess)
    Into.LastContact_.reset();
  Into.Left_ = isDead(Update) && SameProcess &&
               Into.Member_.Status_ == MemberStatus::Draining;
  Into.Member_ = Update;
  Into.Changed_ = Time;
  Into.SuspectSince_.reset();
  if (Update.Status_ == MemberStatus::Suspect)
    Into.SuspectSince_ = Time;
  announce(Update.Host_);
  if (StatusChanged)
    Out.push_back(Update);
}

/// A draining member keeps its status while it is suspected.
void Membership::suspect(Record &Suspected, Changes &Out) {
  if (isDead(Suspected.Member_) || Suspected.SuspectSince_)
    return;
  if (Suspected.Member_.Status_ == MemberStatus::Draining) {
    Suspected.SuspectSince_ = Now_();
  } else {
    Member Update = Suspected.Member_;
    Update.Status_ = MemberStatus::Suspect;
    put(Suspected, Update, Out);
  }
  // Probed again next, with the suspicion, so that it can refute at once.
  ProbeOrder_.push_back(Suspected.Member_.Host_);
}

void Membership::announce(const std::string &Host) {
  const double Size = static_cast<double>(Records_.size() + 2);
  Announcements_[Host] =
      AnnouncementFactor * static_cast<int>(std::ceil(std::log2(Size)));
}

std::vector<Membership::ProbeTarget> Membership::chooseTargets() {
  std::vector<ProbeTarget> Targets;
  if (auto Next = nextMember())
    Targets.push_back(*Next);
  const bool Reconnect = Period_ % Settings_.ReconnectPeriods_ == 0;
  ++Period_;
  if (Targets.empty() || Reconnect)
    if (auto Lost = reconnectTarget())
      Targets.push_back(*Lost);
  return Targets;
}

std::optional<Membership::ProbeTarget> Membership::nextMember() {
  for (int Round = 0; Round < 2; ++Round) {
    while (!ProbeOrder_.empty()) {
      std::string Host = std::move(ProbeOrder_.back());
      ProbeOrder_.pop_back();
      auto Found = Records_.find(Host);
      if (Found != Records_.end() && !isDead(Found->second.Member_))
        return ProbeTarget{Host, Found->second.Member_.PeerAddress_};
    }
    for (const auto &[Host, Known] : Records_)
      if (!isDead(Known.Member_))
        ProbeOrder_.push_back(Host);
    std::shuffle(ProbeOrder_.begin(), ProbeOrder_.end(), Random_);
  }
  return std::nullopt;
}

/// A dead member, or a seed whose host is not known to be alive.
std::optional<Membership::ProbeTarget> Membership::reconnectTarget() {
  std::vector<ProbeTarget> Candidates;
  std::set<std::string> Silent = Seeds_;
  for (const auto &[Host, Known] : Records_) {
    Silent.erase(Known.Member_.PeerAddress_);
    if (isDead(Known.Member_) && !Known.Left_)
      Candidates.push_back({Host, Known.Member_.PeerAddress_});
  }
  for (const std::string &Address : Silent)
    Candidates.push_back({"", Address});
  if (Candidates.empty())
    return std::nullopt;
  return Candidates[Random_() % Candidates.size()];
}

void Membership::probe(const ProbeTarget &Target) {
  Gossip Mine = compose(Target.Host_);
  auto Reply = capture([&] {
    return Network_.probe(Target.PeerAddress_, Mine, Settings_.ProbeTimeout_);
  });
  if (Reply)
    take(*Reply);
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
      suspect(Found->second, Changed);
  }
  notify(Changed);
}

std::vector<std::string> Membership::helpersFor(const std::string &Host) {
  std::vector<std::string> All;
  auto Suspected = Records_.find(Host);
  // Dead members are probed directly only.
  if (Suspected == Records_.end() || isDead(Suspected->second.Member_))
    return All;
  for (const auto &[Name, Known] : Records_)
    if (Name != Host && Known.Member_.Status_ == MemberStatus::Alive)
      All.push_back(Known.Member_.PeerAddress_);
  std::vector<std::string> Helpers;
  std::sample(All.begin(), All.end(), std::back_inserter(Helpers),
              Settings_.IndirectProbes_, Random_);
  return Helpers;
}

bool Membership::probeIndirectly(const ProbeTarget &Target) {
  std::vector<std::string> Helpers;
  {
    std::lock_guard Lock(Mutex_);
    Helpers = helpersFor(Target.Host_);
  }
  return std::any_of(
      Helpers.begin(), Helpers.end(), [&](const std::string &Via) {
        auto Answer = capture([&] {
          return Network_.probeIndirect(Via, Target.PeerAddress_,
                                        Settings_.IndirectTimeout_);
        });
        return Answer && *Answer;
      });
}

Gossip Membership::onProbe(const Gossip &FromPeer) {
  take(FromPeer);
  return compose(FromPeer.Sender_.Host_);
}

bool Membership::onProbeIndirect(const std::string &PeerAddress) {
  std::string Host;
  {
    std::lock_guard Lock(Mutex_);
    for (const auto &[Name, Known] : Records_)
      if (Known.Member_.PeerAddress_ == PeerAddress)
        Host = Name;
  }
  if (Host.empty())
    return false;
  Gossip Mine = compose(Host);
  auto Reply = capture([&] {
    return Network_.probe(PeerAddress, Mine, Settings_.ProbeTimeout_);
  });
  if (!Reply)
    return false;
  take(*Reply);
  return Reply->Sender_.Host_ == Host;
}

Gossip Membership::compose(const std::string &ForHost) {
  Gossip Mine;
  {
    std::lock_guard Lock(Mutex_);
    Mine.Sender_ = Self_;
    addUpdates(Mine, ForHost);
  }
  for (GossipParticipant *Each : Participants_)
    Each->contribute(Mine);
  return Mine;
}

void Membership::addUpdates(Gossip &Mine, const std::string &ForHost) {
  // A peer that is thought suspect or dead is told so, so that it can refute.
  auto Found = Records_.find(ForHost);
  if (Found != Records_.end() &&
      (isDead(Found->second.Member_) || Found->second.SuspectSince_)) {
    Member Accused = Found->second.Member_;
    if (!isDead(Accused))
      Accused.Status_ = MemberStatus::Suspect;
    Mine.Updates_.push_back(Accused);
  }
  addAnnouncements(Mine);
  addRandomMembers(Mine);
}

/// Adds the updates that were sent least often.
void Membership::addAnnouncements(Gossip &Mine) {
  std::vector<std::pair<int, std::string>> Pending;
  for (const auto &[Host, Left] : Announcements_)
    Pending.emplace_back(Left, Host);
  std::sort(Pending.rbegin(), Pending.rend());
  for (const auto &[Left, Host] : Pending) {
    if (Mine.Updates_.size() >= Settings_.MaxUpdates_)
      return;
    auto Found = Records_.find(Host);
    if (Found != Records_.end())
      Mine.Updates_.push_back(Found->second.Member_);
    if (Left <= 1 || Found == Records_.end())
      Announcements_.erase(Host);
    else
      Announcements_[Host] = Left - 1;
  }
}

void Membership::addRandomMembers(Gossip &Mine) {
  const std::size_t Room =
      std::min(Settings_.RandomUpdates_,
               Settings_.MaxUpdates_ -
                   std::min(Settings_.MaxUpdates_, Mine.Updates_.size()));
  std::vector<const Member *> Live;
  for (const auto &[Host, Known] : Records_)
    if (!isDead(Known.Member_))
      Live.push_back(&Known.Member_);
  std::vector<const Member *> Chosen;
  std::sample(Live.begin(), Live.end(), std::back_inserter(Chosen), Room,
              Random_);
  for (const Member *Each : Chosen)
    Mine.Updates_.push_back(*Each);
}

void Membership::take(const Gossip &FromPeer) {
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
  for (GossipParticipant *Each : Participants_)
    Each->receive(FromPeer);
}

void Membership::notify(const Changes &Changed) {
  for (const Member &Each : Changed) {
    LogEvent(LogLevel::Info, "member_status")
        .field("host", Each.Host_)
        .field("incarnation", Each.Incarnation_)
        .field("status", toString(Each.Status_));
    for (Listener *Told : Listeners_)
      Told->onMember(Each);
  }
}

void Membership::leave() {
  std::lock_guard Lock(Mutex_);
  Self_.Status_ = MemberStatus::Draining;
  // Overrides a suspicion that is on its way.
  ++Self_.Refutation_;
}

void Membership::renew(std::uint64_t Incarnation) {
  std::lock_guard Lock(Mutex_);
  if (Incarnation <= Self_.Incarnation_)
    return;
  Self_.Incarnation_ = Incarnation;
  Self_.Refutation_ = 0;
}

bool Membership::superseded() const {
  std::lock_guard Lock(Mutex_);
  return Superseded_;
}

bool Membership::contactedMajorityWithin(Milliseconds Window) const {
  std::lock_guard Lock(Mutex_);
  const SteadyTime Oldest = Now_() - Window;
  std::size_t Peers = 0;
  std::size_t Direct = 0;
  std::size_t Live = 0;
  for (const auto &[Host, Known] : Records_) {
    if (Known.Left_)
      continue;
    ++Peers;
    Direct += Known.LastContact_ && *Known.LastContact_ >= Oldest ? 1 : 0;
    Live += isDead(Known.Member_) ? 0 : 1;
  }
  if (Peers <= Settings_.DirectContactLimit_)
    return Peers == 0 || Direct * 2 > Peers;
  // Whoever this host speaks to vouches for the others it lists as alive.
  return Direct > 0 && Live * 2 > Peers;
}

Member Membership::self() const {
  std::lock_guard Lock(Mutex_);
  return Self_;
}

std::vector<Member> Membership::members() const {
  std::lock_guard Lock(Mutex_);
  std::vector<Member> All{Self_};
  for (const auto &[Host, Known] : Records_)
    All.push_back(Known.Member_);
  return All;
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
