#include "Serving/EntryHost.h"

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

constexpr Milliseconds MaintenancePeriod{100};
/// A host without the store is sent records at most this often by each peer.
constexpr Milliseconds HelpPeriod{300};
/// Time before the end of the grace period at which a draining host stops.
constexpr Milliseconds DrainReserve{700};
/// A draining host stays this long at least: callers with an answer of the
/// directory from before may still come.
constexpr Milliseconds MinDrain{3500};
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
    : Context_(Executor, Settings, Edge), Codec_(Codec), Stages_(*this),
      Dispatcher_(Context_, *this),
      Peers_(Executor, meshSettings(Settings), *this),
      Callers_(Context_, Stages_, *this, {maxCallers(Settings)}),
      ConfigurationFollower_(Executor, Store, *this,
                             following(Codec.configurationKey())),
      TargetFollower_(Executor, Store, *this, following(Codec.targetPrefix())),
      HostFollower_(Executor, Store, *this, following(HostPrefix)),
      Registration_(Executor, Store, HostPrefix + Settings.Host_,
                    Settings.PeerAddress_),
      Incarnation_(std::random_device{}() | 1ULL) {}

bool EntryHost::start() {
  if (!Callers_.start() || !Peers_.start())
    return false;
  Dispatcher_.start();
  ConfigurationFollower_.start();
  TargetFollower_.start();
  HostFollower_.start();
  Registration_.start();
  transport::startTask(Context_.Loop_, maintain());
  return true;
}

bool EntryHost::ready() const {
  return Context_.Table_ && TargetsKnown_ && !Context_.Draining_;
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
  Out.StoreConnected_ = StoreConnected_;
  Out.ConfigurationRevision_ = Configuration_.Revision_;
  Out.TargetsRevision_ = Context_.Targets_.revision();
  Out.Queues_ = Dispatcher_.queues();
  return Out;
}

void EntryHost::onPeerState(const HostState &State) { helpPeer(State); }

void EntryHost::helpPeer(const HostState &State) {
  if (State.Host_ == Context_.Settings_.Host_)
    return;
  SteadyTime Now = SteadyClock::now();
  SteadyTime &Last = HelpedAt_[State.Host_];
  if (Now - Last < HelpPeriod)
    return;
  bool OlderConfiguration =
      State.ConfigurationRevision_ < Configuration_.Revision_;
  bool OlderTargets = !State.StoreConnected_ && StoreConnected_ &&
                      State.TargetsRevision_ < Context_.Targets_.revision();
  if (OlderConfiguration)
    Peers_.send(State.Host_, protocol::ConfigurationRecord{Configuration_});
  if (OlderTargets) {
    protocol::TargetRecords Records;
    for (const auto &[Key, Item] : TargetItems_)
      Records.Items_.push_back(Item);
    Peers_.send(State.Host_, FleetMessage(std::move(Records)));
  }
  if (OlderConfiguration || OlderTargets)
    Last = Now;
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
  } else if (const auto *Record =
                 std::get_if<protocol::ConfigurationRecord>(&Message)) {
    takeConfiguration(Record->Item_);
  } else if (const auto *Records =
                 std::get_if<protocol::TargetRecords>(&Message)) {
    for (const StoreItem &Item : Records->Items_)
      takeTarget(Item);
    TargetsKnown_ = true;
  }
}

void EntryHost::onPeerLost(const std::string &Host) {
  Dispatcher_.cancelOwner(Host);
  Stages_.onDispatcherLost(Host);
}

std::string EntryHost::dispatcherOf(const std::string &Service) {
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
  if (Item.Removed_ || Item.Revision_ <= Configuration_.Revision_)
    return;
  auto Read = capture([&] { return Codec_.readConfiguration(Item.Value_); });
  if (!Read) {
    LogEvent(LogLevel::Error, "configuration_rejected")
        .field("revision", Item.Revision_)
        .field("error", Read.error().Message_);
    return;
  }
  Configuration_ = Item;
  state::RoutingTable Table = std::move(*Read);
  Table.Revision_ = Item.Revision_;
  LogEvent(LogLevel::Info, "configuration_taken")
      .field("version", Table.Version_)
      .field("revision", Table.Revision_)
      .field("routes", Table.Routes_.size());
  Context_.Table_ =
      std::make_shared<const state::RoutingTable>(std::move(Table));
}

coordination::TargetChange EntryHost::readTarget(const StoreItem &Item) {
  coordination::TargetChange Change;
  Change.Id_ = Item.Key_.substr(Codec_.targetPrefix().size());
  Change.Revision_ = Item.Revision_;
  if (Item.Removed_)
    return Change;
  auto Read =
      capture([&] { return Codec_.readTarget(Item.Key_, Item.Value_); });
  if (Read)
    Change.Record_ = *Read;
  else
    LogEvent(LogLevel::Warn, "target_record_unreadable")
        .field("key", Item.Key_)
        .field("error", Read.error().Message_);
  return Change;
}

void EntryHost::takeTarget(const StoreItem &Item) {
  StoreItem &Known = TargetItems_[Item.Key_];
  if (Item.Revision_ >= Known.Revision_)
    Known = Item;
  coordination::TargetChange Change = readTarget(Item);
  Context_.Targets_.apply(Change, SteadyClock::now());
  const state::TargetRecord *Serving = Context_.Targets_.find(Change.Id_);
  if (!Serving) {
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

void EntryHost::onStoreRange(const std::string &Prefix,
                             const std::vector<StoreItem> &Items,
                             std::uint64_t Revision) {
  if (Prefix == Codec_.targetPrefix()) {
    std::vector<coordination::TargetChange> All;
    TargetItems_.clear();
    for (const StoreItem &Item : Items) {
      TargetItems_[Item.Key_] = Item;
      All.push_back(readTarget(Item));
    }
    Context_.Targets_.replace(All, Revision, SteadyClock::now());
    TargetsKnown_ = true;
    return;
  }
  onStoreChanges(Prefix, Items);
}

void EntryHost::onStoreChanges(const std::string &Prefix,
                               const std::vector<StoreItem> &Items) {
  for (const StoreItem &Item : Items) {
    if (Prefix == Codec_.targetPrefix())
      takeTarget(Item);
    else if (Prefix == HostPrefix)
      takeHost(Item);
    else if (Item.Key_ == Codec_.configurationKey())
      takeConfiguration(Item);
  }
}

void EntryHost::onStoreConnected(const std::string &Prefix, bool Connected) {
  if (Prefix != Codec_.targetPrefix())
    return;
  StoreConnected_ = Connected;
  if (Connected)
    Context_.Targets_.onStoreBack(SteadyClock::now());
  else
    Context_.Targets_.onStoreLost();
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
  SteadyTime Least = Context_.DrainStarted_ + MinDrain;
  SteadyTime Latest =
      Context_.DrainStarted_ + Context_.Settings_.Grace_ - DrainReserve;
  while (SteadyClock::now() < Latest) {
    co_await transport::pause(Context_.Loop_, DrainCheck);
    bool Idle = Context_.RequestsInProgress_ == 0;
    if (Idle && SteadyClock::now() >= Least)
      break;
  }
  LogEvent(LogLevel::Info, "stopped")
      .field("requests", Context_.RequestsInProgress_);
  Callers_.stopAccepting();
  Context_.Loop_.stop();
}

} // namespace amaranth::serving
