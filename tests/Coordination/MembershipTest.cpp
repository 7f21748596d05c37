#include "Coordination/Membership.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <set>
#include <thread>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::protocol;

namespace {

class Fleet;

/// The network as one host sees it.
class FakeNetwork final : public PeerNetwork {
public:
  FakeNetwork(Fleet &All, std::string From)
      : Fleet_(All), From_(std::move(From)) {}

  Result<Gossip> probe(const std::string &To, const Gossip &Mine,
                       Milliseconds) override;
  Result<bool> probeIndirect(const std::string &Via, const std::string &To,
                             Milliseconds) override;
  Result<RequestOutcome> forward(const std::string &,
                                 const ForwardedRequest &) override {
    return RequestOutcome{};
  }
  Result<RequestOutcome> lookUp(const std::string &, const std::string &,
                                Milliseconds) override {
    return RequestOutcome{};
  }
  Result<std::vector<ServiceRevision>> revisions(const std::string &,
                                                 Milliseconds) override {
    return std::vector<ServiceRevision>{};
  }
  Result<std::vector<state::StoredDocument>>
  documents(const std::string &, const std::vector<std::string> &,
            Milliseconds) override {
    return std::vector<state::StoredDocument>{};
  }
  Result<void> pushDocument(const std::string &, const state::StoredDocument &,
                            Milliseconds) override {
    return {};
  }
  Result<void> reportSuspect(const std::string &, const SuspectInput &,
                             Milliseconds) override {
    return {};
  }

private:
  Fleet &Fleet_;
  std::string From_;
};

struct Host {
  std::unique_ptr<FakeNetwork> Network_;
  std::unique_ptr<Membership> Membership_;
};

/// Several members in one process, on a clock that only step() advances.
class Fleet final {
public:
  explicit Fleet(int Size) {
    for (int I = 0; I < Size; ++I)
      join(I, 1);
  }

  static std::string address(int I) { return "h" + std::to_string(I) + ":1"; }
  static std::string name(int I) { return "h" + std::to_string(I); }

  /// Starts host \p I; the first host is the seed of all others.
  void join(int I, std::uint64_t Incarnation) {
    Host &Added = Hosts_[address(I)];
    Member Self;
    Self.Host_ = name(I);
    Self.PeerAddress_ = address(I);
    Self.Incarnation_ = Incarnation;
    MembershipSettings Settings;
    Settings.Seed_ = 1 + static_cast<std::uint64_t>(I);
    Added.Membership_.reset();
    Added.Network_ = std::make_unique<FakeNetwork>(*this, Self.PeerAddress_);
    Added.Membership_ = std::make_unique<Membership>(
        Settings, Self, *Added.Network_, [this] { return Now_; });
    Added.Membership_->addSeeds({address(0), address(1)});
  }
  void kill(int I) { Hosts_.erase(address(I)); }
  Membership &at(int I) { return *Hosts_.at(address(I)).Membership_; }
  MemberStatus seen(int By, int Of) {
    auto Found = at(By).find(name(Of));
    return Found ? Found->Status_ : MemberStatus::Dead;
  }

  /// One probe period of every host that is not frozen.
  void step() {
    Now_ += MembershipSettings{}.ProbePeriod_;
    for (auto &[Address, Each] : Hosts_)
      if (!Frozen_.count(Address))
        Each.Membership_->runPeriod();
  }
  /// Steps until \p Condition holds; false after \p Limit.
  template <typename F> bool stepUntil(Milliseconds Limit, F Condition) {
    const SteadyTime End = Now_ + Limit;
    while (!Condition()) {
      if (Now_ >= End)
        return false;
      step();
    }
    return true;
  }
  /// Every running host sees every running host in \p Status.
  bool allSee(MemberStatus Status) {
    for (auto &[Address, By] : Hosts_)
      for (auto &[Other, Of] : Hosts_) {
        auto Found = By.Membership_->find(Of.Membership_->self().Host_);
        if (!Found || Found->Status_ != Status)
          return false;
      }
    return true;
  }
  bool allAlive() { return allSee(MemberStatus::Alive); }

  bool delivers(const std::string &From, const std::string &To) {
    if (!Hosts_.count(To) || Frozen_.count(From) || Frozen_.count(To))
      return false;
    if (Cut_.count(From) != Cut_.count(To))
      return false;
    return std::uniform_real_distribution<>(0, 1)(Random_) >= Loss_;
  }

