#include "Serving/EntryHost.h"

#include "Coordination/Store/WatcherElection.h"
#include "Support/Log.h"

#include <algorithm>
#include <random>

namespace amaranth::serving {

using protocol::FleetMessage;
using protocol::HostState;
using protocol::StoreItem;
using transport::Awaitable;

namespace {

/// Where hosts of the system publish themselves in the store.
const std::string HostPrefix = "amaranth/hosts/";

constexpr Milliseconds MaintenancePeriod{50};
/// A host whose records differ for longer than a change takes to be passed on
/// is sent all of them.
constexpr Milliseconds HelpDelay{600};
/// A host that the store did not answer is a candidate for watching again.
constexpr Milliseconds StoreRetrial{5000};
/// Time before the end of the grace period at which a draining host stops.
constexpr Milliseconds DrainReserve{700};
/// A draining host accepts and serves callers for this long: they keep the
/// directory's answers for seconds, and what began later could be cut at the
/// end of the grace period. Then it refuses connections, so that callers go to
/// another host at once.
constexpr Milliseconds DrainAccept{3000};
/// A starting host accepts callers when it can serve them, and in any case
/// after this time, to tell them when to come back.
constexpr Milliseconds StartDelay{1000};
constexpr Milliseconds DrainCheck{50};

/// Descriptors that are not for callers: targets, peers, store and files.
constexpr std::size_t ReservedDescriptors = 700;

std::size_t maxCallers(const state::HostSettings &Settings) {
  std::size_t Total = Settings.MaxDescriptors_;
  return Total > 2 * ReservedDescriptors ? Total - ReservedDescriptors
                                         : Total / 2;
}

StoreFollowerSettings following(const std::string &Prefix) {
  StoreFollowerSettings Out;
  Out.Prefix_ = Prefix;
  return Out;
}

PeerMeshSettings meshSettings(const state::HostSettings &Settings) {
  PeerMeshSettings Out;
  Out.ListenAddress_ = Settings.PeerAddress_;
  return Out;
}

} // namespace

EntryHost::EntryHost(transport::Loop &Executor,
                     const state::HostSettings &Settings,
                     const protocol::EdgeProtocol &Edge,
                     const protocol::RecordCodec &Codec,
                     protocol::PlatformStore &Store)
    : Context_(Executor, Settings, Edge, *this, *this), Codec_(Codec),
      Stages_(*this), Dispatcher_(Context_, *this),
      Peers_(Executor, meshSettings(Settings), *this),
      Callers_(Context_, Stages_, *this, {maxCallers(Settings)}),
      Registration_(Executor, Store, HostPrefix + Settings.Host_,
                    Settings.PeerAddress_),
      Incarnation_(std::random_device{}() | 1ULL) {
  follow(Store, Codec.configurationKey());
  follow(Store, Codec.targetPrefix());
  follow(Store, HostPrefix);
}

void EntryHost::follow(protocol::PlatformStore &Store,
                       const std::string &Prefix) {
  Followed Added;
  Added.Prefix_ = Prefix;
  Added.Follower_ = std::make_unique<StoreFollower>(Context_.Loop_, Store,
                                                    *this, following(Prefix));
  Followed_.push_back(std::move(Added));
}

EntryHost::Followed *EntryHost::findFollowed(const std::string &Prefix) {
  for (Followed &One : Followed_)
    if (One.Prefix_ == Prefix)
      return &One;
  return nullptr;
}

bool EntryHost::start() {
  if (!Callers_.start() || !Peers_.start())
    return false;
  Dispatcher_.start();
  for (Followed &One : Followed_)
    One.Follower_->start();
  Registration_.start();
  Started_ = SteadyClock::now();
  transport::startTask(Context_.Loop_, maintain());
  return true;
}

bool EntryHost::ready() const {
  return informed() && Callers_.acceptsCallers() && !Context_.Draining_;
}

std::vector<std::string> EntryHost::callerAddresses() const {
  std::vector<std::string> Out;
  if (!Context_.Draining_)
    Out.push_back(Context_.Settings_.CallerAddress_);
  for (const HostState &Peer : Peers_.serving())
    Out.push_back(Peer.CallerAddress_);
  // A draining host that knows no other is better than none.
  if (Out.empty())
    Out.push_back(Context_.Settings_.CallerAddress_);
  return Out;
}

HostState EntryHost::ownState() {
  HostState Out;
  Out.Host_ = Context_.Settings_.Host_;
  Out.DataCentre_ = Context_.Settings_.DataCentre_;
  Out.CallerAddress_ = Context_.Settings_.CallerAddress_;
  Out.PeerAddress_ = Context_.Settings_.PeerAddress_;
  Out.Incarnation_ = Incarnation_;
  Out.Serving_ = ready();
  Out.StoreConnected_ = storeConnected();
  Out.Watching_ = Watching_;
  for (const Followed &One : Followed_)
    Out.Digests_.push_back(One.Mirror_.digest());
  Out.Queues_ = Dispatcher_.queues();
  return Out;
}

void EntryHost::onPeerState(const HostState &State) { helpPeer(State); }

void EntryHost::helpPeer(const HostState &State) {
  bool PeerFollows = State.Watching_ && State.StoreConnected_;
  std::vector<const Followed *> Differing;
  for (std::size_t I = 0; I < Followed_.size(); ++I)
    if (I < State.Digests_.size() &&
        State.Digests_[I] != Followed_[I].Mirror_.digest())
      Differing.push_back(&Followed_[I]);
  if (!Watching_ || !storeConnected() || PeerFollows || Differing.empty()) {
    DiffersSince_.erase(State.Host_);
    return;
  }
  SteadyTime Now = SteadyClock::now();
  auto [Since, First] = DiffersSince_.emplace(State.Host_, Now);
  if (First || Now - Since->second < HelpDelay)
    return;
  DiffersSince_.erase(Since);
  for (const Followed *One : Differing) {
    protocol::StoreRecords Records;
    Records.Prefix_ = One->Prefix_;
    Records.Items_ = One->Mirror_.items();
    Records.Complete_ = true;
    Records.Revision_ = One->Mirror_.revision();
    LogEvent(LogLevel::Info, "records_sent")
        .field("host", State.Host_)
        .field("prefix", One->Prefix_)
        .field("records", Records.Items_.size());
    Peers_.send(State.Host_, FleetMessage(std::move(Records)));
  }
}

void EntryHost::relay(const std::string &Prefix,
                      const std::vector<StoreItem> &News) {
  if (!Watching_ || News.empty())
    return;
  protocol::StoreRecords Records;
  Records.Prefix_ = Prefix;
  Records.Items_ = News;
  Peers_.broadcast(FleetMessage(std::move(Records)));
}

void EntryHost::takeRecords(const protocol::StoreRecords &Records) {
  Followed *Of = findFollowed(Records.Prefix_);
  if (!Of)
    return;
  takeNews(Records.Prefix_,
           Records.Complete_
               ? Of->Mirror_.replace(Records.Items_, Records.Revision_)
               : Of->Mirror_.apply(Records.Items_));
  if (Records.Complete_ && Records.Prefix_ == Codec_.targetPrefix())
    TargetsKnown_ = true;
  acceptWhenInformed();
}

void EntryHost::acceptWhenInformed() {
  bool Waited = SteadyClock::now() - Started_ >= StartDelay;
  if (!Context_.Draining_ && (informed() || Waited))
    Callers_.acceptCallers();
}

void EntryHost::electWatchers() {
  std::vector<coordination::WatcherCandidate> Candidates;
  HostState Own = ownState();
  Candidates.push_back({Own.Host_, Own.StoreConnected_});
  for (const HostState &Peer : Peers_.serving())
    Candidates.push_back({Peer.Host_, Peer.StoreConnected_});
  bool Watch = coordination::isWatcher(Own.Host_, Candidates);
  if (Watch != Watching_)
    LogEvent(LogLevel::Info, Watch ? "watching_store" : "not_watching_store")
        .field("hosts", Candidates.size());
  Watching_ = Watch;
  for (Followed &One : Followed_)
    One.Follower_->setActive(Watch);
}

bool EntryHost::storeConnected() const {
  if (Watching_)
    return std::all_of(
        Followed_.begin(), Followed_.end(),
        [](const Followed &One) { return One.Follower_->connected(); });
  return !StoreFailed_ || SteadyClock::now() - *StoreFailed_ > StoreRetrial;
}

void EntryHost::noteStore() {
  // Nothing can have expired before the first reading.
  if (!TargetsKnown_)
    return;
  // Hosts that do not watch know the store's state from those that do.
  bool Connected = Watching_ && storeConnected();
  for (const HostState &Peer : Peers_.serving())
    Connected = Connected || (Peer.Watching_ && Peer.StoreConnected_);
  if (Connected)
    Context_.Targets_.onStoreBack(SteadyClock::now());
  else
    Context_.Targets_.onStoreLost();
}

void EntryHost::onPeerMessage(const std::string &Host,
                              const FleetMessage &Message) {
  onMessage(Host, Message);
}

void EntryHost::onMessage(const std::string &Host,
                          const FleetMessage &Message) {
  if (const auto *Orders = std::get_if<protocol::PieceOrders>(&Message)) {
    for (const protocol::PieceOrder &Order : Orders->Orders_)
      Dispatcher_.order(Host, Order);
  } else if (const auto *Reports =
                 std::get_if<protocol::PieceReports>(&Message)) {
    Stages_.onReports(*Reports);
  } else if (const auto *Cancel =
                 std::get_if<protocol::CancelPieces>(&Message)) {
    Dispatcher_.cancel(Host, Cancel->RequestId_);
  } else if (const auto *Release =
                 std::get_if<protocol::ReleaseResults>(&Message)) {
    for (const protocol::UnneededResult &Result : Release->Results_)
      Dispatcher_.release(Result);
  } else if (const auto *Records =
                 std::get_if<protocol::StoreRecords>(&Message)) {
    takeRecords(*Records);
  } else if (const auto *Suspects =
                 std::get_if<protocol::SuspectRequests>(&Message)) {
    for (const protocol::SuspectInput &One : Suspects->Inputs_)
      Context_.Suspects_.merge(One);
  }
}

void EntryHost::onPeerLost(const std::string &Host) {
  Dispatcher_.cancelOwner(Host);
  Stages_.onDispatcherLost(Host);
}

void EntryHost::onSuspectChanged(const protocol::SuspectInput &Suspect) {
  LogEvent(LogLevel::Info, "suspect_input")
      .field("digest", Suspect.Digest_.substr(0, 16))
      .field("targets", Suspect.CrashedTargets_.size())
      .field("cleared", Suspect.Cleared_ ? 1 : 0);
  protocol::SuspectRequests News;
  News.Inputs_.push_back(Suspect);
  Peers_.broadcast(FleetMessage(std::move(News)));
}

protocol::QueueState EntryHost::queueOf(const std::string &Service) const {
  std::string Host = dispatcherOf(Service);
  if (Host == Context_.Settings_.Host_)
    return Dispatcher_.queueOf(Service);
  if (const HostState *Peer = Peers_.find(Host))
    for (const protocol::QueueState &Queue : Peer->Queues_)
      if (Queue.Service_ == Service)
        return Queue;
  return {};
}

std::string EntryHost::dispatcherOf(const std::string &Service) const {
  std::string Best;
  std::uint64_t BestRank = 0;
  auto Consider = [&](const std::string &Host) {
    std::uint64_t Rank = coordination::rendezvousRank(Service, Host);
    if (Best.empty() || Rank > BestRank) {
      Best = Host;
      BestRank = Rank;
    }
  };
  if (ready())
    Consider(Context_.Settings_.Host_);
  for (const HostState &Peer : Peers_.serving())
    Consider(Peer.Host_);
  return Best.empty() ? Context_.Settings_.Host_ : Best;
}

bool EntryHost::sendTo(const std::string &Host, const FleetMessage &Message) {
  if (Host != Context_.Settings_.Host_)
    return Peers_.send(Host, Message);
  onMessage(Host, Message);
  return true;
}

void EntryHost::onPieceReports(const std::string &Owner,
                               protocol::PieceReports Reports) {
  sendTo(Owner, FleetMessage(std::move(Reports)));
}

void EntryHost::takeConfiguration(const StoreItem &Item) {
  if (Item.Removed_ || Item.Key_ != Codec_.configurationKey())
    return;
  auto Read = capture([&] { return Codec_.readConfiguration(Item.Value_); });
  if (!Read) {
    LogEvent(LogLevel::Error, "configuration_rejected")
        .field("revision", Item.Revision_)
        .field("error", Read.error().Message_);
    return;
  }
  state::RoutingTable Table = std::move(*Read);
  Table.Revision_ = Item.Revision_;
  LogEvent(LogLevel::Info, "configuration_taken")
      .field("version", Table.Version_)
      .field("revision", Table.Revision_)
      .field("routes", Table.Routes_.size());
  Context_.Table_ =
      std::make_shared<const state::RoutingTable>(std::move(Table));
}

void EntryHost::takeTarget(const StoreItem &Item) {
  coordination::TargetChange Change;
  Change.Id_ = Item.Key_.substr(Codec_.targetPrefix().size());
  Change.Revision_ = Item.Revision_;
  if (!Item.Removed_) {
    auto Read =
        capture([&] { return Codec_.readTarget(Item.Key_, Item.Value_); });
    if (Read)
      Change.Record_ = *Read;
    else
      LogEvent(LogLevel::Warn, "target_record_unreadable")
          .field("key", Item.Key_)
          .field("error", Read.error().Message_);
  }
  Context_.Targets_.apply(Change, SteadyClock::now());
  if (!Context_.Targets_.find(Change.Id_)) {
    Context_.Connections_.drop(Change.Id_);
    LogEvent(LogLevel::Info, "target_leaving").field("target", Change.Id_);
  }
}

void EntryHost::takeHost(const StoreItem &Item) {
  std::string Host = Item.Key_.substr(HostPrefix.size());
  if (Host == Context_.Settings_.Host_)
    return;
  if (Item.Removed_)
    Peers_.unlist(Host);
  else
    Peers_.know(Host, Item.Value_);
}

void EntryHost::takeNews(const std::string &Prefix,
                         const std::vector<StoreItem> &News) {
  for (const StoreItem &Item : News) {
    if (Prefix == Codec_.targetPrefix())
      takeTarget(Item);
    else if (Prefix == HostPrefix)
      takeHost(Item);
    else
      takeConfiguration(Item);
  }
}

void EntryHost::onStoreRange(const std::string &Prefix,
                             const std::vector<StoreItem> &Items,
                             std::uint64_t Revision) {
  std::vector<StoreItem> News =
      findFollowed(Prefix)->Mirror_.replace(Items, Revision);
  takeNews(Prefix, News);
  relay(Prefix, News);
  if (Prefix == Codec_.targetPrefix())
    TargetsKnown_ = true;
  acceptWhenInformed();
}

void EntryHost::onStoreChanges(const std::string &Prefix,
                               const std::vector<StoreItem> &Items) {
  std::vector<StoreItem> News = findFollowed(Prefix)->Mirror_.apply(Items);
  takeNews(Prefix, News);
  relay(Prefix, News);
}

void EntryHost::onStoreConnected(const std::string &Prefix, bool Connected) {
  if (!Connected)
    StoreFailed_ = SteadyClock::now();
  if (Prefix == Codec_.targetPrefix())
    noteStore();
}

Awaitable<void> EntryHost::maintain() {
  for (;;) {
    co_await transport::pause(Context_.Loop_, MaintenancePeriod);
    SteadyTime Now = SteadyClock::now();
    Context_.Targets_.expire(Now);
    Context_.Connections_.expire(Now);
    Context_.Health_.forget(Now);
    Context_.Budget_.setHosts(Peers_.serving().size() + 1);
    Stages_.retryUnsent();
    acceptWhenInformed();
    electWatchers();
    noteStore();
  }
}

void EntryHost::drain() {
  if (Context_.Draining_)
    return;
  Context_.Draining_ = true;
  Context_.DrainStarted_ = SteadyClock::now();
  LogEvent(LogLevel::Info, "draining")
      .field("requests", Context_.RequestsInProgress_);
  // Peers take this host out of their answers at once.
  protocol::Ping State{ownState()};
  Peers_.broadcast(FleetMessage(std::move(State)));
  transport::startTask(Context_.Loop_, finishDrain());
}

Awaitable<void> EntryHost::finishDrain() {
  SteadyTime Latest =
      Context_.DrainStarted_ + Context_.Settings_.Grace_ - DrainReserve;
  bool Accepting = true;
  while (SteadyClock::now() < Latest) {
    co_await transport::pause(Context_.Loop_, DrainCheck);
    if (SteadyClock::now() - Context_.DrainStarted_ < DrainAccept)
      continue;
    if (Accepting) {
      Callers_.stopAccepting();
      Callers_.closeIdle();
      Accepting = false;
    }
    if (Context_.RequestsInProgress_ == 0)
      break;
  }
  LogEvent(LogLevel::Info, "stopped")
      .field("requests", Context_.RequestsInProgress_);
  Context_.Loop_.stop();
}

} // namespace amaranth::serving
