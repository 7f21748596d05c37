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

/// Bound on FetchedDigests_; more than the number of different digests that a
/// fleet has at one time.
constexpr std::size_t MaxFetchedDigests = 64;

/// Bound on PeerDigests_.
constexpr std::size_t MaxPeerDigests = 20000;

/// Minimum time between two reads that only check whether the key-value service
/// can be reached; also their time-out.
constexpr Milliseconds ContactCheckPeriod{1000};

/// Key of these reads. It is never written.
constexpr const char *ContactKey = "/amaranth/contact";

bool isLive(const Member &Host) {
  return Host.Status_ == MemberStatus::Alive ||
         Host.Status_ == MemberStatus::Suspect;
}

} // namespace

/// Receives the events of the watch, so that ConfigurationSync need not expose
/// them in its public interface.
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
                                     const Environment &Dependencies, Clock Now)
    : Settings_(Settings), Env_(Dependencies), Now_(std::move(Now)),
      PrefixListener_(std::make_unique<PrefixListener>(*this)),
      StartTime_(Now_()), LastStoreContact_(StartTime_),
      Random_(std::random_device()()) {
  const Member Self = Env_.Members_.self();
  for (std::size_t I = 0; I < Settings_.ReadersPerDataCentre_; ++I) {
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
    ++RunningTasks_;
  }
  Env_.Arena_.enqueue([this, Task = std::move(Task)] {
    Task();
    // Notifies under the lock: the waiter may destroy this object next.
    std::lock_guard Lock(Mutex_);
    --RunningTasks_;
    TaskEnded_.notify_all();
  });
}

void ConfigurationSync::stop() {
  Timer_.cancel();
  {
    std::unique_lock Lock(Mutex_);
    if (Stopping_)
      return;
    Stopping_ = true;
    TaskEnded_.wait(Lock, [this] { return RunningTasks_ == 0; });
  }
  std::lock_guard RoundLock(RoundMutex_);
  closeWatch();
  for (auto &ReaderLease : Leases_)
    ReaderLease->release();
}

void ConfigurationSync::runOnce() {
  std::lock_guard RoundLock(RoundMutex_);
  checkIsolation();
  if (mustCatchUp())
    catchUp();
  maintainReaderLeases();
  maintainWatch();
}

/// Position of this host among the live hosts of its data centre, ordered by
/// the digests of their names. Hosts whose membership views differ may compute
/// the same rank; the leases decide then.
std::size_t ConfigurationSync::readerRank() const {
  const Member Self = Env_.Members_.self();
  if (!isLive(Self))
    return Settings_.ReadersPerDataCentre_;
  const std::uint64_t OwnRank = sha256Prefix(Self.Host_);
  std::size_t Rank = 0;
  for (const Member &Host : Env_.Members_.members())
    if (isLive(Host) && Host.DataCentre_ == Self.DataCentre_ &&
        sha256Prefix(Host.Host_) < OwnRank)
      ++Rank;
  return Rank;
}

void ConfigurationSync::maintainReaderLeases() {
  const std::size_t Rank = readerRank();
  if (Rank >= Settings_.ReadersPerDataCentre_) {
    for (auto &ReaderLease : Leases_)
      ReaderLease->release();
    return;
  }
  for (auto &ReaderLease : Leases_)
    ReaderLease->renew();
  // Starts with the lease of its own rank, so that two hosts rarely compete for
  // the same lease.
  for (std::size_t I = 0; I < Leases_.size() && !holdsReaderLease(); ++I)
    Leases_[(Rank + I) % Leases_.size()]->maintain();
  // A late renewal can succeed after another lease was acquired. Releases all
  // but the first lease.
  bool OneHeld = false;
  for (auto &ReaderLease : Leases_) {
    if (OneHeld)
      ReaderLease->release();
    OneHeld = OneHeld || ReaderLease->holds();
  }
}

bool ConfigurationSync::holdsReaderLease() const {
  return std::any_of(
      Leases_.begin(), Leases_.end(),
      [](const auto &ReaderLease) { return ReaderLease->holds(); });
}

