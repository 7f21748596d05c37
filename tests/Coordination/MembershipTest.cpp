#include "Coordination/Membership.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <set>
#include <thread>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::protocol;

namespace {

class SimulatedFleet;

/// The network as one host sees it.
class FakeNetwork final : public PeerNetwork {
public:
  FakeNetwork(SimulatedFleet &Fleet, std::string Sender)
      : Fleet_(Fleet), Sender_(std::move(Sender)) {}

  Result<Gossip> probe(const std::string &Destination, const Gossip &Outgoing,
                       Milliseconds) override;
  Result<bool> probeIndirect(const std::string &Prober,
                             const std::string &Destination,
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
  SimulatedFleet &Fleet_;
  std::string Sender_;
};

struct Host {
  std::unique_ptr<FakeNetwork> Network_;
  std::unique_ptr<Membership> Membership_;
};

/// Several members in one process, on a simulated clock that step() advances.
class SimulatedFleet final {
public:
  explicit SimulatedFleet(int Size) {
    for (int I = 0; I < Size; ++I)
      join(I, 1);
  }

  static std::string address(int I) { return "h" + std::to_string(I) + ":1"; }
  static std::string name(int I) { return "h" + std::to_string(I); }

  /// Starts host \p I; the first host is the seed of all others.
  void join(int I, std::uint64_t Incarnation) {
    Host &Joined = Hosts_[address(I)];
    Member Self;
    Self.Host_ = name(I);
    Self.PeerAddress_ = address(I);
    Self.Incarnation_ = Incarnation;
    MembershipSettings Settings;
    Settings.Seed_ = 1 + static_cast<std::uint64_t>(I);
    Joined.Membership_.reset();
    Joined.Network_ = std::make_unique<FakeNetwork>(*this, Self.PeerAddress_);
    Joined.Membership_ = std::make_unique<Membership>(
        Settings, Self, *Joined.Network_, [this] { return Now_; });
    Joined.Membership_->addSeeds({address(0), address(1)});
  }
  void kill(int I) { Hosts_.erase(address(I)); }
  Membership &at(int I) { return *Hosts_.at(address(I)).Membership_; }
  /// Status of host \p Subject in the view of host \p Observer.
  MemberStatus statusSeenBy(int Observer, int Subject) {
    auto Found = at(Observer).find(name(Subject));
    return Found ? Found->Status_ : MemberStatus::Dead;
  }

  /// Runs one probe period of every host that is not frozen.
  void step() {
    Now_ += MembershipSettings{}.ProbePeriod_;
    for (auto &[Address, Running] : Hosts_)
      if (!Frozen_.count(Address))
        Running.Membership_->runPeriod();
  }
  /// Steps until \p Condition holds; false after \p Limit of simulated time.
  template <typename F> bool stepUntil(Milliseconds Limit, F Condition) {
    const SteadyTime Deadline = Now_ + Limit;
    while (!Condition()) {
      if (Now_ >= Deadline)
        return false;
      step();
    }
    return true;
  }
  /// True if every running host sees every running host in \p Status.
  bool allSee(MemberStatus Status) {
    for (auto &[ObserverAddress, Observer] : Hosts_)
      for (auto &[SubjectAddress, Subject] : Hosts_) {
        auto Found =
            Observer.Membership_->find(Subject.Membership_->self().Host_);
        if (!Found || Found->Status_ != Status)
          return false;
      }
    return true;
  }
  bool allAlive() { return allSee(MemberStatus::Alive); }

  bool delivers(const std::string &Sender, const std::string &Destination) {
    if (!Hosts_.count(Destination) || Frozen_.count(Sender) ||
        Frozen_.count(Destination))
      return false;
    if (Partition_.count(Sender) != Partition_.count(Destination))
      return false;
    return std::uniform_real_distribution<>(0, 1)(Random_) >= LossRate_;
  }

