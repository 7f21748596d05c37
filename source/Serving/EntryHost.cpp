#include "Serving/EntryHost.h"

#include "Serving/RequestScope.h"
#include "Support/Log.h"

#include <ctime>
#include <random>
#include <utility>

namespace amaranth::serving {

using protocol::FleetMessage;
using protocol::HostState;
using protocol::StoreItem;
using transport::Awaitable;

namespace {

/// Prefix of the keys under which entry hosts register in the store.
const std::string HostPrefix = "amaranth/hosts/";

constexpr Milliseconds MaintenancePeriod{50};
/// A starting host accepts callers when it can route requests, and at the
/// latest after this time; it then answers with a time to retry.
constexpr Milliseconds MaxStartDelay{1000};
constexpr Milliseconds DrainCheckPeriod{50};
/// Peers send their states this often. Peers that are lost or drain are left
/// out of the directory at once.
constexpr Milliseconds PlacementPeriod{250};

/// File descriptors kept for targets, peers, the store and files.
constexpr std::size_t ReservedDescriptors = 700;

std::size_t maxCallers(const state::HostSettings &Settings) {
  std::size_t Total = Settings.MaxDescriptors_;
  return Total > 2 * ReservedDescriptors ? Total - ReservedDescriptors
                                         : Total / 2;
}

/// The records that every host keeps a copy of.
std::vector<StoreFollowerSettings>
followedPrefixes(const state::HostSettings &Settings,
                 const protocol::RecordCodec &Codec) {
  return {{Codec.operatorPrefix(), Settings.shortWatchTime()},
          {Codec.targetPrefix(), Settings.shortWatchTime()},
          {HostPrefix, Settings.ChangeTimeLimit_},
          {VersionRecords::keyPrefix(), Settings.shortWatchTime()}};
}

/// Processor time of this process since its start.
Microseconds processorTimeUsed() {
  std::chrono::duration<double> Used(static_cast<double>(std::clock()) /
                                     CLOCKS_PER_SEC);
  return std::chrono::duration_cast<Microseconds>(Used);
}

PeerMeshSettings meshSettings(const state::HostSettings &Settings) {
  PeerMeshSettings MeshSettings;
  MeshSettings.ListenAddress_ = Settings.PeerAddress_;
  return MeshSettings;
}

StoredStreamOriginsSettings originsSettings(const state::HostSettings &Settings,
                                            std::uint64_t Incarnation) {
  StoredStreamOriginsSettings Origins;
  Origins.Versions_.SettleTime_ = Settings.ChangeTimeLimit_;
  Origins.VersionRecords_.ReadsPerSecond_ = Settings.StoreReadsPerSecond_;
  Origins.Streams_.Host_ = Settings.Host_;
  Origins.Streams_.Incarnation_ = Incarnation;
  Origins.Streams_.WritesPerSecond_ = Settings.StoreWritesPerSecond_;
  Origins.Streams_.ReadsPerSecond_ = Settings.StoreReadsPerSecond_;
  Origins.Streams_.MaxValueBytes_ = Settings.MaxStoreValueBytes_;
  return Origins;
}

} // namespace

EntryHost::EntryHost(transport::Loop &Executor,
                     const state::HostSettings &Settings,
                     const protocol::EdgeProtocol &Edge,
                     const protocol::RecordCodec &Codec,
                     protocol::PlatformStore &Store)
    : Incarnation_(std::random_device{}() | 1ULL),
      SuspectExchange_(Context_, Peers_, SuspectRecords_, *this),
      Permits_(Context_, Peers_, *this, Settings.Host_),
      Origins_(Executor, Store, *this, originsSettings(Settings, Incarnation_)),
      Context_(Executor, Settings, Edge, SuspectExchange_, SuspectExchange_,
               *this, Permits_, Origins_),
      Codec_(Codec), OperatorRecords_(Context_, Permits_, Codec),
      TargetRecords_(Context_, Permits_, Origins_, OperatorRecords_, Codec),
      Stages_(*this), Dispatcher_(Context_, *this),
      Peers_(Executor, meshSettings(Settings), *this),
      Callers_(Context_, Stages_, *this, {maxCallers(Settings)}),
      Processor_(Settings.ProcessorShare_), Placement_(Settings.Host_),
      Registration_(Executor, Store, HostPrefix + Settings.Host_,
                    Settings.PeerAddress_),
      RestoreExchange_(Context_, Peers_, OperatorRecords_),
      SuspectRecords_(Executor, Store, Context_.SuspectParts_),
      Replica_(Context_, Store, Peers_, *this,
               followedPrefixes(Settings, Codec)),
      Metrics_(state::MetricsSettings{}) {
  Metrics_.describe("amaranth_in_flight", "Requests being served.");
  Metrics_.describe("amaranth_peers", "Serving entry hosts besides this one.");
  Metrics_.describe("amaranth_watches_store",
                    "1 if this host watches the store for others.");
  Metrics_.describe("amaranth_store_read",
                    "1 if this host or a peer follows the store.");
  Metrics_.describe("amaranth_store_era",
                    "Era of the store's records: rises when the store came "
                    "back from an older copy. 0 if not stated.");
  Metrics_.describe("amaranth_store_revision",
                    "Highest known revision of the store.");
}

bool EntryHost::start() {
  if (!Callers_.start() || !Peers_.start())
    return false;
  Dispatcher_.start();
  Replica_.start();
  Registration_.start();
  SuspectRecords_.start();
  Origins_.start();
  StartedAt_ = SteadyClock::now();
  transport::startTask(Context_.Loop_, maintain());
  return true;
}

bool EntryHost::ready() const {
  return hasRoutingData() && Callers_.acceptsCallers() &&
         !Context_.Drain_.hasBegun();
}

std::string EntryHost::metricsText() {
  auto InFlight = static_cast<double>(Context_.RequestsInProgress_.size());
  Metrics_.gauge("amaranth_in_flight").set(InFlight);
  auto Peers = static_cast<double>(Peers_.servingPeers().size());
  Metrics_.gauge("amaranth_peers").set(Peers);
  Replica_.reportMetrics(Metrics_);
  return Metrics_.exportText();
}

std::vector<std::string>
EntryHost::callerAddresses(const protocol::DirectoryQuery &Query) {
  updatePlacement(SteadyClock::now());
  std::vector<std::string> Addresses = Placement_.addresses(Query.DataCentre_);
  // If no host is known to serve, callers still get this one.
  if (Addresses.empty())
    Addresses.push_back(Context_.Settings_.CallerAddress_);
  return Addresses;
}

void EntryHost::updatePlacement(SteadyTime Now) {
  if (Now - PlacementAt_ < PlacementPeriod)
    return;
  PlacementAt_ = Now;
  HostState Own = ownState();
  std::vector<const HostState *> Serving;
  if (Own.Serving_)
    Serving.push_back(&Own);
  Peers_.forEachServing(
      [&](const HostState &Peer) { Serving.push_back(&Peer); });
  Placement_.update(std::move(Serving), Now);
}

HostState EntryHost::ownState() {
  HostState State;
  State.Host_ = Context_.Settings_.Host_;
  State.DataCentre_ = Context_.Settings_.DataCentre_;
  State.CallerAddress_ = Context_.Settings_.CallerAddress_;
  State.PeerAddress_ = Context_.Settings_.PeerAddress_;
  State.Incarnation_ = Incarnation_;
  State.Serving_ = ready();
  State.StoreConnected_ = Replica_.storeConnected();
  State.ReadsStore_ = Replica_.readsStore();
  State.LinkMegabits_ = Context_.Settings_.LinkMegabits_;
  State.Digests_ = Replica_.digests();
  State.Queues_ = Dispatcher_.queueStates();
  State.Outstanding_ = Context_.OutstandingWork_.states(SteadyClock::now());
  State.ProcessorShare_ = Context_.Settings_.ProcessorShare_;
  State.BusyShare_ = Processor_.busyShare();
  State.CallerNeeds_ = Placement_.decisions();
  State.Engines_ = Context_.EngineMemory_.report();
  return State;
}

void EntryHost::onPeerState(const HostState &State) {
  Replica_.onPeerState(State);
  SuspectExchange_.onPeerState(State);
  RestoreExchange_.onPeerState(State);
  if (!State.Serving_)
    PlacementAt_ = {};
  Context_.EngineMemory_.onPeerReport(State.Host_, State.Engines_,
                                      SteadyClock::now());
  if (UndeliveredReports_.empty())
    return;
  protocol::PieceReports Reports =
      UndeliveredReports_.take(State.Host_, SteadyClock::now());
  if (!Reports.Reports_.empty())
    onPieceReports(State.Host_, std::move(Reports));
}

void EntryHost::acceptCallersWhenReady() {
  bool StartDelayElapsed = SteadyClock::now() - StartedAt_ >= MaxStartDelay;
  if (!Context_.Drain_.hasBegun() && (hasRoutingData() || StartDelayElapsed))
    Callers_.acceptCallers();
}

void EntryHost::announceState() {
  protocol::Pong State{ownState()};
  Peers_.broadcast(FleetMessage(std::move(State)));
}

void EntryHost::updateStoreState() {
  // Before the targets are loaded there are no records that could expire.
  if (!TargetsLoaded_)
    return;
  // A host that does not watch learns from the watchers whether the store
  // answers.
  if (Replica_.isStoreRead())
    Context_.Targets_.onStoreReconnected(SteadyClock::now());
  else
    Context_.Targets_.onStoreDisconnected(SteadyClock::now());
}

void EntryHost::onPeerMessage(const std::string &Host,
                              const FleetMessage &Message) {
  handleMessage(Host, Message);
}

void EntryHost::handleMessage(const std::string &Host,
                              const FleetMessage &Message) {
  if (const auto *Orders = std::get_if<protocol::PieceOrders>(&Message)) {
    for (const protocol::PieceOrder &Order : Orders->Orders_)
      Dispatcher_.enqueue(Host, Order);
  } else if (const auto *Reports =
                 std::get_if<protocol::PieceReports>(&Message)) {
    Stages_.onReports(Host, *Reports);
  } else if (const auto *Cancel =
                 std::get_if<protocol::CancelPieces>(&Message)) {
    Dispatcher_.cancel(Host, Cancel->RequestId_);
  } else if (const auto *Release =
                 std::get_if<protocol::ReleaseResults>(&Message)) {
    for (const protocol::UnneededResult &Result : Release->Results_)
      Dispatcher_.releaseResult(Result);
  } else if (const auto *Records =
                 std::get_if<protocol::StoreRecords>(&Message)) {
    if (Records->Prefix_ == RestoreExchange::InForcePrefix) {
      RestoreExchange_.merge(*Records);
      onConfigurationChanged();
    } else {
      Replica_.merge(*Records);
    }
    acceptCallersWhenReady();
  } else if (const auto *Suspects =
                 std::get_if<protocol::SuspectRequests>(&Message)) {
    SuspectExchange_.merge(*Suspects);
  } else if (const auto *Parts =
                 std::get_if<protocol::SuspectParts>(&Message)) {
    SuspectExchange_.merge(*Parts);
  } else if (const auto *Notice =
                 std::get_if<protocol::TargetNotice>(&Message)) {
    Context_.Notices_.onPeer(*Notice, SteadyClock::now());
    Permits_.updateColdness(Notice->Target_);
  } else if (const auto *Permit =
                 std::get_if<protocol::PermitRequest>(&Message)) {
    Permits_.onRequest(Host, *Permit);
  } else if (const auto *Reply = std::get_if<protocol::PermitReply>(&Message)) {
    Permits_.onReply(*Reply);
  } else if (const auto *Report = std::get_if<protocol::PaceReport>(&Message)) {
    Permits_.pace().onReport(*Report);
  }
}

void EntryHost::onPeerLost(const std::string &Host) {
  Dispatcher_.dropEntryHost(Host);
  Stages_.onDispatcherLost(Host);
  SuspectExchange_.onPeerLost(Host);
  PlacementAt_ = {};
}

protocol::QueueState EntryHost::queueState(const std::string &Service) {
  SteadyTime Now = SteadyClock::now();
  if (Now - FleetWorkAt_ >= coordination::OutstandingWork::RefreshPeriod) {
    FleetWork_ = addUpFleetWork(Now);
    FleetWorkAt_ = Now;
  }
  auto Found = FleetWork_.find(Service);
  return Found == FleetWork_.end() ? protocol::QueueState{} : Found->second;
}

std::map<std::string, protocol::QueueState>
EntryHost::addUpFleetWork(SteadyTime Now) {
  std::map<std::string, protocol::QueueState> Sums;
  auto AddFrom = [&](const std::vector<protocol::QueueState> &States) {
    for (const protocol::QueueState &State : States)
      coordination::addPieces(State, Sums[State.Service_]);
  };
  AddFrom(Context_.OutstandingWork_.states(Now));
  Peers_.forEachServing(
      [&](const HostState &Peer) { AddFrom(Peer.Outstanding_); });
  for (auto &[Service, Sum] : Sums) {
    Sum.Service_ = Service;
    Sum.PiecesPerSecond_ = piecesPerSecond(Service);
  }
  return Sums;
}

double EntryHost::piecesPerSecond(const std::string &Service) const {
  std::string Host = findDispatcher(Service);
  if (Host == Context_.Settings_.Host_)
    return Dispatcher_.queueState(Service).PiecesPerSecond_;
  if (const HostState *Peer = Peers_.findState(Host))
    for (const protocol::QueueState &Queue : Peer->Queues_)
      if (Queue.Service_ == Service)
        return Queue.PiecesPerSecond_;
  return 0;
}

std::string EntryHost::findDispatcher(const std::string &Service) const {
  std::vector<coordination::ElectionCandidate> Candidates;
  if (ready())
    Candidates.push_back(
        {Context_.Settings_.Host_, Context_.Settings_.LinkMegabits_});
  Peers_.forEachServing([&](const HostState &Peer) {
    Candidates.push_back({Peer.Host_, Peer.LinkMegabits_});
  });
  std::string Elected = coordination::electHost(Service, Candidates);
  return Elected.empty() ? Context_.Settings_.Host_ : Elected;
}

bool EntryHost::writesVersionsOf(const std::string &Service) const {
  return ready() && Replica_.isStoreRead() &&
         findDispatcher(Service) == Context_.Settings_.Host_;
}

bool EntryHost::sendTo(const std::string &Host, const FleetMessage &Message) {
  if (Host != Context_.Settings_.Host_)
    return Peers_.send(Host, Message);
  handleMessage(Host, Message);
  return true;
}

void EntryHost::onPieceReports(const std::string &OrderingHost,
                               protocol::PieceReports Reports) {
  FleetMessage Message = std::move(Reports);
  if (!sendTo(OrderingHost, Message))
    UndeliveredReports_.add(OrderingHost,
                            std::get<protocol::PieceReports>(Message),
                            SteadyClock::now());
}

void EntryHost::applyHost(const StoreItem &Item) {
  std::string Host = Item.Key_.substr(HostPrefix.size());
  if (Host == Context_.Settings_.Host_)
    return;
  if (Item.Removed_)
    Peers_.markUnlisted(Host);
  else if (!Peers_.addOrUpdatePeer(Host, Item.Value_) &&
           Context_.Notices_.noteIrregular("record " + Item.Key_))
    LogEvent(LogLevel::Warn, "host_record_unreadable")
        .field("key", Item.Key_)
        .field("irregular", Context_.Notices_.irregularCount());
}

void EntryHost::onRecordsChanged(const std::string &Prefix,
                                 const std::vector<StoreItem> &Changes) {
  for (const StoreItem &Item : Changes) {
    if (!Item.Key_.starts_with(Prefix)) {
      LogEvent(LogLevel::Warn, "record_outside_prefix")
          .field("key", Item.Key_)
          .field("prefix", Prefix);
      continue;
    }
    if (Prefix == Codec_.targetPrefix())
      TargetRecords_.apply(Item);
    else if (Prefix == HostPrefix)
      applyHost(Item);
    else if (Prefix == VersionRecords::keyPrefix())
      Origins_.onVersionRecord(Item, SteadyClock::now());
    else
      OperatorRecords_.apply(Item);
  }
  if (Prefix == Codec_.operatorPrefix())
    onConfigurationChanged();
}

void EntryHost::onConfigurationChanged() {
  if (OperatorRecords_.latestTable())
    Origins_.onConfiguration(*OperatorRecords_.latestTable());
  TargetRecords_.applyDeferred();
}

void EntryHost::onRecordsComplete(const std::string &Prefix) {
  if (Prefix == Codec_.operatorPrefix())
    OperatorRecords_.onComplete();
  if (Prefix == Codec_.targetPrefix() && !TargetsLoaded_) {
    TargetsLoaded_ = true;
    OperatorRecords_.onTargetsLoaded();
    Permits_.pace().targets().onRecordsComplete();
  }
  if (Prefix == VersionRecords::keyPrefix())
    Origins_.onVersionRecordsComplete();
  acceptCallersWhenReady();
}

void EntryHost::onRecordsRestored(const std::string &Prefix) {
  SteadyTime Now = SteadyClock::now();
  if (Prefix == Codec_.operatorPrefix()) {
    OperatorRecords_.onStoreRestored(Now);
    RestoreExchange_.onStoreRestored(Now);
  } else if (Prefix == Codec_.targetPrefix()) {
    Context_.Targets_.onStoreRestored(Now);
  } else if (Prefix == HostPrefix) {
    Registration_.onStoreRestored();
    SuspectExchange_.onStoreRestored();
  } else if (Prefix == VersionRecords::keyPrefix()) {
    Origins_.onStoreRestored();
  }
}

void EntryHost::onStoreConnected(const std::string &Prefix,
                                 bool /*Connected*/) {
  // Peers then elect other watchers, or stop looking for one, at once.
  announceState();
  if (Prefix == Codec_.targetPrefix())
    updateStoreState();
}

Awaitable<void> EntryHost::maintain() {
  for (;;) {
    co_await transport::pause(Context_.Loop_, MaintenancePeriod);
    SteadyTime Now = SteadyClock::now();
    TargetRecords_.expire(Now);
    OperatorRecords_.expire(Now);
    Origins_.update(TargetsLoaded_ && Replica_.isStoreRead(),
                    Peers_.servingPeers().size() + 1, Now);
    Context_.Notices_.forgetOld(Now);
    Context_.Connections_.closeExpired(Now);
    Context_.Health_.forgetUnused(Now);
    Permits_.forgetUnused(Now);
    Permits_.pace().update(ready(), Now);
    Context_.RetryBudget_.setHosts(Peers_.servingPeers().size() + 1);
    Stages_.sendUnsentOrders();
    UndeliveredReports_.expire(Now);
    Processor_.sample(processorTimeUsed(), Now);
    updatePlacement(Now);
    acceptCallersWhenReady();
    Replica_.electWatchers();
    updateStoreState();
  }
}

void EntryHost::drain() {
  if (Context_.Drain_.hasBegun())
    return;
  Context_.Drain_.begin(SteadyClock::now());
  LogEvent(LogLevel::Info, "draining")
      .field("requests", Context_.RequestsInProgress_.size());
  // This host and its peers then leave it out of directory answers at once.
  PlacementAt_ = {};
  protocol::Ping State{ownState()};
  Peers_.broadcast(FleetMessage(std::move(State)));
  transport::startTask(Context_.Loop_, finishDrain());
}

Awaitable<void> EntryHost::finishDrain() {
  const coordination::DrainSchedule &Drain = Context_.Drain_;
  bool Accepting = true;
  while (SteadyClock::now() < Drain.stopAt()) {
    co_await transport::pause(Context_.Loop_, DrainCheckPeriod);
    if (Drain.acceptsConnections(SteadyClock::now()))
      continue;
    // Callers whose connections are refused go to another host at once.
    if (Accepting)
      Callers_.stopAccepting();
    Accepting = false;
    Callers_.closeIdleConnections();
    if (SteadyClock::now() >= Drain.endRequestsAt())
      for (RequestScope *Request : Context_.RequestsInProgress_)
        Request->endForStop();
    if (Context_.RequestsInProgress_.empty() && !Callers_.isReadingRequests())
      break;
  }
  LogEvent(LogLevel::Info, "stopped")
      .field("requests", Context_.RequestsInProgress_.size());
  Context_.Loop_.stop();
}

} // namespace amaranth::serving
