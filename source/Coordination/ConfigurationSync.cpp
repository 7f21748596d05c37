#include "Coordination/ConfigurationSync.h"

#include "Support/Digest.h"
#include "Support/Log.h"

#include <algorithm>

namespace amaranth::coordination {

using protocol::Gossip;
using protocol::Member;
using protocol::MemberStatus;
using protocol::ServiceRevision;
using protocol::WatchEvent;
using state::Acceptance;
using state::StoredDocument;

namespace {

/// Digests remembered as fruitless; more than the digests that a fleet has at
/// one time.
constexpr std::size_t MaxFruitless = 64;

/// Bound on the peers whose digest is kept.
constexpr std::size_t MaxPeerDigests = 20000;

/// Least time between two reads that only find out whether the key-value
/// service can be reached.
constexpr Milliseconds ContactCheckPeriod{1000};

/// A key that is never written.
constexpr const char *ContactKey = "/amaranth/contact";

bool isLive(const Member &Host) {
  return Host.Status_ == MemberStatus::Alive ||
         Host.Status_ == MemberStatus::Suspect;
}

} // namespace

/// Separates the watch's events from the public interface.
class ConfigurationSync::PrefixListener final : public protocol::WatchListener {
public:
  explicit PrefixListener(ConfigurationSync &Owner) : Owner_(Owner) {}

