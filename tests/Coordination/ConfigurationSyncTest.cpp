#include "Coordination/ConfigurationSync.h"
#include "Coordination/FakeKeyValueStore.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::protocol;
using state::StoredDocument;

namespace {

constexpr Milliseconds LongTimeout{20000};

state::DocumentReadResult readAny(std::string_view) {
  state::DocumentReadResult Reading;
  Reading.Document_.emplace().Name_ = "guides";
  return Reading;
}

struct Host;

/// Several hosts of one data centre in one process, with one clock and one
/// key-value store.
class SimulatedFleet final {
public:
  explicit SimulatedFleet(int Size) {
    for (int I = 0; I < Size; ++I)
      join(I);
  }
  void join(int I);
  Host &at(int I) { return *Hosts_.at("h" + std::to_string(I)); }
  void kill(int I) { Hosts_.erase("h" + std::to_string(I)); }

  /// Runs the periodic work of all hosts and lets each pair exchange gossip.
  void round();
  /// Runs rounds until \p Condition holds; false after a real-time limit.
  template <typename F> bool roundsUntil(F Condition) {
    const SteadyTime Deadline = SteadyClock::now() + LongTimeout;
    while (!Condition()) {
      if (SteadyClock::now() > Deadline)
        return false;
      round();
    }
    return true;
  }
  std::uint64_t writeDocument(std::uint64_t ExpectedRevision,
                              const std::string &ChangeId) {
    auto Outcome = capture([&] {
      return applyDocument(
          Store_, {"guides", ExpectedRevision, ChangeId, "text"}, LongTimeout);
    });
    REQUIRE(Outcome);
    REQUIRE(Outcome->Applied_);
    return Outcome->Current_.Revision_;
  }
  bool allHave(std::uint64_t Revision);
  int readerCount();

  std::atomic<Milliseconds::rep> Time_{1000000};
  std::function<SteadyTime()> Clock_ = [this] {
    return SteadyTime{Milliseconds{Time_.load()}};
  };
  FakeKeyValueStore Store_{Clock_};
  transport::WorkArena Arena_{{}};
  std::atomic<bool> LosePushes_ = false;
  std::atomic<int> RevisionCalls_ = 0;
  std::map<std::string, std::unique_ptr<Host>> Hosts_;
};

/// One host, with its view of the fleet. Calls to peers go directly to the
/// other hosts' objects.
struct Host final : MemberView, ContactView, PeerNetwork {
  Host(SimulatedFleet &Fleet, std::string Name)
      : Fleet_(Fleet), Name_(std::move(Name)) {}

  Member memberNamed(const std::string &HostName) const {
    Member Description;
    Description.Host_ = Description.PeerAddress_ = HostName;
    Description.DataCentre_ = "dc1";
    auto Found = Fleet_.Hosts_.find(HostName);
    if (Found != Fleet_.Hosts_.end() && Found->second->Draining_)
      Description.Status_ = MemberStatus::Draining;
    return Description;
  }
  Member self() const override { return memberNamed(Name_); }
  std::vector<Member> members() const override {
    std::vector<Member> Members;
    for (const auto &[HostName, Peer] : Fleet_.Hosts_)
      Members.push_back(memberNamed(HostName));
    return Members;
  }
  std::optional<Member> find(const std::string &HostName) const override {
    return memberNamed(HostName);
  }
  bool contactedMajorityWithin(Milliseconds) const override {
    return !PeersUnreachable_;
  }

  Host &peerAt(const std::string &Address) {
    return *Fleet_.Hosts_.at(Address);
  }
  Result<std::vector<ServiceRevision>> revisions(const std::string &Destination,
                                                 Milliseconds) override {
    ++Fleet_.RevisionCalls_;
    return peerAt(Destination).Sync_->onRevisions();
  }
  Result<std::vector<StoredDocument>>
  documents(const std::string &Destination,
            const std::vector<std::string> &Names, Milliseconds) override {
    return peerAt(Destination).Documents_.documents(Names);
  }
  Result<void> pushDocument(const std::string &Destination,
                            const StoredDocument &Document,
                            Milliseconds) override {
    if (Fleet_.LosePushes_)
      return fail(ErrorCode::Ambiguous, "lost");
    peerAt(Destination).Sync_->onPushDocument(Document);
    return {};
  }
  Result<Gossip> probe(const std::string &, const Gossip &,
                       Milliseconds) override {
    return Gossip{};
  }
  Result<bool> probeIndirect(const std::string &, const std::string &,
                             Milliseconds) override {
    return false;
  }
  Result<RequestOutcome> forward(const std::string &,
                                 const ForwardedRequest &) override {
    return RequestOutcome{};
  }
  Result<RequestOutcome> lookUp(const std::string &, const std::string &,
                                Milliseconds) override {
    return RequestOutcome{};
  }
  Result<void> reportSuspect(const std::string &, const SuspectInput &,
                             Milliseconds) override {
    return {};
  }

