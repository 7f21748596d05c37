#include "Daemon/Runtime.h"

#include "Daemon/Components.h"
#include "Support/Log.h"

#include <atomic>
#include <thread>

namespace amaranth::daemon {

namespace {

/// Time in which peers learn by gossip that this host drains; until then they
/// still name it in entry-host answers.
constexpr Milliseconds DrainSpread{2000};

/// Longest wait for requests in flight; above every service deadline.
constexpr Seconds DrainLimit{600};

/// Longest wait for the last journal writes and the end of the session.
constexpr Milliseconds StopLimit{10000};

constexpr Milliseconds SeedReadTimeout{2000};

constexpr Milliseconds StateCheckPeriod{50};

/// Between two looks at the janitor's duty.
constexpr Milliseconds JanitorPeriod{30000};

std::string withPort(const std::string &Address, int Port) {
  return Address.substr(0, Address.rfind(':') + 1) + std::to_string(Port);
}

} // namespace

struct Runtime::Components {
  explicit Components(const state::DaemonSettings &Settings)
      : Transport_(Settings), Burn_({.Host_ = Settings.Host_}),
        Policy_(Settings, Transport_, Documents_),
        Recorder_(Transport_.Metrics_, Burn_),
        Load_(Gate_, Settings.MaxInFlight_),
        Follower_(Documents_, Policy_.Table_, Burn_) {}

