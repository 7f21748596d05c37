#include "Daemon/Runtime.h"

#include "Daemon/Components.h"
#include "Support/Log.h"

#include <nlohmann/json.hpp>

#include <cassert>

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

std::string withPort(const std::string &Address, int Port) {
  return Address.substr(0, Address.rfind(':') + 1) + std::to_string(Port);
}

} // namespace

struct Runtime::Components {
  explicit Components(const state::DaemonSettings &Settings)
      : Transport_(Settings), Burn_({.Host_ = Settings.Host_}),
        Policy_(Settings, Transport_, Documents_),
        Recorder_(Transport_.Metrics_, Burn_),
        Load_(Gate_, Settings.MaxInFlight_) {}

  state::DocumentStore Documents_;
  TransportComponents Transport_;
  state::BurnReport Burn_;
  coordination::RequestGate Gate_;
  PolicyComponents Policy_;
  RequestRecorder Recorder_;
  LoadGossip Load_;
  std::unique_ptr<FleetComponents> Fleet_;
  std::unique_ptr<CallerHandlers> Callers_;
  std::unique_ptr<AdminHandlers> Admin_;
  transport::TimerSubscription Reload_;
};

Runtime::Runtime(const state::DaemonSettings &Settings)
    : Settings_(Settings),
      Components_(std::make_unique<Components>(Settings_)) {}

Runtime::~Runtime() {
  Components_->Transport_.Endpoint_.abandon();
  Components_->Transport_.PeerServer_.stop();
}

Result<void> Runtime::start() {
  Components &Parts = *Components_;
  TransportComponents &Transport = Parts.Transport_;
  BOOST_LEAF_CHECK(Transport.Http_.bind());
  BOOST_LEAF_CHECK(Transport.PeerServer_.start());
  protocol::Member Self;
  Self.Host_ = Settings_.Host_;
  Self.DataCentre_ = Settings_.DataCentre_;
  Self.CallerAddress_ = callerAddress();
  Self.PeerAddress_ = peerAddress();
  Self.Incarnation_ = static_cast<std::uint64_t>(wallNow().count());
  Parts.Fleet_ = std::make_unique<FleetComponents>(
      Settings_, Self, Transport, Parts.Policy_, Parts.Documents_);
  FleetComponents &Fleet = *Parts.Fleet_;
  Parts.Policy_.Spread_.attach(Fleet.Membership_, Parts.Policy_.Suspects_);
  Fleet.Membership_.addParticipant(Parts.Policy_.Spread_);
  Fleet.Membership_.addParticipant(Parts.Load_);
  Fleet.Membership_.addSeeds(Settings_.Seeds_);
  Transport.Endpoint_.attach({&Fleet.Membership_, &Fleet.Once_,
                              &Parts.Policy_.Suspects_, &Parts.Documents_});
  Parts.Callers_ = std::make_unique<CallerHandlers>(
      CallerParts{Settings_, Parts.Documents_, Fleet.Membership_, Parts.Gate_,
                  Parts.Policy_.Pipelines_, Parts.Policy_.Calls_, Fleet.Once_,
                  Parts.Recorder_, [] { return false; }});
  Parts.Admin_ = std::make_unique<AdminHandlers>(
      AdminParts{Settings_, Parts.Documents_, Fleet.Membership_, Parts.Gate_,
                 Parts.Policy_.Table_, Transport.Store_,
                 Transport.KeyValueCalls_, Transport.Metrics_, Parts.Burn_,
                 [] { return false; }, [this] { requestDrain(); }});
  Parts.Callers_->install(Transport.Http_);
  Parts.Admin_->install(Transport.Http_);
  Transport.Http_.serve();
  Fleet.Membership_.start(Transport.Timers_, Transport.Arena_);
  auto Reload = [&Parts, &Transport] {
    auto Read = capture([&] {
      return Transport.Store_.range("/amaranth/services/", true,
                                    SeedReadTimeout);
    });
    if (!Read)
      return;
    for (const auto &Pair : Read->Pairs_) {
      auto Json = nlohmann::json::parse(Pair.Value_, nullptr, false);
      state::StoredDocument Document;
      Document.Name_ = Pair.Key_.substr(19);
      Document.Revision_ = Pair.ModRevision_;
      Document.Deleted_ = Json.value("deleted", false);
      Document.Text_ = Json.value("document", "");
      Parts.Documents_.accept(Document);
    }
    Parts.Gate_.advance(coordination::ServingPhase::Serving);
  };
  Parts.Reload_ = Transport.Timers_.subscribe(Milliseconds{500}, Reload);
  auto Sessions = capture([&] {
    return coordination::Session::readSessions(Transport.Store_,
                                               SeedReadTimeout);
  });
  if (Sessions) {
    std::vector<std::string> Seeds;
    for (const auto &Record : *Sessions)
      Seeds.push_back(Record.PeerAddress_);
    Fleet.Membership_.addSeeds(Seeds);
  }
  LogEvent(LogLevel::Info, "started")
      .field("host", Settings_.Host_)
      .field("caller_address", callerAddress())
      .field("peer_address", peerAddress());
  return {};
}

std::string Runtime::callerAddress() const {
  return withPort(Settings_.CallerAddress_,
                  Components_->Transport_.Http_.port());
}

std::string Runtime::peerAddress() const {
  return withPort(Settings_.PeerAddress_,
                  Components_->Transport_.PeerServer_.port());
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
  bool Flushed = Fleet.Once_.stop(StopLimit);
  Parts.Transport_.Http_.stop();
  Fleet.Membership_.stop();
  LogEvent(LogLevel::Info, "stopped")
      .field("idle", Idle ? "true" : "false")
      .field("journal_flushed", Flushed ? "true" : "false");
}

} // namespace amaranth::daemon
