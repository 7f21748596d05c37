#include "OnceFixture.h"

#include "Coordination/Journal.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::coordination::test;
using protocol::OutcomeKind;
using protocol::RequestOutcome;

namespace {

/// Two alive members.
class TwoMembers final : public MemberView {
public:
  protocol::Member self() const override { return {}; }
  std::vector<protocol::Member> members() const override {
    return std::vector<protocol::Member>(2);
  }
  std::optional<protocol::Member> find(const std::string &) const override {
    return std::nullopt;
  }
};

/// A journal of host "a", incarnation 7, on its own store.
struct JournalHarness {
  explicit JournalHarness(JournalSettings Settings = Fleet::settings().Journal_)
      : Session_(sessionSettings(), Client_, nullptr),
        Journal_(Settings, Client_, Session_, Members_) {
    REQUIRE(Session_.waitOpen(EventLimit));
  }

  static SessionSettings sessionSettings() {
    SessionSettings Settings;
    Settings.Self_ = {"a", "dc", "caller:a", "peer:a", 7};
    Settings.RetryDelay_ = Milliseconds(1);
    return Settings;
  }

  std::future<AppendStatus> append(const std::string &Identity,
                                   Milliseconds Timeout = EventLimit) {
    return std::async(std::launch::async, [=, this] {
      return Journal_.append({Identity, "c", Milliseconds(100)}, 7,
                             SteadyClock::now() + Timeout);
    });
  }

  JournalContent read() {
    auto Content =
        capture([&] { return Journal::read(Client_, "a", 7, EventLimit); });
    REQUIRE(Content);
    return *Content;
  }

  FakeStore Store_;
  StoreClient Client_{Store_};
  TwoMembers Members_;
  Session Session_;
  Journal Journal_;
};

RequestOutcome completed(const std::string &Body) {
  RequestOutcome Outcome;
  Outcome.Kind_ = OutcomeKind::Completed;
  Outcome.Status_ = 200;
  Outcome.Body_ = Body;
  return Outcome;
}

} // namespace

// Guards against one write per request, and against two writes in flight, which
// could reach the service in the wrong order.
TEST_CASE("intents that wait share one write") {
  JournalHarness Harness;
  Gate FirstWrite;
  std::atomic<int> InFlight{0}, MaxInFlight{0}, Writes{0};
  Harness.Client_.setFaultHook([&](const protocol::Transaction *Request) {
    if (!isAppend(Request))
      return Fault::None;
    MaxInFlight = std::max(MaxInFlight.load(), ++InFlight);
    if (++Writes == 1)
      FirstWrite.wait();
    --InFlight;
    return Fault::None;
  });
  std::vector<std::future<AppendStatus>> Appends;
  Appends.push_back(Harness.append("first"));
  FirstWrite.waitForArrival();
  for (int I = 0; I < 20; ++I)
    Appends.push_back(Harness.append("id" + std::to_string(I)));
  FirstWrite.open();
  for (auto &Append : Appends)
    CHECK(Append.get() == AppendStatus::Durable);
  CHECK(MaxInFlight == 1);
  CHECK(Writes <= 21);
  CHECK(Harness.read().Entries_.size() == 21);
}

// Guards against a total write rate that grows with the fleet.
TEST_CASE("the interval between writes grows with the alive hosts") {
  JournalSettings Settings;
  Settings.FleetWritesPerSecond_ = 50; // 40 ms for the two members.
  JournalHarness Harness(Settings);
  SteadyTime FirstAppendAt = SteadyClock::now();
  for (int I = 0; I < 4; ++I)
    REQUIRE(Harness.append("id" + std::to_string(I)).get() ==
            AppendStatus::Durable);
  CHECK(SteadyClock::now() - FirstAppendAt >= Milliseconds(120));
}

// Guards against appends, and then dispatches, under a session that other hosts
// have ended.
TEST_CASE("nothing is appended after the session is deleted") {
  JournalHarness Harness;
  REQUIRE(Harness.append("before").get() == AppendStatus::Durable);
  REQUIRE(Harness.Store_.commit(Session::closeTransaction("a", 7)).Succeeded_);
  CHECK(Harness.append("after").get() == AppendStatus::Failed);
  CHECK(Harness.append("later").get() == AppendStatus::Failed);
  JournalContent Content = Harness.read();
  CHECK(Content.Closed_);
  CHECK(Content.Entries_.size() == 1);
  REQUIRE(Harness.Session_.waitOpen(EventLimit));
  CHECK(Harness.Session_.current()->Incarnation_ > 7);
}

// Guards against dispatching requests of a batch that was written before the
// session was deleted, but whose reply was lost, so that it was repeated after.
TEST_CASE("a batch confirmed by a failed repetition is not durable") {
  JournalHarness Harness;
  std::atomic<int> Writes{0};
  Harness.Client_.setFaultHook([&](const protocol::Transaction *Request) {
    if (!isAppend(Request))
      return Fault::None;
    if (Writes++ == 0)
      return Fault::LoseReply;
    Harness.Store_.commit(Session::closeTransaction("a", 7));
    return Fault::None;
  });
  CHECK(Harness.append("id").get() == AppendStatus::Failed);
  CHECK(Harness.read().Entries_.size() == 1);
}

