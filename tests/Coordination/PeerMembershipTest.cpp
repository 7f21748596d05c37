#include "Coordination/Membership.h"
#include "Protocol/PeerClient.h"
#include "Protocol/PeerServer.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::protocol;

namespace {

constexpr Milliseconds LongTimeout{60000};

/// Forwards probes to a Membership, which is set once the server's port is
/// known.
class ProbeHandler final : public PeerHandler {
public:
  Gossip onProbe(const Gossip &FromPeer) override {
    Membership *Current = Membership_;
    return Current ? Current->onProbe(FromPeer) : Gossip{};
  }
  bool onProbeIndirect(const std::string &PeerAddress) override {
    Membership *Current = Membership_;
    return Current && Current->onProbeIndirect(PeerAddress);
  }
  RequestOutcome onForward(const ForwardedRequest &) override { return {}; }
  RequestOutcome onLookUp(const std::string &) override { return {}; }
  std::vector<ServiceRevision> onRevisions() override { return {}; }
  std::vector<state::StoredDocument>
  onDocuments(const std::vector<std::string> &) override {
    return {};
  }
  void onPushDocument(const state::StoredDocument &) override {}
  void onSuspect(const SuspectInput &) override {}

  std::atomic<Membership *> Membership_ = nullptr;
};

/// The parts of a daemon that talk to peers: loop, server, client and
/// membership.
class Daemon final {
public:
  Daemon(const std::string &Name, const std::string &Seed)
      : Client_({.FleetSecret_ = "secret", .Limits_ = {}}, Loop_) {
    PeerServerSettings Settings;
    Settings.FleetSecret_ = "secret";
    Server_ = std::make_unique<PeerServer>(Settings, Loop_, Arena_, Handler_);
    REQUIRE(capture([&] { return Server_->start(); }));
    Member Self;
    Self.Host_ = Name;
    Self.PeerAddress_ = "127.0.0.1:" + std::to_string(Server_->port());
    Self.Incarnation_ = 1;
    Membership_ =
        std::make_unique<Membership>(MembershipSettings{}, Self, Client_);
    Handler_.Membership_ = Membership_.get();
    if (!Seed.empty())
      Membership_->addSeeds({Seed});
    Membership_->start(Timers_, Arena_);
  }
  ~Daemon() {
    Server_->stop();
    Membership_->stop();
  }

  std::string address() const { return Membership_->self().PeerAddress_; }
  MemberStatus statusOf(const std::string &Host) const {
    auto Found = Membership_->find(Host);
    return Found ? Found->Status_ : MemberStatus::Dead;
  }

private:
  transport::RpcLoop Loop_;
  transport::TimerService Timers_;
  transport::WorkArena Arena_{{}};
  ProbeHandler Handler_;
  PeerClient Client_;
  std::unique_ptr<PeerServer> Server_;
  std::unique_ptr<Membership> Membership_;
};

template <typename F> bool eventually(F Condition) {
  const SteadyTime Deadline = SteadyClock::now() + LongTimeout;
  while (!Condition()) {
    if (SteadyClock::now() > Deadline)
      return false;
    std::this_thread::sleep_for(Milliseconds{5});
  }
  return true;
}

} // namespace

// Guards against deadlocks and mismatches between timer, arena, RPC loop and
// membership, which other tests use separately.
TEST_CASE("members discover each other over RPC and detect a stopped one") {
  Daemon First("h1", "");
  Daemon Second("h2", First.address());
  {
    Daemon Third("h3", First.address());
    CHECK(eventually([&] {
      return First.statusOf("h2") == MemberStatus::Alive &&
             Second.statusOf("h3") == MemberStatus::Alive &&
             Third.statusOf("h2") == MemberStatus::Alive;
    }));
  }
  CHECK(eventually([&] {
    return First.statusOf("h3") == MemberStatus::Dead &&
           Second.statusOf("h3") == MemberStatus::Dead;
  }));
  CHECK(
      eventually([&] { return First.statusOf("h2") == MemberStatus::Alive; }));
}
