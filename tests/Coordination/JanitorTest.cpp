#include "OnceFixture.h"

#include "Coordination/Janitor.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::coordination::test;
using protocol::MemberStatus;
using protocol::OutcomeKind;

namespace {

/// A janitor with a clock of its own.
struct Cleaning {
  Cleaning(Fleet &All, Node &Host) : All_(All) {
    JanitorSettings Settings;
    Settings.MaxDeletions_ = 3;
    Settings.Clock_ = [this] { return SteadyTime(Now_); };
    Janitor_ = std::make_unique<Janitor>(Settings, Host.Store_, Host,
                                         [this] { return HoldsDuty_; });
  }

  /// Runs enough passes to read all parts of the claims.
  void pass(Seconds Later) {
    Now_ += Later;
    for (int I = 0; I < 256; ++I)
      Janitor_->runOnce();
  }

  Fleet &All_;
  bool HoldsDuty_ = true;
  SteadyTime::duration Now_ = Seconds(1);
  std::unique_ptr<Janitor> Janitor_;
};

} // namespace

// Guards against records that pile up, against deleting them while a key could
// still be asked for, and against work without the duty.
TEST_CASE("the janitor deletes what is past expiry and retention") {
  Fleet All;
  Node &Dead = All.start("a");
  Node &Live = All.start("b");
  Cleaning Work(All, Live);
  std::string Key = Dead.key();
  REQUIRE(Dead.submit(Key).Kind_ == OutcomeKind::Completed);
  for (int I = 0; I < 10; ++I)
    REQUIRE(Live.submit("plain" + std::to_string(I)).Kind_ ==
            OutcomeKind::Completed);
  REQUIRE(eventually(
      [&] { return All.Store_.count("/amaranth/journal/a/") >= 2; }));
  All.kill(Dead);

  Work.HoldsDuty_ = false;
  Work.pass(Seconds(0));
  Work.pass(Seconds(3600));
  CHECK(All.Store_.count("/amaranth/sessions/") == 2);
  CHECK(All.Store_.count("/amaranth/claims/") == 10);

  Work.HoldsDuty_ = true;
  Work.pass(Seconds(0));
  Work.pass(Seconds(599));
  CHECK(All.Store_.count("/amaranth/sessions/a/") == 1);
  Work.pass(Seconds(1));
  CHECK(All.Store_.count("/amaranth/sessions/a/") == 0);
  CHECK(All.Store_.count("/amaranth/sessions/b/") == 1);
  CHECK(All.Store_.count("/amaranth/claims/") == 10);
  CHECK(Live.submit(Key).Kind_ == OutcomeKind::Completed);
  REQUIRE(Live.submit("young").Kind_ == OutcomeKind::Completed);

  Work.pass(Seconds(660));
  CHECK(All.Store_.count("/amaranth/claims/") == 1);
  CHECK(All.Store_.count("/amaranth/journal/a/") >= 2);
  Work.pass(Seconds(1260));
  CHECK(All.Store_.count("/amaranth/claims/") == 0);
  CHECK(All.Store_.count("/amaranth/journal/a/") == 0);
  CHECK(All.Store_.count(Journal::closedIndexPrefix()) == 0);
  Node &Third = All.start("c");
  CHECK(Third.submit(Key).Kind_ == OutcomeKind::Unknown);
  CHECK(All.Judge_.runs(Key) == 1);
}

// Guards against a burst of writes at the shared service.
TEST_CASE("a pass of the janitor is bounded") {
  Fleet All;
  Node &Live = All.start("b");
  Cleaning Work(All, Live);
  for (int I = 0; I < 6; ++I) {
    protocol::Transaction Closed;
    Closed.Writes_.push_back({protocol::Mutation::Kind::Put,
                              Journal::closedIndexKeyOf("x", 1 + I), "{}"});
    All.Store_.commit(Closed);
  }
  Work.Janitor_->runOnce();
  Work.Now_ += Seconds(1260);
  Work.Janitor_->runOnce();
  CHECK(All.Store_.count(Journal::closedIndexPrefix()) == 3);
  Work.Janitor_->runOnce();
  CHECK(All.Store_.count(Journal::closedIndexPrefix()) == 0);
}

// Guards against ending the session of a host that came back.
TEST_CASE("the janitor counts only uninterrupted death") {
  Fleet All;
  Node &Host = All.start("a");
  Node &Live = All.start("b");
  REQUIRE(Host.Session_->waitOpen(EventLimit));
  Cleaning Work(All, Live);
  All.Members_.setStatus("a", MemberStatus::Dead);
  Work.pass(Seconds(0));
  All.Members_.setStatus("a", MemberStatus::Alive);
  Work.pass(Seconds(500));
  All.Members_.setStatus("a", MemberStatus::Dead);
  Work.pass(Seconds(500));
  CHECK(All.Store_.count("/amaranth/sessions/a/") == 1);
}
