#include "Daemon/Runtime.h"

#include "Daemon/Components.h"
#include "Support/Log.h"

#include <atomic>
#include <thread>

namespace amaranth::daemon {

namespace {

/// Time that gossip takes to tell all peers that this host drains. Until then
/// they still list it in their entry-host answers.
constexpr Milliseconds DrainGossipTime{2000};

/// Longest wait for requests in flight. Longer than any service's deadline.
constexpr Seconds InFlightTimeout{600};

/// Longest wait for the last journal writes and the end of the session.
constexpr Milliseconds OnceRunnerStopTimeout{10000};

constexpr Milliseconds SeedReadTimeout{2000};

constexpr Milliseconds StateCheckPeriod{50};

/// Period at which the janitor's lease is maintained and a pass may run.
constexpr Milliseconds JanitorPeriod{30000};

std::string withPort(const std::string &Address, int Port) {
  return Address.substr(0, Address.rfind(':') + 1) + std::to_string(Port);
}

} // namespace

struct Runtime::Components {
  explicit Components(const state::DaemonSettings &Settings)
      : Transport_(Settings), BurnReport_({.Host_ = Settings.Host_}),
        Policy_(Settings, Transport_, Documents_),
        RequestRecorder_(Transport_.Metrics_, BurnReport_),
        LoadGossip_(RequestGate_, Settings.MaxInFlight_),
        DocumentFollower_(Documents_, Policy_.TargetTable_, BurnReport_) {}