  std::map<std::string, Host> Hosts_;
  std::set<std::string> Frozen_;
  std::set<std::string> Partition_; ///< One side of a partition.
  double LossRate_ = 0;
  SteadyTime Now_{Seconds{1000}};
  std::mt19937_64 Random_{7};
};

Result<Gossip> FakeNetwork::probe(const std::string &Destination,
                                  const Gossip &Outgoing, Milliseconds) {
  if (!Fleet_.delivers(Sender_, Destination))
    return fail(ErrorCode::Ambiguous, "lost");
  Gossip Reply = Fleet_.Hosts_.at(Destination).Membership_->onProbe(Outgoing);
  if (!Fleet_.delivers(Destination, Sender_))
    return fail(ErrorCode::Ambiguous, "reply lost");
  return Reply;
}

Result<bool> FakeNetwork::probeIndirect(const std::string &Prober,
                                        const std::string &Destination,
                                        Milliseconds) {
  if (!Fleet_.delivers(Sender_, Prober))
    return fail(ErrorCode::Ambiguous, "lost");
  return Fleet_.Hosts_.at(Prober).Membership_->onProbeIndirect(Destination);
}

constexpr Milliseconds DetectionLimit{5000};

} // namespace

// Guards against hosts that never learn of each other, and against probes whose
// size grows with the fleet.
TEST_CASE("members that share a seed learn of each other") {
  SimulatedFleet Fleet(30);
  REQUIRE(
      Fleet.stepUntil(Milliseconds{20000}, [&] { return Fleet.allAlive(); }));
  Gossip Probe;
  Probe.Sender_ = Fleet.at(3).self();
  const std::size_t Limit = MembershipSettings{}.MaxUpdates_ + 1;
  CHECK(Fleet.at(0).onProbe(Probe).Updates_.size() <= Limit);
  CHECK(Fleet.at(0).contactedMajorityWithin(Milliseconds{5000}));
}

// Guards against live members that are declared dead because messages are lost.
TEST_CASE("lost messages do not make a member dead") {
  SimulatedFleet Fleet(6);
  REQUIRE(Fleet.stepUntil(DetectionLimit, [&] { return Fleet.allAlive(); }));
  Fleet.LossRate_ = 0.1;
  for (int I = 0; I < 300; ++I) {
    Fleet.step();
    for (int Observer = 0; Observer < 6; ++Observer)
      for (int Subject = 0; Subject < 6; ++Subject)
        REQUIRE(Fleet.statusSeenBy(Observer, Subject) != MemberStatus::Dead);
  }
  Fleet.LossRate_ = 0;
  CHECK(Fleet.stepUntil(DetectionLimit, [&] { return Fleet.allAlive(); }));
}

// Guards against dead members that are not detected, and against survivors that
// declare each other dead when many members fail at once.
TEST_CASE("half of the members are killed") {
  SimulatedFleet Fleet(6);
  REQUIRE(Fleet.stepUntil(DetectionLimit, [&] { return Fleet.allAlive(); }));
  for (int I = 0; I < 3; ++I)
    Fleet.kill(I);
  CHECK(Fleet.stepUntil(DetectionLimit, [&] {
    return Fleet.statusSeenBy(3, 0) == MemberStatus::Dead &&
           Fleet.statusSeenBy(4, 1) == MemberStatus::Dead &&
           Fleet.statusSeenBy(5, 2) == MemberStatus::Dead;
  }));
  CHECK(Fleet.stepUntil(DetectionLimit, [&] { return Fleet.allAlive(); }));
  // Two of five peers are reachable.
  Fleet.stepUntil(DetectionLimit, [] { return false; });
  CHECK_FALSE(Fleet.at(3).contactedMajorityWithin(Milliseconds{5000}));
}

// Guards against a paused process that stays dead in its peers' views, or that
// declares its peers dead because its clock advanced during the pause.
TEST_CASE("a frozen member returns") {
  SimulatedFleet Fleet(5);
  REQUIRE(Fleet.stepUntil(DetectionLimit, [&] { return Fleet.allAlive(); }));
  Fleet.Frozen_.insert(SimulatedFleet::address(2));
  REQUIRE(Fleet.stepUntil(DetectionLimit, [&] {
    return Fleet.statusSeenBy(0, 2) == MemberStatus::Dead &&
           Fleet.statusSeenBy(4, 2) == MemberStatus::Dead;
  }));
  CHECK_FALSE(Fleet.at(2).contactedMajorityWithin(Milliseconds{1000}));
  Fleet.Frozen_.clear();
  CHECK(Fleet.stepUntil(DetectionLimit, [&] {
    for (int Subject = 0; Subject < 5; ++Subject)
      REQUIRE(Fleet.statusSeenBy(2, Subject) != MemberStatus::Dead);
    return Fleet.allAlive();
  }));
}

// Guards against suspicions that expire while this process is paused.
TEST_CASE("a pause does not use up the time for refutation") {
  SimulatedFleet Fleet(3);
  REQUIRE(Fleet.stepUntil(DetectionLimit, [&] { return Fleet.allAlive(); }));
  Fleet.Partition_.insert(SimulatedFleet::address(1));
  REQUIRE(Fleet.stepUntil(DetectionLimit, [&] {
    return Fleet.statusSeenBy(0, 1) == MemberStatus::Suspect;
  }));
  Fleet.Partition_.clear();
  Fleet.Now_ += Seconds{30};
  Fleet.step();
  CHECK(Fleet.statusSeenBy(0, 1) != MemberStatus::Dead);
  CHECK(Fleet.stepUntil(DetectionLimit, [&] { return Fleet.allAlive(); }));
}

// Guards against halves of a fleet that do not rejoin after a partition, and
// against a minority that does not notice that it is cut off.
TEST_CASE("a partition is noticed and heals") {
  SimulatedFleet Fleet(6);
  REQUIRE(Fleet.stepUntil(DetectionLimit, [&] { return Fleet.allAlive(); }));
  Fleet.Partition_ = {SimulatedFleet::address(4), SimulatedFleet::address(5)};
  REQUIRE(Fleet.stepUntil(DetectionLimit * 2, [&] {
    return Fleet.statusSeenBy(0, 4) == MemberStatus::Dead &&
           Fleet.statusSeenBy(4, 0) == MemberStatus::Dead;
  }));
  Fleet.stepUntil(Milliseconds{5000}, [] { return false; });
  CHECK(Fleet.at(0).contactedMajorityWithin(Milliseconds{5000}));
  CHECK_FALSE(Fleet.at(4).contactedMajorityWithin(Milliseconds{5000}));
  Fleet.Partition_.clear();
  CHECK(Fleet.stepUntil(Milliseconds{30000}, [&] { return Fleet.allAlive(); }));
}

// Guards against a suspicion of a former process that is applied to its
// successor, and against late updates that restore the former process.
TEST_CASE("a restarted member replaces its former incarnation") {
  SimulatedFleet Fleet(4);
  REQUIRE(Fleet.stepUntil(DetectionLimit, [&] { return Fleet.allAlive(); }));
  Member Former = Fleet.at(3).self();
  Fleet.kill(3);
  REQUIRE(Fleet.stepUntil(DetectionLimit, [&] {
    return Fleet.statusSeenBy(0, 3) == MemberStatus::Dead;
  }));
  Fleet.join(3, 2);
  CHECK(Fleet.stepUntil(DetectionLimit, [&] { return Fleet.allAlive(); }));
  Former.Refutation_ = 9;
  Fleet.at(0).addKnownMembers({Former});
  CHECK(Fleet.at(0).find("h3")->Incarnation_ == 2);
  Former.Incarnation_ = 3;
  Fleet.at(3).addKnownMembers({Former});
  CHECK(Fleet.at(3).isSuperseded());
}

// Guards against new work for a draining host, and against counting a host that
// left by draining as lost.
TEST_CASE("a leaving member is announced as draining") {
  SimulatedFleet Fleet(4);
  REQUIRE(Fleet.stepUntil(DetectionLimit, [&] { return Fleet.allAlive(); }));
  Fleet.at(3).announceDraining();
  CHECK(Fleet.stepUntil(Milliseconds{2000}, [&] {
    return Fleet.statusSeenBy(0, 3) == MemberStatus::Draining &&
           Fleet.statusSeenBy(1, 3) == MemberStatus::Draining &&
           Fleet.statusSeenBy(2, 3) == MemberStatus::Draining;
  }));
  for (int I = 1; I < 4; ++I)
    Fleet.kill(I);
  REQUIRE(Fleet.stepUntil(DetectionLimit * 2, [&] {
    return Fleet.statusSeenBy(0, 1) == MemberStatus::Dead &&
           Fleet.statusSeenBy(0, 3) == MemberStatus::Dead;
  }));
}

// Guards against memory that grows with every member that ever died.
TEST_CASE("dead members are forgotten") {
  SimulatedFleet Fleet(4);
  REQUIRE(Fleet.stepUntil(DetectionLimit, [&] { return Fleet.allAlive(); }));
  Fleet.kill(3);
  REQUIRE(Fleet.stepUntil(DetectionLimit * 2, [&] {
    return Fleet.statusSeenBy(0, 3) == MemberStatus::Dead &&
           Fleet.statusSeenBy(1, 3) == MemberStatus::Dead &&
           Fleet.statusSeenBy(2, 3) == MemberStatus::Dead;
  }));
  Fleet.Now_ += MembershipSettings{}.DeadRetention_;
  CHECK(Fleet.stepUntil(DetectionLimit, [&] {
    return Fleet.at(0).members().size() == 3 &&
           Fleet.at(1).members().size() == 3;
  }));
}

// Guards against peers that make this host connect to arbitrary addresses.
TEST_CASE("an indirect probe reaches members only") {
  SimulatedFleet Fleet(2);
  REQUIRE(Fleet.stepUntil(DetectionLimit, [&] { return Fleet.allAlive(); }));
  CHECK(Fleet.at(0).onProbeIndirect(SimulatedFleet::address(1)));
  CHECK_FALSE(Fleet.at(0).onProbeIndirect("192.0.2.1:1"));
}

// Guards against payloads that are sent but not processed, and against periodic
// probing that never starts or continues after stop().
TEST_CASE("participants exchange their payload on timed probes") {
  class Participant final : public GossipParticipant {
  public:
    void contribute(Gossip &Outgoing) override {
      Outgoing.ConfigurationDigest_ = "digest";
    }
    void receive(const Gossip &FromPeer) override {
      if (FromPeer.ConfigurationDigest_ == "digest")
        Received_ = true;
    }
    std::atomic<bool> Received_ = false;
  };
  Participant Left;
  Participant Right;
  SimulatedFleet Fleet(2);
  Fleet.at(0).addParticipant(Left);
  Fleet.at(1).addParticipant(Right);
  transport::TimerService Timers;
  transport::WorkArena Arena({4});
  Fleet.at(1).start(Timers, Arena);
  const SteadyTime Limit = SteadyClock::now() + Seconds{20};
  while (!(Left.Received_ && Right.Received_) && SteadyClock::now() < Limit)
    std::this_thread::yield();
  CHECK(Left.Received_);
  CHECK(Right.Received_);
  Fleet.at(1).stop();
}

// Guards against keys that stay unanswered after the death of their home, the
// daemon incarnation that alone may run requests with those keys, if it had
// opened a second session: survivors decide by the incarnation they know.
TEST_CASE("a renewed incarnation reaches all members and never decreases") {
  SimulatedFleet Fleet(4);
  REQUIRE(Fleet.stepUntil(DetectionLimit, [&] { return Fleet.allAlive(); }));
  Fleet.at(3).adoptIncarnation(7);
  Fleet.at(3).adoptIncarnation(5);
  CHECK(Fleet.stepUntil(DetectionLimit, [&] {
    return Fleet.at(0).find("h3")->Incarnation_ == 7 &&
           Fleet.at(1).find("h3")->Incarnation_ == 7 &&
           Fleet.at(2).find("h3")->Incarnation_ == 7;
  }));
  CHECK_FALSE(Fleet.at(3).isSuperseded());
}
