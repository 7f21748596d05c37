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

constexpr Milliseconds Generous{20000};

state::DocumentReading readAny(std::string_view) {
  state::DocumentReading Reading;
  Reading.Document_.emplace().Name_ = "guides";
  return Reading;
}

struct Host;

/// Several hosts of one data centre in one process; one clock and one store.
class Fleet final {
public:
  explicit Fleet(int Size) {
    for (int I = 0; I < Size; ++I)
      join(I);
  }
  void join(int I);
  Host &at(int I) { return *Hosts_.at("h" + std::to_string(I)); }
  void kill(int I) { Hosts_.erase("h" + std::to_string(I)); }

  /// Runs the periodic work of all hosts and lets each pair exchange gossip.
  void round();
  /// Rounds until \p Condition holds.
  template <typename F> bool roundsUntil(F Condition) {
    const SteadyTime Limit = SteadyClock::now() + Generous;
    while (!Condition()) {
      if (SteadyClock::now() > Limit)
        return false;
      round();
    }
    return true;
  }
  std::uint64_t write(std::uint64_t Expected, const std::string &ChangeId) {
    auto Outcome = capture([&] {
      return applyDocument(Store_, {"guides", Expected, ChangeId, "text"},
                           Generous);
    });
    REQUIRE(Outcome);
    REQUIRE(Outcome->Applied_);
    return Outcome->Current_.Revision_;
  }
  bool allHave(std::uint64_t Revision);
  int readers();

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

/// One host, with its view of the fleet and its calls to peers.
struct Host final : MemberView, ContactView, PeerNetwork {
  Host(Fleet &All, std::string Name) : Fleet_(All), Name_(std::move(Name)) {}

  Member describe(const std::string &Of) const {
    Member Known;
    Known.Host_ = Known.PeerAddress_ = Of;
    Known.DataCentre_ = "dc1";
    auto Found = Fleet_.Hosts_.find(Of);
    if (Found != Fleet_.Hosts_.end() && Found->second->Draining_)
      Known.Status_ = MemberStatus::Draining;
    return Known;
  }
  Member self() const override { return describe(Name_); }
  std::vector<Member> members() const override {
    std::vector<Member> All;
    for (const auto &[Of, Each] : Fleet_.Hosts_)
      All.push_back(describe(Of));
    return All;
  }
  std::optional<Member> find(const std::string &Of) const override {
    return describe(Of);
  }
  bool contactedMajorityWithin(Milliseconds) const override { return !CutOff_; }