  state::DocumentStore Documents_;
  TransportComponents Transport_;
  state::BurnReport BurnReport_;
  coordination::RequestGate RequestGate_;
  PolicyComponents Policy_;
  RequestRecorder RequestRecorder_;
  LoadGossip LoadGossip_;
  DocumentFollower DocumentFollower_;
  std::unique_ptr<FleetComponents> Fleet_;
  std::unique_ptr<CallerHandlers> CallerHandlers_;
  std::unique_ptr<AdminHandlers> AdminHandlers_;
  std::atomic<bool> IsJanitorRunning_ = false;
  transport::TimerSubscription StateTimer_;
  transport::TimerSubscription JanitorTimer_;
};

Runtime::Runtime(const state::DaemonSettings &Settings)
    : Settings_(Settings),
      Components_(std::make_unique<Components>(Settings_)) {}

Runtime::~Runtime() {
  Components &Parts = *Components_;
  Parts.StateTimer_.cancel();
  Parts.JanitorTimer_.cancel();
  Parts.Transport_.HttpServer_.stop();
  Parts.Transport_.PeerEndpoint_.abandon();
  Parts.Transport_.PeerServer_.stop();
  Parts.Transport_.WorkArena_.waitIdle();
}

Result<void> Runtime::start() {
  TransportComponents &Transport = Components_->Transport_;
  BOOST_LEAF_CHECK(Transport.HttpServer_.bind());
  BOOST_LEAF_CHECK(Transport.PeerServer_.start());
  createFleetComponents();
  installHandlers();
  Transport.HttpServer_.serve();
  startBackgroundWork();
  LogEvent(LogLevel::Info, "started")
      .field("host", Settings_.Host_)
      .field("data_centre", Settings_.DataCentre_)
      .field("caller_address", callerAddress())
      .field("peer_address", peerAddress());
  return {};
}

protocol::Member Runtime::makeSelf() const {
  protocol::Member Self;
  Self.Host_ = Settings_.Host_;
  Self.DataCentre_ = Settings_.DataCentre_;
  Self.CallerAddress_ = callerAddress();
  Self.PeerAddress_ = peerAddress();
  // A later start of the same host must have a higher incarnation.
  Self.Incarnation_ = static_cast<std::uint64_t>(unixTimeNow().count());
  return Self;
}

void Runtime::createFleetComponents() {
  Components &Parts = *Components_;
  Parts.Fleet_ = std::make_unique<FleetComponents>(
      Settings_, makeSelf(), Parts.Transport_, Parts.Policy_, Parts.Documents_);
  FleetComponents &Fleet = *Parts.Fleet_;
  Parts.Policy_.SuspectSpread_.attach(Fleet.Membership_,
                                      Parts.Policy_.SuspectRegistry_);
  Fleet.Membership_.addParticipant(Parts.Policy_.SuspectSpread_);
  Fleet.Membership_.addParticipant(Parts.LoadGossip_);
  Fleet.Membership_.addParticipant(Fleet.ConfigurationSync_);
  if (Parts.Policy_.AccountGossip_) {
    Parts.Policy_.AccountGossip_->attach(Fleet.Membership_);
    Fleet.Membership_.addParticipant(*Parts.Policy_.AccountGossip_);
    Fleet.Membership_.addListener(*Parts.Policy_.AccountGossip_);
  }
  Fleet.Membership_.addSeeds(Settings_.Seeds_);
  Parts.Transport_.PeerEndpoint_.attach(
      {&Fleet.Membership_, &Fleet.ConfigurationSync_, &Fleet.OnceRunner_,
       &Parts.Policy_.SuspectRegistry_, &Parts.Documents_});
}

void Runtime::installHandlers() {
  Components &Parts = *Components_;
  FleetComponents &Fleet = *Parts.Fleet_;
  auto IsIsolated = [&Fleet] { return Fleet.ConfigurationSync_.isolated(); };
  Parts.CallerHandlers_ = std::make_unique<CallerHandlers>(CallerDependencies{
      Settings_, Parts.Documents_, Fleet.Membership_, Parts.RequestGate_,
      *Parts.Policy_.AdmissionPolicy_, Parts.Policy_.PipelineRunner_,
      Parts.Policy_.PlainCallRunner_, Fleet.OnceRunner_, Parts.RequestRecorder_,
      IsIsolated});
  Parts.AdminHandlers_ = std::make_unique<AdminHandlers>(AdminDependencies{
      Settings_, Parts.Documents_, Fleet.Membership_, Parts.RequestGate_,
      Parts.Policy_.TargetTable_, Parts.Transport_.KeyValueStore_,
      Parts.Transport_.KeyValueCalls_, Parts.Transport_.Metrics_,
      Parts.BurnReport_, IsIsolated, [this] { requestDrain(); },
      [&Fleet](const state::StoredDocument &Document) {
        Fleet.ConfigurationSync_.publish(Document);
      }});
  Parts.CallerHandlers_->install(Parts.Transport_.HttpServer_);
  Parts.AdminHandlers_->install(Parts.Transport_.HttpServer_);
}

void Runtime::startBackgroundWork() {
  Components &Parts = *Components_;
  FleetComponents &Fleet = *Parts.Fleet_;
  transport::TimerService &Timers = Parts.Transport_.Timers_;
  Fleet.Membership_.start(Timers, Parts.Transport_.WorkArena_);
  Fleet.ConfigurationSync_.start(Timers);
  Parts.StateTimer_ =
      Timers.subscribe(StateCheckPeriod, [this] { updateServingPhase(); });
  Parts.JanitorTimer_ =
      Timers.subscribe(JanitorPeriod, [this] { startJanitorPass(); });
  Parts.Transport_.WorkArena_.enqueue([this] { addSeedsFromSessions(); });
}

void Runtime::updateServingPhase() {
  FleetComponents &Fleet = *Components_->Fleet_;
  if (Fleet.ConfigurationSync_.ready())
    Components_->RequestGate_.advance(coordination::ServingPhase::Serving);
  // Two processes under one host name would answer for each other's requests.
  if (Fleet.Membership_.isSuperseded() && !isDrainRequested()) {
    LogEvent(LogLevel::Warn, "superseded").field("host", Settings_.Host_);
    requestDrain();
  }
}

void Runtime::addSeedsFromSessions() {
  Components &Parts = *Components_;
  auto Sessions = capture([&] {
    return coordination::Session::readSessions(Parts.Transport_.KeyValueStore_,
                                               SeedReadTimeout);
  });
  // If the key-value service is unavailable, only the seeds of the settings are
  // used.
  if (!Sessions)
    return;
  std::vector<std::string> Seeds;
  for (const coordination::SessionRecord &Record : *Sessions)
    Seeds.push_back(Record.PeerAddress_);
  Parts.Fleet_->Membership_.addSeeds(Seeds);
}

void Runtime::startJanitorPass() {
  Components &Parts = *Components_;
  if (Parts.IsJanitorRunning_.exchange(true))
    return;
  Parts.Transport_.WorkArena_.enqueue([&Parts] {
    Parts.Fleet_->JanitorLease_.maintain();
    if (Parts.Fleet_->JanitorLease_.holds())
      Parts.Fleet_->Janitor_.runOnce();
    Parts.IsJanitorRunning_ = false;
  });
}

std::string Runtime::callerAddress() const {
  return withPort(Settings_.CallerAddress_,
                  Components_->Transport_.HttpServer_.port());
}

std::string Runtime::peerAddress() const {
  return withPort(Settings_.PeerAddress_,
                  Components_->Transport_.PeerServer_.port());
}

bool Runtime::isDrainRequested() {
  std::lock_guard Lock(Mutex_);
  return IsDrainRequested_;
}

void Runtime::requestDrain() {
  std::lock_guard Lock(Mutex_);
  IsDrainRequested_ = true;
  DrainRequested_.notify_all();
}

void Runtime::runUntilDrained() {
  {
    std::unique_lock Lock(Mutex_);
    DrainRequested_.wait(Lock, [this] { return IsDrainRequested_; });
  }
  drain();
}

void Runtime::drain() {
  Components &Parts = *Components_;
  FleetComponents &Fleet = *Parts.Fleet_;
  LogEvent(LogLevel::Info, "draining")
      .field("in_flight", Parts.RequestGate_.inFlight());
  Parts.RequestGate_.advance(coordination::ServingPhase::Draining);
  Fleet.OnceRunner_.drain();
  Fleet.Membership_.announceDraining();
  std::this_thread::sleep_for(DrainGossipTime + Settings_.EntryHostCacheTime_);
  Parts.RequestGate_.advance(coordination::ServingPhase::Closed);
  bool IsIdle =
      Parts.RequestGate_.waitIdle(SteadyClock::now() + InFlightTimeout);
  // A request leaves the gate before its reply is written; stop() waits until
  // the replies are written.
  Parts.Transport_.HttpServer_.stop();
  bool IsFlushed = Fleet.OnceRunner_.stop(OnceRunnerStopTimeout);
  Parts.JanitorTimer_.cancel();
  Fleet.JanitorLease_.release();
  Fleet.ConfigurationSync_.stop();
  Fleet.Membership_.stop();
  LogEvent(LogLevel::Info, "stopped")
      .field("idle", IsIdle ? "true" : "false")
      .field("journal_flushed", IsFlushed ? "true" : "false");
}

} // namespace amaranth::daemon