// Guards against an append under a session key that a delayed creation has
// created again after the janitor deleted the closed journal.
TEST_CASE("appends name the session that they belong to") {
  JournalHarness Harness;
  protocol::Transaction Creation;
  std::string Key = Session::sessionKey("a", 7);
  Creation.Writes_.push_back({protocol::Mutation::Kind::Put, Key, "late"});
  REQUIRE(Harness.Store_.commit(Session::closeTransaction("a", 7)).Succeeded_);
  REQUIRE(capture([&] {
    return Journal::deleteClosedJournal(Harness.Client_, "a", 7, EventLimit);
  }));
  Harness.Store_.commit(Creation);
  CHECK(Harness.append("id").get() == AppendStatus::Failed);
  CHECK(Harness.read().Entries_.empty());
}

// Guards against a late reply that makes a timed-out append durable.
TEST_CASE("an append that timed out stays timed out") {
  JournalHarness Harness;
  Gate WriteGate;
  Harness.Client_.setFaultHook([&](const protocol::Transaction *Request) {
    if (isAppend(Request))
      WriteGate.wait();
    return Fault::None;
  });
  CHECK(Harness.append("a", Milliseconds(30)).get() == AppendStatus::TimedOut);
  auto QueuedBehind = Harness.append("b", Milliseconds(30));
  CHECK(QueuedBehind.get() == AppendStatus::TimedOut);
  WriteGate.open();
  CHECK(Harness.append("c").get() == AppendStatus::Durable);
  // An append that timed out while it was still queued is not written.
  JournalContent Content = Harness.read();
  CHECK(Content.Entries_.contains("a"));
  CHECK_FALSE(Content.Entries_.contains("b"));
}

// Guards against unbounded memory and endless waits during an outage.
TEST_CASE("a full queue and an outage refuse at once") {
  JournalSettings Settings = Fleet::settings().Journal_;
  Settings.MaxQueueLength_ = 1;
  JournalHarness Harness(Settings);
  Gate FirstWrite;
  Harness.Client_.setFaultHook([&](const protocol::Transaction *Request) {
    if (!isAppend(Request))
      return Fault::None;
    FirstWrite.wait();
    return Fault::Unavailable;
  });
  auto InFlight = Harness.append("a");
  FirstWrite.waitForArrival();
  std::vector<std::future<AppendStatus>> Queued;
  Queued.push_back(Harness.append("b"));
  Queued.push_back(Harness.append("c"));
  // The second of the two in the queue was refused without waiting.
  REQUIRE(eventually([&] {
    return std::any_of(Queued.begin(), Queued.end(), [](auto &Append) {
      return Append.wait_for(Milliseconds(0)) == std::future_status::ready;
    });
  }));
  FirstWrite.open();
  AppendStatus FirstQueued = Queued[0].get();
  AppendStatus SecondQueued = Queued[1].get();
  CHECK((FirstQueued == AppendStatus::Full) !=
        (SecondQueued == AppendStatus::Full));
  CHECK((FirstQueued == AppendStatus::Failed) !=
        (SecondQueued == AppendStatus::Failed));
  CHECK(InFlight.get() == AppendStatus::Failed);
}

// Guards against outcomes that are lost, altered or too large for the service.
TEST_CASE("outcomes are recorded with bodies up to the limit") {
  JournalHarness Harness;
  std::string Binary = std::string("\xff\x00\"", 3);
  Harness.Journal_.addOutcome({"small", "c", {}}, 7, completed(Binary));
  Harness.Journal_.addOutcome({"large", "c", {}}, 7,
                              completed(std::string(4097, 'x')));
  CHECK(Harness.Journal_.flush(EventLimit));
  JournalContent Content = Harness.read();
  RequestOutcome Small = Content.Entries_["small"].Outcome_.value();
  CHECK(Small.Kind_ == OutcomeKind::Completed);
  CHECK(Small.Body_ == Binary);
  RequestOutcome Large = Content.Entries_["large"].Outcome_.value();
  CHECK(Large.Kind_ == OutcomeKind::Unknown);
  Harness.Client_.setFaultHook(
      [](const protocol::Transaction *) { return Fault::Unavailable; });
  Harness.Journal_.addOutcome({"lost", "c", {}}, 7, completed("1"));
  CHECK_FALSE(Harness.Journal_.flush(Milliseconds(20)));
}

// Guards against `not_run` from a damaged journal.
TEST_CASE("an unreadable segment makes the journal corrupt") {
  JournalHarness Harness;
  auto Value = GENERATE(as<std::string>(), "", "[]", "{\"intents\":[]}",
                        "{\"intents\":[1],\"outcomes\":[]}");
  protocol::Transaction DamagedSegment;
  DamagedSegment.Writes_.push_back({protocol::Mutation::Kind::Put,
                                    Journal::keyPrefix("a", 7) + "000000000009",
                                    Value});
  Harness.Store_.commit(DamagedSegment);
  CHECK(Harness.read().Corrupt_);
}