  state::DocumentStore Documents_;
  TransportComponents Transport_;
  state::BurnReport Burn_;
  coordination::RequestGate Gate_;
  PolicyComponents Policy_;
  RequestRecorder Recorder_;
  LoadGossip Load_;
  DocumentFollower Follower_;
  std::unique_ptr<FleetComponents> Fleet_;
  std::unique_ptr<CallerHandlers> Callers_;
  std::unique_ptr<AdminHandlers> Admin_;
  std::atomic<bool> JanitorRuns_ = false;
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
  Parts.Transport_.Http_.stop();
  Parts.Transport_.Endpoint_.abandon();
  Parts.Transport_.PeerServer_.stop();
  Parts.Transport_.Arena_.waitIdle();
}

Result<void> Runtime::start() {
  TransportComponents &Transport = Components_->Transport_;
  BOOST_LEAF_CHECK(Transport.Http_.bind());
  BOOST_LEAF_CHECK(Transport.PeerServer_.start());
  connectFleet();
  installHandlers();
  Transport.Http_.serve();
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
  Self.Incarnation_ = static_cast<std::uint64_t>(wallNow().count());
  return Self;
}

void Runtime::connectFleet() {
  Components &Parts = *Components_;
  Parts.Fleet_ = std::make_unique<FleetComponents>(
      Settings_, makeSelf(), Parts.Transport_, Parts.Policy_, Parts.Documents_);
  FleetComponents &Fleet = *Parts.Fleet_;
  Parts.Policy_.Spread_.attach(Fleet.Membership_, Parts.Policy_.Suspects_);
  Fleet.Membership_.addParticipant(Parts.Policy_.Spread_);
  Fleet.Membership_.addParticipant(Parts.Load_);
  Fleet.Membership_.addParticipant(Fleet.Configuration_);
  if (Parts.Policy_.Accounts_) {
    Parts.Policy_.Accounts_->attach(Fleet.Membership_);
    Fleet.Membership_.addParticipant(*Parts.Policy_.Accounts_);
    Fleet.Membership_.addListener(*Parts.Policy_.Accounts_);
  }
  Fleet.Membership_.addSeeds(Settings_.Seeds_);
  Parts.Transport_.Endpoint_.attach({&Fleet.Membership_, &Fleet.Configuration_,
                                     &Fleet.Once_, &Parts.Policy_.Suspects_,
                                     &Parts.Documents_});
}

void Runtime::installHandlers() {
  Components &Parts = *Components_;
  FleetComponents &Fleet = *Parts.Fleet_;
  auto Isolated = [&Fleet] { return Fleet.Configuration_.isolated(); };
  Parts.Callers_ = std::make_unique<CallerHandlers>(CallerParts{
      Settings_, Parts.Documents_, Fleet.Membership_, Parts.Gate_,
      *Parts.Policy_.Admission_, Parts.Policy_.Pipelines_, Parts.Policy_.Calls_,
      Fleet.Once_, Parts.Recorder_, Isolated});
  Parts.Admin_ = std::make_unique<AdminHandlers>(
      AdminParts{Settings_, Parts.Documents_, Fleet.Membership_, Parts.Gate_,
                 Parts.Policy_.Table_, Parts.Transport_.Store_,
                 Parts.Transport_.KeyValueCalls_, Parts.Transport_.Metrics_,
                 Parts.Burn_, Isolated, [this] { requestDrain(); },
                 [&Fleet](const state::StoredDocument &Document) {
                   Fleet.Configuration_.publish(Document);
                 }});
  Parts.Callers_->install(Parts.Transport_.Http_);
  Parts.Admin_->install(Parts.Transport_.Http_);
}

void Runtime::startBackgroundWork() {
  Components &Parts = *Components_;
  FleetComponents &Fleet = *Parts.Fleet_;
  transport::TimerService &Timers = Parts.Transport_.Timers_;
  Fleet.Membership_.start(Timers, Parts.Transport_.Arena_);
  Fleet.Configuration_.start(Timers);
  Parts.StateTimer_ =
      Timers.subscribe(StateCheckPeriod, [this] { checkState(); });
  Parts.JanitorTimer_ =
      Timers.subscribe(JanitorPeriod, [this] { startJanitorPass(); });
  Parts.Transport_.Arena_.enqueue([this] { learnSessions(); });
}

void Runtime::checkState() {
  FleetComponents &Fleet = *Components_->Fleet_;
  if (Fleet.Configuration_.ready())
    Components_->Gate_.advance(coordination::ServingPhase::Serving);
  // Two processes under one name would answer for each other's requests.
  if (Fleet.Membership_.superseded() && !isDraining()) {
    LogEvent(LogLevel::Warn, "superseded").field("host", Settings_.Host_);
    requestDrain();
  }
}

void Runtime::learnSessions() {
  Components &Parts = *Components_;
  auto Sessions = capture([&] {
    return coordination::Session::readSessions(Parts.Transport_.Store_,
                                               SeedReadTimeout);
  });
  // During an outage the seeds of the settings have to do.
  if (!Sessions)
    return;
  std::vector<std::string> Seeds;
  for (const coordination::SessionRecord &Record : *Sessions)
    Seeds.push_back(Record.PeerAddress_);
  Parts.Fleet_->Membership_.addSeeds(Seeds);
}

void Runtime::startJanitorPass() {
  Components &Parts = *Components_;
  if (Parts.JanitorRuns_.exchange(true))
    return;
  Parts.Transport_.Arena_.enqueue([&Parts] {
    Parts.Fleet_->JanitorDuty_.maintain();
    if (Parts.Fleet_->JanitorDuty_.holds())
      Parts.Fleet_->Janitor_.runOnce();
    Parts.JanitorRuns_ = false;
  });
}

std::string Runtime::callerAddress() const {
  return withPort(Settings_.CallerAddress_,
                  Components_->Transport_.Http_.port());
}

std::string Runtime::peerAddress() const {
  return withPort(Settings_.PeerAddress_,
                  Components_->Transport_.PeerServer_.port());
}

bool Runtime::isDraining() {
  std::lock_guard Lock(Mutex_);
  return Draining_;
}

void Runtime::requestDrain() {
  std::lock_guard Lock(Mutex_);
  Draining_ = true;
  DrainRequested_.notify_all();
}

void Runtime::runUntilDrained() {
  {
    std::unique_lock Lock(Mutex_);
    DrainRequested_.wait(Lock, [this] { return Draining_; });
  }
  drain();
}

void Runtime::drain() {
  Components &Parts = *Components_;
  FleetComponents &Fleet = *Parts.Fleet_;
  LogEvent(LogLevel::Info, "draining")
      .field("in_flight", Parts.Gate_.inFlight());
  Parts.Gate_.advance(coordination::ServingPhase::Draining);
  Fleet.Once_.drain();
  Fleet.Membership_.leave();
  std::this_thread::sleep_for(DrainSpread + Settings_.EntryHostKeep_);
  Parts.Gate_.advance(coordination::ServingPhase::Closed);
  bool Idle = Parts.Gate_.waitIdle(SteadyClock::now() + DrainLimit);
  // Replies are written after their requests have left the gate; stop() waits
  // for them.
  Parts.Transport_.Http_.stop();
  bool Flushed = Fleet.Once_.stop(StopLimit);
  Parts.JanitorTimer_.cancel();
  Fleet.JanitorDuty_.release();
  Fleet.Configuration_.stop();
  Fleet.Membership_.stop();
  LogEvent(LogLevel::Info, "stopped")
      .field("idle", Idle ? "true" : "false")
      .field("journal_flushed", Flushed ? "true" : "false");
}

} // namespace amaranth::daemon