void ConfigurationSync::maintainWatch() {
  bool WatchEnded = false;
  {
    std::lock_guard Lock(Mutex_);
    WatchEnded = std::exchange(WatchEnded_, false);
  }
  if (WatchEnded || !holdsReaderLease())
    closeWatch();
  const SteadyTime Time = Now_();
  if (Watch_ || !holdsReaderLease() || Time < NextRead_)
    return;
  NextRead_ = Time + Settings_.RereadPeriod_;
  std::uint64_t StoreRevision = 0;
  if (!readDocuments(StoreRevision, true))
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

void ConfigurationSync::recordStoreContact() {
  std::lock_guard Lock(Mutex_);
  LastStoreContact_ = Now_();
}

/// Reads all documents from the key-value service. With \p Push, those that are
/// new to this host are pushed to peers.
bool ConfigurationSync::readDocuments(std::uint64_t &StoreRevision, bool Push) {
  auto Found = capture([&] {
    return Env_.Store_.range(ServicePrefix, true, Settings_.StoreTimeout_);
  });
  if (!Found)
    return false;
  recordStoreContact();
  for (const protocol::KeyValue &Pair : Found->Pairs_)
    acceptFromStore(Pair, Push);
  StoreRevision = Found->StoreRevision_;
  return true;
}

void ConfigurationSync::acceptFromStore(const protocol::KeyValue &Pair,
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
  recordStoreContact();
  for (const WatchEvent &Event : Events) {
    if (!Event.Deleted_) {
      acceptFromStore(Event.Pair_, true);
      continue;
    }
    // Services are deleted by writing a tombstone, so the deletion of a key is
    // an error and the document in force is kept.
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
    pushToPeers(Document);
}

void ConfigurationSync::onPushDocument(const StoredDocument &Document) {
  Env_.Documents_.accept(Document);
}

void ConfigurationSync::pushToPeers(const StoredDocument &Document) {
  const Member Self = Env_.Members_.self();
  std::vector<Member> Peers;
  for (const Member &Host : Env_.Members_.members())
    if (Host.Host_ != Self.Host_ && Host.Status_ != MemberStatus::Dead &&
        Host.DataCentre_ == Self.DataCentre_)
      Peers.push_back(Host);
  std::vector<Member> Chosen;
  {
    std::lock_guard Lock(Mutex_);
    std::sample(Peers.begin(), Peers.end(), std::back_inserter(Chosen),
                Settings_.PushFanOut_, Random_);
  }
  for (const Member &Host : Chosen)
    startTask([this, Address = Host.PeerAddress_, Document] {
      // A peer that the push does not reach notices the change when digests are
      // compared.
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
  // Without contact there is no source to catch up from.
  return !lacksContact();
}

void ConfigurationSync::catchUp() {
  const SteadyTime Time = Now_();
  bool HasDocuments = false;
  if (Time >= NextRead_) {
    NextRead_ = Time + Settings_.RereadPeriod_;
    std::uint64_t StoreRevision = 0;
    HasDocuments = readDocuments(StoreRevision, false);
  }
  if (!HasDocuments)
    HasDocuments = catchUpFromPeers();
  if (!HasDocuments)
    return;
  std::lock_guard Lock(Mutex_);
  Ready_ = true;
  Isolated_ = false;
  LogEvent(LogLevel::Info, "configuration_caught_up")
      .field("digest", Env_.Documents_.digest());
}

/// Ready peers in random order; empty while there are too few of them and
/// gossip of others may still arrive.
std::vector<Member> ConfigurationSync::chooseCatchUpPeers() {
  const Member Self = Env_.Members_.self();
  std::vector<Member> ReadyPeers;
  bool AllReported = true;
  std::lock_guard Lock(Mutex_);
  for (const Member &Host : Env_.Members_.members()) {
    if (Host.Host_ == Self.Host_ || Host.Status_ == MemberStatus::Dead)
      continue;
    auto Reported = PeerDigests_.find(Host.Host_);
    AllReported = AllReported && Reported != PeerDigests_.end();
    if (Reported != PeerDigests_.end() && !Reported->second.empty())
      ReadyPeers.push_back(Host);
  }
  const bool MayWait = Now_() - StartTime_ < Settings_.CatchUpWait_;
  if (ReadyPeers.size() < Settings_.CatchUpPeers_ && !AllReported && MayWait)
    return {};
  std::shuffle(ReadyPeers.begin(), ReadyPeers.end(), Random_);
  return ReadyPeers;
}

bool ConfigurationSync::catchUpFromPeers() {
  const std::vector<Member> Peers = chooseCatchUpPeers();
  const std::size_t Needed = std::min(Settings_.CatchUpPeers_, Peers.size());
  // Bounds the duration of a round. The next round tries other peers.
  const std::size_t Limit = std::min(Needed * 2, Peers.size());
  std::size_t Answered = 0;
  for (std::size_t I = 0; I < Limit && Answered < Needed; ++I)
    Answered += fetchNewerFrom(Peers[I].PeerAddress_) ? 1 : 0;
  return Needed > 0 && Answered >= Needed;
}

/// Fetches all documents that are newer at the peer; false if some of them did
/// not arrive.
bool ConfigurationSync::fetchNewerFrom(const std::string &PeerAddress) {
  auto Revisions = capture([&] {
    return Env_.Network_.revisions(PeerAddress, Settings_.PeerTimeout_);
  });
  if (!Revisions)
    return false;
  std::set<std::string> NewerNames;
  for (const ServiceRevision &Offered : *Revisions)
    if (Env_.Documents_.isNewRevision(Offered.Name_, Offered.Revision_))
      NewerNames.insert(Offered.Name_);
  while (!NewerNames.empty()) {
    const std::size_t Count =
        std::min(NewerNames.size(), Settings_.NamesPerFetch_);
    std::vector<std::string> Names(NewerNames.begin(),
                                   std::next(NewerNames.begin(), Count));
    auto Documents = capture([&] {
      return Env_.Network_.documents(PeerAddress, Names,
                                     Settings_.PeerTimeout_);
    });
    if (!Documents || Documents->empty())
      return false;
    const std::size_t CountBefore = NewerNames.size();
    for (const StoredDocument &Document : *Documents) {
      Env_.Documents_.accept(Document);
      NewerNames.erase(Document.Name_);
    }
    // A reply may hold only some of the requested documents. One that holds
    // none of them would make this loop endless.
    if (NewerNames.size() == CountBefore)
      return false;
  }
  return true;
}

void ConfigurationSync::contribute(Gossip &Outgoing) {
  if (ready())
    Outgoing.ConfigurationDigest_ = Env_.Documents_.digest();
}

void ConfigurationSync::receive(const Gossip &FromPeer) {
  const std::string &Digest = FromPeer.ConfigurationDigest_;
  const std::string OwnDigest = Env_.Documents_.digest();
  {
    std::lock_guard Lock(Mutex_);
    if (PeerDigests_.size() >= MaxPeerDigests)
      PeerDigests_.clear();
    PeerDigests_[FromPeer.Sender_.Host_] = Digest;
    if (FetchedForDigest_ != OwnDigest) {
      FetchedForDigest_ = OwnDigest;
      FetchedDigests_.clear();
    }
    if (Digest.empty() || Digest == OwnDigest || !Ready_ || Stopping_ ||
        FetchedDigests_.count(Digest) ||
        RunningFetches_ >= Settings_.MaxFetches_)
      return;
    ++RunningFetches_;
  }
  startFetch(FromPeer.Sender_, Digest);
}

void ConfigurationSync::startFetch(const Member &Peer,
                                   const std::string &Digest) {
  startTask([this, Address = Peer.PeerAddress_, Digest] {
    const std::string DigestBefore = Env_.Documents_.digest();
    const bool Complete = fetchNewerFrom(Address);
    const std::string DigestAfter = Env_.Documents_.digest();
    std::lock_guard Lock(Mutex_);
    --RunningFetches_;
    if (!Complete || DigestBefore != DigestAfter ||
        FetchedForDigest_ != DigestAfter)
      return;
    // The peer's documents are older, or this host rejects them. A further
    // fetch would bring nothing either.
    if (FetchedDigests_.size() >= MaxFetchedDigests)
      FetchedDigests_.clear();
    FetchedDigests_.insert(Digest);
  });
}

std::vector<ServiceRevision> ConfigurationSync::onRevisions() const {
  std::vector<ServiceRevision> Revisions;
  for (const state::DocumentRevision &Document : Env_.Documents_.revisions())
    Revisions.push_back({Document.Name_, Document.Revision_});
  return Revisions;
}

bool ConfigurationSync::ready() const {
  std::lock_guard Lock(Mutex_);
  return Ready_;
}

bool ConfigurationSync::lacksContact() const {
  if (Env_.Contacts_.contactedMajorityWithin(Settings_.IsolationLimit_))
    return false;
  std::lock_guard Lock(Mutex_);
  return Now_() - LastStoreContact_ >= Settings_.IsolationLimit_;
}

bool ConfigurationSync::isolated() const {
  {
    std::lock_guard Lock(Mutex_);
    if (Isolated_)
      return true;
  }
  return lacksContact();
}

void ConfigurationSync::checkIsolation() {
  // Contacts the key-value service only when most peers are out of contact,
  // because its load must not grow with the fleet. Starts at half the limit, so
  // that the result is known before the limit is reached.
  const SteadyTime Time = Now_();
  const bool PeersMissing =
      !Env_.Contacts_.contactedMajorityWithin(Settings_.IsolationLimit_ / 2);
  if (PeersMissing && Time >= NextContactCheck_) {
    NextContactCheck_ = Time + ContactCheckPeriod;
    auto Reply = capture([&] {
      return Env_.Store_.range(ContactKey, false, ContactCheckPeriod);
    });
    if (Reply)
      recordStoreContact();
  }
  if (!lacksContact())
    return;
  std::lock_guard Lock(Mutex_);
  if (!Isolated_)
    LogEvent(LogLevel::Warn, "host_isolated");
  Isolated_ = true;
}

} // namespace amaranth::coordination