  SimulatedFleet &Fleet_;
  std::string Name_;
  bool Draining_ = false;
  std::atomic<bool> PeersUnreachable_ = false;
  state::DocumentStore Documents_{readAny};
  std::unique_ptr<ConfigurationSync> Sync_;
};

void SimulatedFleet::join(int I) {
  std::string Name = "h" + std::to_string(I);
  auto &Joined = Hosts_[Name];
  Joined = std::make_unique<Host>(*this, Name);
  ConfigurationSync::Environment Dependencies{
      Store_, *Joined, *Joined, *Joined, Joined->Documents_, Arena_};
  ConfigurationSyncSettings Settings;
  Settings.PushFanOut_ = 2;
  Joined->Sync_ =
      std::make_unique<ConfigurationSync>(Settings, Dependencies, Clock_);
}

void SimulatedFleet::round() {
  Time_ += 250;
  for (auto &[Name, Runner] : Hosts_)
    Runner->Sync_->runOnce();
  for (auto &[SenderName, Sender] : Hosts_)
    for (auto &[ReceiverName, Receiver] : Hosts_) {
      if (Sender == Receiver)
        continue;
      Gossip Message;
      Message.Sender_ = Sender->self();
      Sender->Sync_->contribute(Message);
      Receiver->Sync_->receive(Message);
    }
  Arena_.waitIdle();
}

bool SimulatedFleet::allHave(std::uint64_t Revision) {
  return std::all_of(Hosts_.begin(), Hosts_.end(), [&](const auto &Item) {
    return Item.second->Documents_.stored("guides").Revision_ == Revision;
  });
}

int SimulatedFleet::readerCount() {
  return static_cast<int>(
      std::count_if(Hosts_.begin(), Hosts_.end(), [](const auto &Item) {
        return Item.second->Sync_->holdsReaderLease();
      }));
}

bool waitForReaders(SimulatedFleet &Fleet) {
  return Fleet.roundsUntil([&] {
    return Fleet.readerCount() == 2 && Fleet.Store_.watchCount() == 2;
  });
}

} // namespace

// Guards against a key-value load that grows with the fleet, and against hosts
// without a watch that miss a change.
TEST_CASE("two readers distribute a change to every host") {
  SimulatedFleet Fleet(8);
  REQUIRE(waitForReaders(Fleet));
  std::uint64_t Revision = Fleet.writeDocument(0, "c1");
  CHECK(Fleet.roundsUntil([&] { return Fleet.allHave(Revision); }));
  const int CallsBefore = Fleet.Store_.Calls_;
  for (int I = 0; I < 240; ++I)
    Fleet.round();
  // This is sixty seconds, in which each reader renews its lease every ten.
  CHECK(Fleet.Store_.Calls_ - CallsBefore <= 14);
  CHECK(Fleet.readerCount() == 2);
}

// Guards against losing a change when pushes do not arrive.
TEST_CASE("a change whose pushes are lost arrives by digest comparison") {
  SimulatedFleet Fleet(8);
  REQUIRE(waitForReaders(Fleet));
  Fleet.LosePushes_ = true;
  std::uint64_t Revision = Fleet.writeDocument(0, "c1");
  CHECK(Fleet.roundsUntil([&] { return Fleet.allHave(Revision); }));
  const int CallsBefore = Fleet.RevisionCalls_;
  for (int I = 0; I < 20; ++I)
    Fleet.round();
  CHECK(Fleet.RevisionCalls_ == CallsBefore);
}