  std::map<std::string, Host> Hosts_;
  std::set<std::string> Frozen_;
  std::set<std::string> Cut_; ///< One side of a partition.
  double Loss_ = 0;
  SteadyTime Now_{Seconds{1000}};
  std::mt19937_64 Random_{7};
};

Result<Gossip> FakeNetwork::probe(const std::string &To, const Gossip &Mine,
                                  Milliseconds) {
  if (!Fleet_.delivers(From_, To))
    return fail(ErrorCode::Ambiguous, "lost");
  Gossip Reply = Fleet_.Hosts_.at(To).Membership_->onProbe(Mine);
  if (!Fleet_.delivers(To, From_))
    return fail(ErrorCode::Ambiguous, "reply lost");
  return Reply;
}

Result<bool> FakeNetwork::probeIndirect(const std::string &Via,
                                        const std::string &To, Milliseconds) {
  if (!Fleet_.delivers(From_, Via))
    return fail(ErrorCode::Ambiguous, "lost");
  return Fleet_.Hosts_.at(Via).Membership_->onProbeIndirect(To);
}

constexpr Milliseconds Detection{5000};

} // namespace

// Guards against hosts that never learn of each other, and against probes whose
// size grows with the fleet.
TEST_CASE("members that share a seed learn of each other") {
  Fleet All(30);
  REQUIRE(All.stepUntil(Milliseconds{20000}, [&] { return All.allAlive(); }));
  Gossip Asking;
  Asking.Sender_ = All.at(3).self();
  const std::size_t Limit = MembershipSettings{}.MaxUpdates_ + 1;
  CHECK(All.at(0).onProbe(Asking).Updates_.size() <= Limit);
  CHECK(All.at(0).contactedMajorityWithin(Milliseconds{5000}));
}

// Guards against lost messages that remove live members.
TEST_CASE("lost messages do not make a member dead") {
  Fleet All(6);
  REQUIRE(All.stepUntil(Detection, [&] { return All.allAlive(); }));
  All.Loss_ = 0.1;
  for (int I = 0; I < 300; ++I) {
    All.step();
    for (int By = 0; By < 6; ++By)
      for (int Of = 0; Of < 6; ++Of)
        REQUIRE(All.seen(By, Of) != MemberStatus::Dead);
  }
  All.Loss_ = 0;
  CHECK(All.stepUntil(Detection, [&] { return All.allAlive(); }));
}

// Guards against dead members that stay in the view, and against survivors that
// blame each other when many members fail at once.
TEST_CASE("half of the members are killed") {
  Fleet All(6);
  REQUIRE(All.stepUntil(Detection, [&] { return All.allAlive(); }));
  for (int I = 0; I < 3; ++I)
    All.kill(I);
  CHECK(All.stepUntil(Detection, [&] {
    return All.seen(3, 0) == MemberStatus::Dead &&
           All.seen(4, 1) == MemberStatus::Dead &&
           All.seen(5, 2) == MemberStatus::Dead;
  }));
  CHECK(All.stepUntil(Detection, [&] { return All.allAlive(); }));
  // Two of five peers are reachable.
  All.stepUntil(Detection, [] { return false; });
  CHECK_FALSE(All.at(3).contactedMajorityWithin(Milliseconds{5000}));
}

// Guards against a paused process that stays dead for its peers, or that
// declares its peers dead because its own clock went on.
TEST_CASE("a frozen member returns") {
  Fleet All(5);
  REQUIRE(All.stepUntil(Detection, [&] { return All.allAlive(); }));
  All.Frozen_.insert(Fleet::address(2));
  REQUIRE(All.stepUntil(Detection, [&] {
    return All.seen(0, 2) == MemberStatus::Dead &&
           All.seen(4, 2) == MemberStatus::Dead;
  }));
  CHECK_FALSE(All.at(2).contactedMajorityWithin(Milliseconds{1000}));
  All.Frozen_.clear();
  CHECK(All.stepUntil(Detection, [&] {
    for (int Of = 0; Of < 5; ++Of)
      REQUIRE(All.seen(2, Of) != MemberStatus::Dead);
    return All.allAlive();
  }));
}

// Guards against suspicions that run out while this process is paused.
TEST_CASE("a pause does not use up the time for refutation") {
  Fleet All(3);
  REQUIRE(All.stepUntil(Detection, [&] { return All.allAlive(); }));
  All.Cut_.insert(Fleet::address(1));
  REQUIRE(All.stepUntil(
      Detection, [&] { return All.seen(0, 1) == MemberStatus::Suspect; }));
  All.Cut_.clear();
  All.Now_ += Seconds{30};
  All.step();
  CHECK(All.seen(0, 1) != MemberStatus::Dead);
  CHECK(All.stepUntil(Detection, [&] { return All.allAlive(); }));
}

// Guards against fleets that stay apart after a partition, and against a
// minority that goes on as if it were the fleet.
TEST_CASE("a partition is noticed and heals") {
  Fleet All(6);
  REQUIRE(All.stepUntil(Detection, [&] { return All.allAlive(); }));
  All.Cut_ = {Fleet::address(4), Fleet::address(5)};
  REQUIRE(All.stepUntil(Detection * 2, [&] {
    return All.seen(0, 4) == MemberStatus::Dead &&
           All.seen(4, 0) == MemberStatus::Dead;
  }));
  All.stepUntil(Milliseconds{5000}, [] { return false; });
  CHECK(All.at(0).contactedMajorityWithin(Milliseconds{5000}));
  CHECK_FALSE(All.at(4).contactedMajorityWithin(Milliseconds{5000}));
  All.Cut_.clear();
  CHECK(All.stepUntil(Milliseconds{30000}, [&] { return All.allAlive(); }));
}

