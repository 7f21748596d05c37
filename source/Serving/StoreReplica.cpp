#include "Serving/StoreReplica.h"

#include "Coordination/HostElection.h"
#include "Support/Log.h"

#include <algorithm>
#include <utility>

namespace amaranth::serving {

using protocol::FleetMessage;
using protocol::HostState;
using protocol::StoreItem;

namespace {

/// A host whose records differ for this long is sent the whole prefix. Longer
/// than a change takes to be relayed.
constexpr Milliseconds ResendDelay{600};
/// Time after which a host that the store did not answer is a candidate for
/// watching again.
constexpr Milliseconds StoreRetryDelay{5000};
/// A host that starts has read the store, and takes part in the election once
/// its peers have had this time to connect. Without the delay, all hosts of a
/// fleet that starts would elect themselves.
constexpr Milliseconds FirstElectionDelay{400};

} // namespace

StoreReplica::StoreReplica(EntryContext &Context,
                           protocol::PlatformStore &Store, PeerMesh &Peers,
                           StoreReplicaListener &Listener,
                           const std::vector<StoreFollowerSettings> &Prefixes)
    : Context_(Context), Peers_(Peers), Listener_(Listener) {
  for (const StoreFollowerSettings &Settings : Prefixes) {
    FollowedPrefix Followed;
    Followed.Prefix_ = Settings.Prefix_;
    Followed.Follower_ =
        std::make_unique<StoreFollower>(Context_.Loop_, Store, *this, Settings);
    FollowedPrefixes_.push_back(std::move(Followed));
  }
}

void StoreReplica::start() {
  StartedAt_ = SteadyClock::now();
  for (FollowedPrefix &Followed : FollowedPrefixes_)
    Followed.Follower_->start();
}

const StoreReplica::FollowedPrefix *
StoreReplica::findFollowedPrefix(const std::string &Prefix) const {
  for (const FollowedPrefix &Followed : FollowedPrefixes_)
    if (Followed.Prefix_ == Prefix)
      return &Followed;
  return nullptr;
}

StoreReplica::FollowedPrefix *
StoreReplica::findFollowedPrefix(const std::string &Prefix) {
  return const_cast<FollowedPrefix *>(
      std::as_const(*this).findFollowedPrefix(Prefix));
}

bool StoreReplica::isOutdated(const std::string &Prefix,
                              std::uint64_t Era) const {
  return findFollowedPrefix(Prefix)->Mirror_.isOutdated(Era);
}

bool StoreReplica::isRestored(const std::string &Prefix,
                              std::uint64_t Era) const {
  return findFollowedPrefix(Prefix)->Mirror_.isRestored(Era);
}

std::uint64_t StoreReplica::knownEra(const std::string &Prefix) const {
  return findFollowedPrefix(Prefix)->Mirror_.era();
}

protocol::StoreRecords
StoreReplica::allRecords(const FollowedPrefix &Followed) {
  protocol::StoreRecords Records;
  Records.Prefix_ = Followed.Prefix_;
  Records.Items_ = Followed.Mirror_.items();
  Records.Complete_ = true;
  Records.Revision_ = Followed.Mirror_.revision();
  Records.Era_ = Followed.Mirror_.era();
  return Records;
}

std::vector<StoreItem>
StoreReplica::applyList(FollowedPrefix &Followed,
                        const std::vector<StoreItem> &Items,
                        std::uint64_t Revision, std::uint64_t Era) {
  coordination::StoreMirror &Mirror = Followed.Mirror_;
  if (Mirror.isRestored(Era)) {
    LogEvent(LogLevel::Warn, "store_restored")
        .field("prefix", Followed.Prefix_)
        .field("era_before", Mirror.era())
        .field("era", Era)
        .field("revision_before", Mirror.revision())
        .field("revision", Revision);
    Listener_.onRecordsRestored(Followed.Prefix_);
  }
  std::vector<StoreItem> Changes = Mirror.replace(Items, Revision, Era);
  Listener_.onRecordsChanged(Followed.Prefix_, Changes);
  return Changes;
}

void StoreReplica::electWatchers() {
  if (SteadyClock::now() - StartedAt_ < FirstElectionDelay)
    return;
  std::vector<coordination::WatcherCandidate> Candidates;
  const std::string &OwnHost = Context_.Settings_.Host_;
  Candidates.push_back({OwnHost, storeConnected(),
                        Context_.Settings_.LinkMegabits_, readsStore()});
  Peers_.forEachServing([&](const HostState &Peer) {
    Candidates.push_back({Peer.Host_, Peer.StoreConnected_, Peer.LinkMegabits_,
                          Peer.ReadsStore_});
  });
  bool ShouldWatch =
      WatcherElection_.isWatcher(OwnHost, Candidates, SteadyClock::now());
  if (ShouldWatch != Watching_)
    LogEvent(LogLevel::Info,
             ShouldWatch ? "watching_store" : "not_watching_store")
        .field("hosts", Candidates.size());
  Watching_ = ShouldWatch;
  for (FollowedPrefix &Followed : FollowedPrefixes_)
    Followed.Follower_->setActive(ShouldWatch);
}

bool StoreReplica::storeConnected() const {
  if (Watching_)
    return std::all_of(FollowedPrefixes_.begin(), FollowedPrefixes_.end(),
                       [](const FollowedPrefix &Followed) {
                         return Followed.Follower_->connected();
                       });
  return !LastStoreFailure_ ||
         SteadyClock::now() - *LastStoreFailure_ > StoreRetryDelay;
}

bool StoreReplica::readsStore() const {
  return Watching_ &&
         std::all_of(FollowedPrefixes_.begin(), FollowedPrefixes_.end(),
                     [](const FollowedPrefix &Followed) {
                       return Followed.Follower_->isUpToDate();
                     });
}

bool StoreReplica::isStoreRead() const {
  bool IsRead = readsStore();
  Peers_.forEachServing(
      [&](const HostState &Peer) { IsRead = IsRead || Peer.ReadsStore_; });
  return IsRead;
}

void StoreReplica::reportMetrics(state::Metrics &Metrics) const {
  Metrics.gauge("amaranth_watches_store").set(Watching_ ? 1 : 0);
  Metrics.gauge("amaranth_store_read").set(isStoreRead() ? 1 : 0);
  for (const FollowedPrefix &Followed : FollowedPrefixes_) {
    state::MetricLabels Labels{{"prefix", Followed.Prefix_}};
    Metrics.gauge("amaranth_store_era", Labels)
        .set(static_cast<double>(Followed.Mirror_.era()));
    Metrics.gauge("amaranth_store_revision", Labels)
        .set(static_cast<double>(Followed.Mirror_.revision()));
  }
}

std::vector<std::uint64_t> StoreReplica::digests() const {
  std::vector<std::uint64_t> Digests;
  for (const FollowedPrefix &Followed : FollowedPrefixes_)
    Digests.push_back(Followed.Mirror_.digest());
  return Digests;
}

void StoreReplica::onPeerState(const HostState &State) {
  std::vector<const FollowedPrefix *> DifferingPrefixes;
  for (std::size_t I = 0; I < FollowedPrefixes_.size(); ++I)
    if (I < State.Digests_.size() &&
        State.Digests_[I] != FollowedPrefixes_[I].Mirror_.digest())
      DifferingPrefixes.push_back(&FollowedPrefixes_[I]);
  if (!readsStore() || State.ReadsStore_ || DifferingPrefixes.empty()) {
    DiffersSince_.erase(State.Host_);
    return;
  }
  SteadyTime Now = SteadyClock::now();
  auto [Entry, Inserted] = DiffersSince_.emplace(State.Host_, Now);
  // Another watcher sends the records if the host's own does not.
  Milliseconds Delay =
      passesChangesTo(State.Host_) ? ResendDelay : 2 * ResendDelay;
  if (Inserted || Now - Entry->second < Delay)
    return;
  DiffersSince_.erase(Entry);
  for (const FollowedPrefix *Followed : DifferingPrefixes) {
    protocol::StoreRecords Records = allRecords(*Followed);
    LogEvent(LogLevel::Info, "records_sent")
        .field("host", State.Host_)
        .field("prefix", Followed->Prefix_)
        .field("records", Records.Items_.size());
    Peers_.send(State.Host_, FleetMessage(std::move(Records)));
  }
}

void StoreReplica::relayChanges(const FollowedPrefix &Followed,
                                const std::vector<StoreItem> &Changes) {
  if (Changes.empty())
    return;
  protocol::StoreRecords Records;
  Records.Prefix_ = Followed.Prefix_;
  Records.Items_ = Changes;
  Records.Era_ = Followed.Mirror_.era();
  relay(std::move(Records));
}

void StoreReplica::relay(protocol::StoreRecords Records) {
  if (!Watching_)
    return;
  FleetMessage Message = std::move(Records);
  Peers_.forEachServing([&](const HostState &Peer) {
    if (!Peer.ReadsStore_ && passesChangesTo(Peer.Host_))
      Peers_.send(Peer.Host_, Message);
  });
}

bool StoreReplica::passesChangesTo(const std::string &Host) const {
  std::vector<coordination::ElectionCandidate> Watchers;
  if (Watching_ && storeConnected())
    Watchers.push_back(
        {Context_.Settings_.Host_, Context_.Settings_.LinkMegabits_});
  Peers_.forEachServing([&](const HostState &Peer) {
    if (Peer.ReadsStore_)
      Watchers.push_back({Peer.Host_, Peer.LinkMegabits_});
  });
  return coordination::electHost(Host, Watchers) == Context_.Settings_.Host_;
}

void StoreReplica::merge(const protocol::StoreRecords &Records) {
  FollowedPrefix *Followed = findFollowedPrefix(Records.Prefix_);
  // A host that does not know of eras may be behind a restore.
  if (!Followed || (Records.Era_ == 0 && Followed->Mirror_.era() > 1))
    return;
  if (!Records.Complete_) {
    Listener_.onRecordsChanged(Records.Prefix_,
                               Followed->Mirror_.apply(Records.Items_));
    return;
  }
  if (Followed->Mirror_.isOutdated(Records.Era_))
    return;
  applyList(*Followed, Records.Items_, Records.Revision_, Records.Era_);
  Listener_.onRecordsComplete(Records.Prefix_);
}

void StoreReplica::onStoreRange(const std::string &Prefix,
                                const std::vector<StoreItem> &Items,
                                std::uint64_t Revision, std::uint64_t Era) {
  FollowedPrefix &Followed = *findFollowedPrefix(Prefix);
  bool IsRestored = Followed.Mirror_.isRestored(Era);
  std::vector<StoreItem> Changes = applyList(Followed, Items, Revision, Era);
  // Other hosts cannot apply changes to the records of the era before.
  if (IsRestored)
    relay(allRecords(Followed));
  else
    relayChanges(Followed, Changes);
  Listener_.onRecordsComplete(Prefix);
}

void StoreReplica::onStoreChanges(const std::string &Prefix,
                                  const std::vector<StoreItem> &Items) {
  FollowedPrefix &Followed = *findFollowedPrefix(Prefix);
  std::vector<StoreItem> Changes = Followed.Mirror_.apply(Items);
  Listener_.onRecordsChanged(Prefix, Changes);
  relayChanges(Followed, Changes);
}

void StoreReplica::onStoreConnected(const std::string &Prefix, bool Connected) {
  if (!Connected)
    LastStoreFailure_ = SteadyClock::now();
  Listener_.onStoreConnected(Prefix, Connected);
}

} // namespace amaranth::serving
