#include "OnceFixture.h"

#include "Coordination/Janitor.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::coordination::test;
using protocol::MemberStatus;
using protocol::OutcomeKind;

namespace {

/// A janitor on a clock that the test advances.
struct JanitorHarness {
  JanitorHarness(Fleet &TestFleet, Node &Host) : Fleet_(TestFleet) {
    JanitorSettings Settings;
    Settings.MaxDeletions_ = 3;
    Settings.Clock_ = [this] { return SteadyTime(Now_); };
    Janitor_ = std::make_unique<Janitor>(Settings, Host.Store_, Host,
                                         [this] { return HoldsDuty_; });
  }

  /// Advances the clock and runs enough passes to read all shards of the
  /// claims.
  void runPasses(Seconds Elapsed) {
    Now_ += Elapsed;
    for (int I = 0; I < 256; ++I)
      Janitor_->runOnce();
  }

  Fleet &Fleet_;
  bool HoldsDuty_ = true;
  SteadyTime::duration Now_ = Seconds(1);
  std::unique_ptr<Janitor> Janitor_;
};

} // namespace

// Guards against records that accumulate, against deletion while a key may
// still be sent or looked up, and against deletion without the duty.
TEST_CASE("the janitor deletes what is past expiry and retention") {
  Fleet TestFleet;
  Node &DeadHost = TestFleet.start("a");
  Node &LiveHost = TestFleet.start("b");
  JanitorHarness Harness(TestFleet, LiveHost);
  std::string Key = DeadHost.key();
  REQUIRE(DeadHost.submit(Key).Kind_ == OutcomeKind::Completed);
  for (int I = 0; I < 10; ++I)
    REQUIRE(LiveHost.submit("plain" + std::to_string(I)).Kind_ ==
            OutcomeKind::Completed);
  REQUIRE(eventually(
      [&] { return TestFleet.Store_.count("/amaranth/journal/a/") >= 2; }));
  TestFleet.kill(DeadHost);

  Harness.HoldsDuty_ = false;
  Harness.runPasses(Seconds(0));
  Harness.runPasses(Seconds(3600));
  CHECK(TestFleet.Store_.count("/amaranth/sessions/") == 2);
  CHECK(TestFleet.Store_.count("/amaranth/claims/") == 10);

  Harness.HoldsDuty_ = true;
  Harness.runPasses(Seconds(0));
  Harness.runPasses(Seconds(599));
  CHECK(TestFleet.Store_.count("/amaranth/sessions/a/") == 1);
  Harness.runPasses(Seconds(1));
  CHECK(TestFleet.Store_.count("/amaranth/sessions/a/") == 0);
  CHECK(TestFleet.Store_.count("/amaranth/sessions/b/") == 1);
  CHECK(TestFleet.Store_.count("/amaranth/claims/") == 10);
  CHECK(LiveHost.submit(Key).Kind_ == OutcomeKind::Completed);
  REQUIRE(LiveHost.submit("young").Kind_ == OutcomeKind::Completed);

  Harness.runPasses(Seconds(660));
  CHECK(TestFleet.Store_.count("/amaranth/claims/") == 1);
  CHECK(TestFleet.Store_.count("/amaranth/journal/a/") >= 2);
  Harness.runPasses(Seconds(1260));
  CHECK(TestFleet.Store_.count("/amaranth/claims/") == 0);
  CHECK(TestFleet.Store_.count("/amaranth/journal/a/") == 0);
  CHECK(TestFleet.Store_.count(Journal::closedIndexPrefix()) == 0);
  Node &Third = TestFleet.start("c");
  CHECK(Third.submit(Key).Kind_ == OutcomeKind::Unknown);
  CHECK(TestFleet.Executions_.runCount(Key) == 1);
}

// Guards against bursts of writes to the shared service.
TEST_CASE("a pass of the janitor is bounded") {
  Fleet TestFleet;
  Node &LiveHost = TestFleet.start("b");
  JanitorHarness Harness(TestFleet, LiveHost);
  for (int I = 0; I < 6; ++I) {
    protocol::Transaction Closed;
    Closed.Writes_.push_back({protocol::Mutation::Kind::Put,
                              Journal::closedIndexKey("x", 1 + I), "{}"});
    TestFleet.Store_.commit(Closed);
  }
  Harness.Janitor_->runOnce();
  Harness.Now_ += Seconds(1260);
  Harness.Janitor_->runOnce();
  CHECK(TestFleet.Store_.count(Journal::closedIndexPrefix()) == 3);
  Harness.Janitor_->runOnce();
  CHECK(TestFleet.Store_.count(Journal::closedIndexPrefix()) == 0);
}

// Guards against ending the session of a host that recovered.
TEST_CASE("the janitor counts only uninterrupted death") {
  Fleet TestFleet;
  Node &Host = TestFleet.start("a");
  Node &LiveHost = TestFleet.start("b");
  REQUIRE(Host.Session_->waitOpen(EventLimit));
  JanitorHarness Harness(TestFleet, LiveHost);
  TestFleet.Members_.setStatus("a", MemberStatus::Dead);
  Harness.runPasses(Seconds(0));
  TestFleet.Members_.setStatus("a", MemberStatus::Alive);
  Harness.runPasses(Seconds(500));
  TestFleet.Members_.setStatus("a", MemberStatus::Dead);
  Harness.runPasses(Seconds(500));
  CHECK(TestFleet.Store_.count("/amaranth/sessions/a/") == 1);
}