  Host &reach(const std::string &Address) { return *Fleet_.Hosts_.at(Address); }
  Result<std::vector<ServiceRevision>> revisions(const std::string &To,
                                                 Milliseconds) override {
    ++Fleet_.RevisionCalls_;
    return reach(To).Sync_->onRevisions();
  }
  Result<std::vector<StoredDocument>>
  documents(const std::string &To, const std::vector<std::string> &Names,
            Milliseconds) override {
    return reach(To).Documents_.documents(Names);
  }
  Result<void> pushDocument(const std::string &To,
                            const StoredDocument &Document,
                            Milliseconds) override {
    if (Fleet_.LosePushes_)
      return fail(ErrorCode::Ambiguous, "lost");
    reach(To).Sync_->onPushDocument(Document);
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

  Fleet &Fleet_;
  std::string Name_;
  bool Draining_ = false;
  std::atomic<bool> CutOff_ = false;
  state::DocumentStore Documents_{readAny};
  std::unique_ptr<ConfigurationSync> Sync_;
};

void Fleet::join(int I) {
  std::string Name = "h" + std::to_string(I);
  auto &Added = Hosts_[Name];
  Added = std::make_unique<Host>(*this, Name);
  ConfigurationSync::Environment Surroundings{
      Store_, *Added, *Added, *Added, Added->Documents_, Arena_};
  ConfigurationSyncSettings Settings;
  Settings.PushFanOut_ = 2;
  Added->Sync_ =
      std::make_unique<ConfigurationSync>(Settings, Surroundings, Clock_);
}

void Fleet::round() {
  Time_ += 250;
  for (auto &[Name, Each] : Hosts_)
    Each->Sync_->runOnce();
  for (auto &[Name, From] : Hosts_)
    for (auto &[Other, To] : Hosts_) {
      if (From == To)
        continue;
      Gossip Mine;
      Mine.Sender_ = From->self();
      From->Sync_->contribute(Mine);
      To->Sync_->receive(Mine);
    }
  Arena_.waitIdle();
}

bool Fleet::allHave(std::uint64_t Revision) {
  return std::all_of(Hosts_.begin(), Hosts_.end(), [&](const auto &Item) {
    return Item.second->Documents_.stored("guides").Revision_ == Revision;
  });
}

int Fleet::readers() {
  return static_cast<int>(
      std::count_if(Hosts_.begin(), Hosts_.end(), [](const auto &Item) {
        return Item.second->Sync_->reader();
      }));
}

bool settled(Fleet &All) {
  return All.roundsUntil(
      [&] { return All.readers() == 2 && All.Store_.watchCount() == 2; });
}

} // namespace

// Guards against a key-value load that grows with the fleet, and against hosts
// without a watch that miss a change.
TEST_CASE("two readers bring a change to every host") {
  Fleet All(8);
  REQUIRE(settled(All));
  std::uint64_t Revision = All.write(0, "c1");
  CHECK(All.roundsUntil([&] { return All.allHave(Revision); }));
  const int Before = All.Store_.Calls_;
  for (int I = 0; I < 240; ++I)
    All.round();
  // Sixty seconds: each reader renews its lease every ten.
  CHECK(All.Store_.Calls_ - Before <= 14);
  CHECK(All.readers() == 2);
}

// Guards against changes lost with a push.
TEST_CASE("digests bring what a lost push did not") {
  Fleet All(8);
  REQUIRE(settled(All));
  All.LosePushes_ = true;
  std::uint64_t Revision = All.write(0, "c1");
  CHECK(All.roundsUntil([&] { return All.allHave(Revision); }));
  const int Before = All.RevisionCalls_;
  for (int I = 0; I < 20; ++I)
    All.round();
  CHECK(All.RevisionCalls_ == Before);
}

// Guards against changes missed between a watch that ended and the next one,
// and against flooding a service that ends every watch.
TEST_CASE("readers read again after a watch ends, at a bounded rate") {
  Fleet All(2);
  REQUIRE(settled(All));
  All.Store_.silenceWatches();
  std::uint64_t Revision = All.write(0, "c1");
  All.Store_.endWatches();
  CHECK(All.roundsUntil([&] { return All.allHave(Revision); }));
  const int Before = All.Store_.Calls_;
  for (int I = 0; I < 40; ++I) {
    All.Store_.endWatches();
    All.round();
  }
  // Ten seconds: each reader reads and watches once a second, and renews once.
  CHECK(All.Store_.Calls_ - Before <= 2 * (10 * 2 + 2));
}

// Guards against a data centre without readers after they died or drained.
TEST_CASE("other hosts take over the readers' leases") {
  Fleet All(5);
  REQUIRE(settled(All));
  for (int I = 0; I < 5; ++I)
    All.at(I).Draining_ = All.at(I).Sync_->reader();
  All.round();
  for (int I = 0; I < 5; ++I)
    CHECK_FALSE((All.at(I).Draining_ && All.at(I).Sync_->reader()));
  CHECK(settled(All));
}

// Guards against a host that answers with old documents, or none, because it
// started while the key-value service was down.
TEST_CASE("a host that starts in an outage takes documents from its peers") {
  Fleet All(4);
  REQUIRE(settled(All));
  std::uint64_t Revision = All.write(0, "c1");
  REQUIRE(All.roundsUntil([&] { return All.allHave(Revision); }));
  All.Store_.Outage_ = true;
  All.join(9);
  CHECK_FALSE(All.at(9).Sync_->ready());
  CHECK(All.roundsUntil([&] { return All.at(9).Sync_->ready(); }));
  CHECK(All.allHave(Revision));
}

// Guards against a fleet that starts in an outage and serves without knowing
// its documents.
TEST_CASE("a fleet that starts in an outage waits for the service") {
  Fleet All(3);
  All.Store_.Outage_ = true;
  for (int I = 0; I < 40; ++I)
    All.round();
  for (int I = 0; I < 3; ++I)
    CHECK_FALSE(All.at(I).Sync_->ready());
  All.Store_.Outage_ = false;
  CHECK(All.roundsUntil([&] {
    return All.at(0).Sync_->ready() && All.at(1).Sync_->ready() &&
           All.at(2).Sync_->ready();
  }));
}

// Guards against an isolated host that goes on with an old configuration, and
// against one that accepts again before it has caught up.
TEST_CASE("a host without peers and service is isolated until it caught up") {
  Fleet All(3);
  REQUIRE(settled(All));
  ConfigurationSync &Sync = *All.at(0).Sync_;
  All.at(0).CutOff_ = true;
  for (int I = 0; I < 40; ++I)
    All.round();
  CHECK_FALSE(Sync.isolated());
  All.Store_.Outage_ = true;
  CHECK(All.roundsUntil([&] { return Sync.isolated(); }));
  All.Store_.Outage_ = false;
  // Contact alone is not enough; the documents are exchanged first.
  CHECK(Sync.isolated());
  CHECK(All.roundsUntil([&] { return !Sync.isolated(); }));
  // A paused process knows it before any of its threads ran.
  All.Time_ += ConfigurationSyncSettings{}.IsolationLimit_.count();
  CHECK(Sync.isolated());
}

// Guards against work that goes on after its owner stopped.
TEST_CASE("timed work stops with its owner") {
  Fleet All(1);
  transport::TimerService Timers;
  All.at(0).Sync_->start(Timers);
  const SteadyTime Limit = SteadyClock::now() + Generous;
  while (!All.at(0).Sync_->ready() && SteadyClock::now() < Limit)
    std::this_thread::yield();
  CHECK(All.at(0).Sync_->ready());
  All.at(0).Sync_->stop();
  CHECK(All.Store_.watchCount() == 0);
  CHECK_FALSE(All.at(0).Sync_->reader());
}