// Guards against a suspicion of the former process that hits its successor, and
// against late news that bring the former process back.
TEST_CASE("a restarted member replaces its former incarnation") {
  Fleet All(4);
  REQUIRE(All.stepUntil(Detection, [&] { return All.allAlive(); }));
  Member Former = All.at(3).self();
  All.kill(3);
  REQUIRE(All.stepUntil(Detection,
                        [&] { return All.seen(0, 3) == MemberStatus::Dead; }));
  All.join(3, 2);
  CHECK(All.stepUntil(Detection, [&] { return All.allAlive(); }));
  Former.Refutation_ = 9;
  All.at(0).learn({Former});
  CHECK(All.at(0).find("h3")->Incarnation_ == 2);
  Former.Incarnation_ = 3;
  All.at(3).learn({Former});
  CHECK(All.at(3).superseded());
}

// Guards against new work for a host that is draining, and against a host that
// left being counted as lost.
TEST_CASE("a leaving member is announced as draining") {
  Fleet All(4);
  REQUIRE(All.stepUntil(Detection, [&] { return All.allAlive(); }));
  All.at(3).leave();
  CHECK(All.stepUntil(Milliseconds{2000}, [&] {
    return All.seen(0, 3) == MemberStatus::Draining &&
           All.seen(1, 3) == MemberStatus::Draining &&
           All.seen(2, 3) == MemberStatus::Draining;
  }));
  for (int I = 1; I < 4; ++I)
    All.kill(I);
  REQUIRE(All.stepUntil(Detection * 2, [&] {
    return All.seen(0, 1) == MemberStatus::Dead &&
           All.seen(0, 3) == MemberStatus::Dead;
  }));
}

// Guards against a record of the dead that grows for ever.
TEST_CASE("dead members are forgotten") {
  Fleet All(4);
  REQUIRE(All.stepUntil(Detection, [&] { return All.allAlive(); }));
  All.kill(3);
  REQUIRE(All.stepUntil(Detection * 2, [&] {
    return All.seen(0, 3) == MemberStatus::Dead &&
           All.seen(1, 3) == MemberStatus::Dead &&
           All.seen(2, 3) == MemberStatus::Dead;
  }));
  All.Now_ += MembershipSettings{}.DeadRetention_;
  CHECK(All.stepUntil(Detection, [&] {
    return All.at(0).members().size() == 3 && All.at(1).members().size() == 3;
  }));
}

// Guards against peers that make this host connect to arbitrary addresses.
TEST_CASE("an indirect probe reaches members only") {
  Fleet All(2);
  REQUIRE(All.stepUntil(Detection, [&] { return All.allAlive(); }));
  CHECK(All.at(0).onProbeIndirect(Fleet::address(1)));
  CHECK_FALSE(All.at(0).onProbeIndirect("192.0.2.1:1"));
}

// Guards against payloads that are sent but not taken, and against periodic
// probing that never starts or outlives its owner.
TEST_CASE("participants exchange their payload on timed probes") {
  class Participant final : public GossipParticipant {
  public:
    void contribute(Gossip &Mine) override {
      Mine.ConfigurationDigest_ = "digest";
    }
    void receive(const Gossip &FromPeer) override {
      if (FromPeer.ConfigurationDigest_ == "digest")
        Received_ = true;
    }
    std::atomic<bool> Received_ = false;
  };
  Participant Left;
  Participant Right;
  Fleet All(2);
  All.at(0).addParticipant(Left);
  All.at(1).addParticipant(Right);
  transport::TimerService Timers;
  transport::WorkArena Arena({4});
  All.at(1).start(Timers, Arena);
  const SteadyTime Limit = SteadyClock::now() + Seconds{20};
  while (!(Left.Received_ && Right.Received_) && SteadyClock::now() < Limit)
    std::this_thread::yield();
  CHECK(Left.Received_);
  CHECK(Right.Received_);
  All.at(1).stop();
}

// Guards against keys that stay unanswered after the death of a home that had
// opened a second session: survivors go by the incarnation they know.
TEST_CASE("a renewed incarnation reaches all members and does not go back") {
  Fleet All(4);
  REQUIRE(All.stepUntil(Detection, [&] { return All.allAlive(); }));
  All.at(3).renew(7);
  All.at(3).renew(5);
  CHECK(All.stepUntil(Detection, [&] {
    return All.at(0).find("h3")->Incarnation_ == 7 &&
           All.at(1).find("h3")->Incarnation_ == 7 &&
           All.at(2).find("h3")->Incarnation_ == 7;
  }));
  CHECK_FALSE(All.at(3).superseded());
}