  void onEvents(const std::vector<WatchEvent> &Events) override {
    Owner_.onStoreEvents(Events);
  }
  void onWatchEnd() override { Owner_.onStoreWatchEnd(); }

private:
  ConfigurationSync &Owner_;
};

ConfigurationSync::ConfigurationSync(const ConfigurationSyncSettings &Settings,
                                     const Environment &Surroundings, Clock Now)
    : Settings_(Settings), Env_(Surroundings), Now_(std::move(Now)),
      PrefixListener_(std::make_unique<PrefixListener>(*this)),
      StartTime_(Now_()), StoreContact_(StartTime_),
      Random_(std::random_device()()) {
  const Member Self = Env_.Members_.self();
  for (std::size_t I = 0; I < Settings_.Readers_; ++I) {
    std::string Duty = "reader/" + Self.DataCentre_ + "/" + std::to_string(I);
    Leases_.push_back(std::make_unique<Lease>(Settings_.Lease_, Duty,
                                              Self.Host_, Env_.Store_, Now_));
  }
}

ConfigurationSync::~ConfigurationSync() { stop(); }

void ConfigurationSync::start(transport::TimerService &Timers) {
  tick();
  Timer_ = Timers.subscribe(Settings_.TickPeriod_, [this] { tick(); });
}

void ConfigurationSync::tick() {
  {
    std::lock_guard Lock(Mutex_);
    if (RoundQueued_)
      return;
    RoundQueued_ = true;
  }
  startTask([this] {
    runOnce();
    std::lock_guard Lock(Mutex_);
    RoundQueued_ = false;
  });
}

void ConfigurationSync::startTask(std::function<void()> Task) {
  {
    std::lock_guard Lock(Mutex_);
    if (Stopping_)
      return;
    ++Tasks_;
  }
  Env_.Arena_.enqueue([this, Task = std::move(Task)] {
    Task();
    // Notifies under the lock: the waiter may destroy this object next.
    std::lock_guard Lock(Mutex_);
    --Tasks_;
    Idle_.notify_all();
  });
}

void ConfigurationSync::stop() {
  Timer_.cancel();
  {
    std::unique_lock Lock(Mutex_);
    if (Stopping_)
      return;
    Stopping_ = true;
    Idle_.wait(Lock, [this] { return Tasks_ == 0; });
  }
  std::lock_guard RoundLock(RoundMutex_);
  closeWatch();
  for (auto &Each : Leases_)
    Each->release();
}

void ConfigurationSync::runOnce() {
  std::lock_guard RoundLock(RoundMutex_);
  checkIsolation();
  if (mustCatchUp())
    catchUp();
  keepReaderRole();
  followStore();
}

/// Position of this host among the live ones of its data centre. Hosts with
/// different views may both think that they are first; the leases decide.
std::size_t ConfigurationSync::readerRank() const {
  const Member Self = Env_.Members_.self();
  if (!isLive(Self))
    return Settings_.Readers_;
  const std::uint64_t Own = sha256Prefix(Self.Host_);
  std::size_t Rank = 0;
  for (const Member &Each : Env_.Members_.members())
    if (isLive(Each) && Each.DataCentre_ == Self.DataCentre_ &&
        sha256Prefix(Each.Host_) < Own)
      ++Rank;
  return Rank;
}

void ConfigurationSync::keepReaderRole() {
  const std::size_t Rank = readerRank();
  if (Rank >= Settings_.Readers_) {
    for (auto &Each : Leases_)
      Each->release();
    return;
  }
  for (auto &Each : Leases_)
    Each->renew();
  // Begins with the lease of its rank, so that two hosts rarely want the same.
  for (std::size_t I = 0; I < Leases_.size() && !reader(); ++I)
    Leases_[(Rank + I) % Leases_.size()]->maintain();
  // A lease that was renewed late, after another one was taken, is given back.
  bool Found = false;
  for (auto &Each : Leases_) {
    if (Found)
      Each->release();
    Found = Found || Each->holds();
  }
}

bool ConfigurationSync::reader() const {
  return std::any_of(Leases_.begin(), Leases_.end(),
                     [](const auto &Each) { return Each->holds(); });
}

void ConfigurationSync::followStore() {
  bool Ended = false;
  {
    std::lock_guard Lock(Mutex_);
    Ended = std::exchange(WatchEnded_, false);
  }
  if (Ended || !reader())
    closeWatch();
  const SteadyTime Time = Now_();
  if (Watch_ || !reader() || Time < NextRead_)
    return;
  NextRead_ = Time + Settings_.RereadPeriod_;
  std::uint64_t StoreRevision = 0;
  if (!readAll(StoreRevision, true))
    return;
  auto Opened = capture([&] {
    return Env_.Store_.watch(ServicePrefix, StoreRevision + 1,
                             *PrefixListener_);
  });
  if (Opened)
    Watch_ = std::move(*Opened);
}

void ConfigurationSync::closeWatch() {
  Watch_.reset();
  std::lock_guard Lock(Mutex_);
  WatchEnded_ = false;
}

void ConfigurationSync::noteStoreContact() {
  std::lock_guard Lock(Mutex_);
  StoreContact_ = Now_();
}

/// Reads all documents; \p Push if others may not have them.
bool ConfigurationSync::readAll(std::uint64_t &StoreRevision, bool Push) {
  auto Found = capture([&] {
    return Env_.Store_.range(ServicePrefix, true, Settings_.StoreTimeout_);
  });
  if (!Found)
    return false;
  noteStoreContact();
  for (const protocol::KeyValue &Pair : Found->Pairs_)
    takeFromStore(Pair, Push);
  StoreRevision = Found->StoreRevision_;
  return true;
}

void ConfigurationSync::takeFromStore(const protocol::KeyValue &Pair,
                                      bool Push) {
  auto Document = capture([&] { return decodeDocument(Pair); });
  if (!Document) {
    LogEvent(LogLevel::Error, "document_unreadable")
        .field("reason", Document.error().Message_);
    return;
  }
  if (Push)
    publish(*Document);
  else
    Env_.Documents_.accept(*Document);
}

void ConfigurationSync::onStoreEvents(const std::vector<WatchEvent> &Events) {
  noteStoreContact();
  for (const WatchEvent &Event : Events) {
    if (!Event.Deleted_) {
      takeFromStore(Event.Pair_, true);
      continue;
    }
    // Services are deleted by tombstones; a document in force stays.
    LogEvent(LogLevel::Error, "document_key_deleted")
        .field("key", Event.Pair_.Key_);
  }
}

void ConfigurationSync::onStoreWatchEnd() {
  std::lock_guard Lock(Mutex_);
  WatchEnded_ = true;
}

void ConfigurationSync::publish(const StoredDocument &Document) {
  if (Env_.Documents_.accept(Document) == Acceptance::Accepted)
    push(Document);
}

void ConfigurationSync::onPushDocument(const StoredDocument &Document) {
  Env_.Documents_.accept(Document);
}

void ConfigurationSync::push(const StoredDocument &Document) {
  const Member Self = Env_.Members_.self();
  std::vector<Member> Peers;
  for (const Member &Each : Env_.Members_.members())
    if (Each.Host_ != Self.Host_ && Each.Status_ != MemberStatus::Dead &&
        Each.DataCentre_ == Self.DataCentre_)
      Peers.push_back(Each);
  std::vector<Member> Chosen;
  {
    std::lock_guard Lock(Mutex_);
    std::sample(Peers.begin(), Peers.end(), std::back_inserter(Chosen),
                Settings_.PushFanOut_, Random_);
  }
  for (const Member &Each : Chosen)
    startTask([this, Address = Each.PeerAddress_, Document] {
      // A peer that is missed finds the change by comparing digests.
      (void)capture([&] {
        return Env_.Network_.pushDocument(Address, Document,
                                          Settings_.PeerTimeout_);
      });
    });
}

bool ConfigurationSync::mustCatchUp() const {
  {
    std::lock_guard Lock(Mutex_);
    if (!Ready_)
      return true;
    if (!Isolated_)
      return false;
  }
  // Without contact there is nothing to catch up with.
  return !isolatedNow();
}

void ConfigurationSync::catchUp() {
  const SteadyTime Time = Now_();
  bool Done = false;
  if (Time >= NextRead_) {
    NextRead_ = Time + Settings_.RereadPeriod_;
    std::uint64_t StoreRevision = 0;
    Done = readAll(StoreRevision, false);
  }
  if (!Done)
    Done = catchUpFromPeers();
  if (!Done)
    return;
  std::lock_guard Lock(Mutex_);
  Ready_ = true;
  Isolated_ = false;
  LogEvent(LogLevel::Info, "configuration_caught_up")
      .field("digest", Env_.Documents_.digest());
}

/// The peers to ask; empty while others may still be heard from.
std::vector<Member> ConfigurationSync::catchUpPeers() {
  const Member Self = Env_.Members_.self();
  std::vector<Member> Able;
  bool AllHeard = true;
  std::lock_guard Lock(Mutex_);
  for (const Member &Each : Env_.Members_.members()) {
    if (Each.Host_ == Self.Host_ || Each.Status_ == MemberStatus::Dead)
      continue;
    auto Heard = PeerDigests_.find(Each.Host_);
    AllHeard = AllHeard && Heard != PeerDigests_.end();
    if (Heard != PeerDigests_.end() && !Heard->second.empty())
      Able.push_back(Each);
  }
  const bool Patient = Now_() - StartTime_ < Settings_.CatchUpPatience_;
  if (Able.size() < Settings_.CatchUpPeers_ && !AllHeard && Patient)
    return {};
  std::shuffle(Able.begin(), Able.end(), Random_);
  return Able;
}

bool ConfigurationSync::catchUpFromPeers() {
  const std::vector<Member> Peers = catchUpPeers();
  const std::size_t Needed = std::min(Settings_.CatchUpPeers_, Peers.size());
  // A round must stay short; the next one asks other peers.
  const std::size_t Limit = std::min(Needed * 2, Peers.size());
  std::size_t Answered = 0;
  for (std::size_t I = 0; I < Limit && Answered < Needed; ++I)
    Answered += fetchFrom(Peers[I].PeerAddress_) ? 1 : 0;
  return Needed > 0 && Answered >= Needed;
}

/// Fetches what is newer at a peer; false if it did not send all of it.
bool ConfigurationSync::fetchFrom(const std::string &PeerAddress) {
  auto Revisions = capture([&] {
    return Env_.Network_.revisions(PeerAddress, Settings_.PeerTimeout_);
  });
  if (!Revisions)
    return false;
  std::set<std::string> Wanted;
  for (const ServiceRevision &Each : *Revisions)
    if (Env_.Documents_.wants(Each.Name_, Each.Revision_))
      Wanted.insert(Each.Name_);
  while (!Wanted.empty()) {
    const std::size_t Count = std::min(Wanted.size(), Settings_.NamesPerFetch_);
    std::vector<std::string> Names(Wanted.begin(),
                                   std::next(Wanted.begin(), Count));
    auto Documents = capture([&] {
      return Env_.Network_.documents(PeerAddress, Names,
                                     Settings_.PeerTimeout_);
    });
    if (!Documents || Documents->empty())
      return false;
    const std::size_t Before = Wanted.size();
    for (const StoredDocument &Each : *Documents) {
      Env_.Documents_.accept(Each);
      Wanted.erase(Each.Name_);
    }
    // A reply may hold a part of the documents, but not none of them.
    if (Wanted.size() == Before)
      return false;
  }
  return true;
}

void ConfigurationSync::contribute(Gossip &Mine) {
  if (ready())
    Mine.ConfigurationDigest_ = Env_.Documents_.digest();
}

void ConfigurationSync::receive(const Gossip &FromPeer) {
  const std::string &Digest = FromPeer.ConfigurationDigest_;
  const std::string Own = Env_.Documents_.digest();
  {
    std::lock_guard Lock(Mutex_);
    if (PeerDigests_.size() >= MaxPeerDigests)
      PeerDigests_.clear();
    PeerDigests_[FromPeer.Sender_.Host_] = Digest;
    if (FruitlessFor_ != Own) {
      FruitlessFor_ = Own;
      Fruitless_.clear();
    }
    if (Digest.empty() || Digest == Own || !Ready_ || Stopping_ ||
        Fruitless_.count(Digest) || Fetches_ >= Settings_.MaxFetches_)
      return;
    ++Fetches_;
  }
  startFetch(FromPeer.Sender_, Digest);
}

void ConfigurationSync::startFetch(const Member &Peer,
                                   const std::string &Digest) {
  startTask([this, Address = Peer.PeerAddress_, Digest] {
    const std::string Before = Env_.Documents_.digest();
    const bool Complete = fetchFrom(Address);
    const std::string After = Env_.Documents_.digest();
    std::lock_guard Lock(Mutex_);
    --Fetches_;
    if (!Complete || Before != After || FruitlessFor_ != After)
      return;
    // The peer is behind, or has documents that this host refuses.
    if (Fruitless_.size() >= MaxFruitless)
      Fruitless_.clear();
    Fruitless_.insert(Digest);
  });
}

std::vector<ServiceRevision> ConfigurationSync::onRevisions() const {
  std::vector<ServiceRevision> Revisions;
  for (const state::DocumentRevision &Each : Env_.Documents_.revisions())
    Revisions.push_back({Each.Name_, Each.Revision_});
  return Revisions;
}

bool ConfigurationSync::ready() const {
  std::lock_guard Lock(Mutex_);
  return Ready_;
}

bool ConfigurationSync::isolatedNow() const {
  if (Env_.Contacts_.contactedMajorityWithin(Settings_.IsolationLimit_))
    return false;
  std::lock_guard Lock(Mutex_);
  return Now_() - StoreContact_ >= Settings_.IsolationLimit_;
}

bool ConfigurationSync::isolated() const {
  {
    std::lock_guard Lock(Mutex_);
    if (Isolated_)
      return true;
  }
  return isolatedNow();
}

void ConfigurationSync::checkIsolation() {
  // Asks the key-value service only when peers are missing, because its load
  // must not grow with the fleet; early enough to know before the limit.
  const SteadyTime Time = Now_();
  const bool PeersMissing =
      !Env_.Contacts_.contactedMajorityWithin(Settings_.IsolationLimit_ / 2);
  if (PeersMissing && Time >= NextContactCheck_) {
    NextContactCheck_ = Time + ContactCheckPeriod;
    auto Answer = capture([&] {
      return Env_.Store_.range(ContactKey, false, ContactCheckPeriod);
    });
    if (Answer)
      noteStoreContact();
  }
  if (!isolatedNow())
    return;
  std::lock_guard Lock(Mutex_);
  if (!Isolated_)
    LogEvent(LogLevel::Warn, "host_isolated");
  Isolated_ = true;
}

} // namespace amaranth::coordination