// Guards against missing changes between the end of a watch and the next watch,
// and against flooding a key-value service that ends every watch.
TEST_CASE("readers reread after a watch ends, at a bounded rate") {
  SimulatedFleet Fleet(2);
  REQUIRE(waitForReaders(Fleet));
  Fleet.Store_.silenceWatches();
  std::uint64_t Revision = Fleet.writeDocument(0, "c1");
  Fleet.Store_.endWatches();
  CHECK(Fleet.roundsUntil([&] { return Fleet.allHave(Revision); }));
  const int CallsBefore = Fleet.Store_.Calls_;
  for (int I = 0; I < 40; ++I) {
    Fleet.Store_.endWatches();
    Fleet.round();
  }
  // This is ten seconds, in which each reader reads and watches once a second
  // and renews its lease once.
  CHECK(Fleet.Store_.Calls_ - CallsBefore <= 2 * (10 * 2 + 2));
}

// Guards against a data centre without readers after its readers died or
// drained.
TEST_CASE("other hosts take over the readers' leases") {
  SimulatedFleet Fleet(5);
  REQUIRE(waitForReaders(Fleet));
  for (int I = 0; I < 5; ++I)
    Fleet.at(I).Draining_ = Fleet.at(I).Sync_->holdsReaderLease();
  Fleet.round();
  for (int I = 0; I < 5; ++I)
    CHECK_FALSE(
        (Fleet.at(I).Draining_ && Fleet.at(I).Sync_->holdsReaderLease()));
  CHECK(waitForReaders(Fleet));
}

// Guards against a host that serves with old documents, or none, because it
// started while the key-value service was down.
TEST_CASE("a host that starts in an outage fetches documents from its peers") {
  SimulatedFleet Fleet(4);
  REQUIRE(waitForReaders(Fleet));
  std::uint64_t Revision = Fleet.writeDocument(0, "c1");
  REQUIRE(Fleet.roundsUntil([&] { return Fleet.allHave(Revision); }));
  Fleet.Store_.Outage_ = true;
  Fleet.join(9);
  CHECK_FALSE(Fleet.at(9).Sync_->ready());
  CHECK(Fleet.roundsUntil([&] { return Fleet.at(9).Sync_->ready(); }));
  CHECK(Fleet.allHave(Revision));
}

// Guards against a fleet that serves without documents because all its hosts
// started while the key-value service was down.
TEST_CASE("a fleet that starts in an outage waits for the service") {
  SimulatedFleet Fleet(3);
  Fleet.Store_.Outage_ = true;
  for (int I = 0; I < 40; ++I)
    Fleet.round();
  for (int I = 0; I < 3; ++I)
    CHECK_FALSE(Fleet.at(I).Sync_->ready());
  Fleet.Store_.Outage_ = false;
  CHECK(Fleet.roundsUntil([&] {
    return Fleet.at(0).Sync_->ready() && Fleet.at(1).Sync_->ready() &&
           Fleet.at(2).Sync_->ready();
  }));
}

// Guards against an isolated host that keeps serving with an old configuration,
// and against one that accepts requests again before it has caught up.
TEST_CASE("a host without contact is isolated until it has caught up") {
  SimulatedFleet Fleet(3);
  REQUIRE(waitForReaders(Fleet));
  ConfigurationSync &Sync = *Fleet.at(0).Sync_;
  Fleet.at(0).PeersUnreachable_ = true;
  for (int I = 0; I < 40; ++I)
    Fleet.round();
  CHECK_FALSE(Sync.isolated());
  Fleet.Store_.Outage_ = true;
  CHECK(Fleet.roundsUntil([&] { return Sync.isolated(); }));
  Fleet.Store_.Outage_ = false;
  // Restored contact alone is not enough; the host must catch up first.
  CHECK(Sync.isolated());
  CHECK(Fleet.roundsUntil([&] { return !Sync.isolated(); }));
  // After a pause the process reports isolation before any of its threads ran.
  Fleet.Time_ += ConfigurationSyncSettings{}.IsolationLimit_.count();
  CHECK(Sync.isolated());
}

// Guards against periodic work that continues after stop().
TEST_CASE("stop() ends the periodic work") {
  SimulatedFleet Fleet(1);
  transport::TimerService Timers;
  Fleet.at(0).Sync_->start(Timers);
  const SteadyTime Deadline = SteadyClock::now() + LongTimeout;
  while (!Fleet.at(0).Sync_->ready() && SteadyClock::now() < Deadline)
    std::this_thread::yield();
  CHECK(Fleet.at(0).Sync_->ready());
  Fleet.at(0).Sync_->stop();
  CHECK(Fleet.Store_.watchCount() == 0);
  CHECK_FALSE(Fleet.at(0).Sync_->holdsReaderLease());
}
