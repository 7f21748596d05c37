#include "Coordination/Stages/StageAdmission.h"
#include "StageFixture.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::testing;

namespace {

const SteadyTime Now{Seconds{1000}};

/// Queues that a test fills.
struct Queues final : QueueView {
  protocol::QueueState queueOf(const std::string &Service) const override {
    auto Found = Of_.find(Service);
    return Found == Of_.end() ? protocol::QueueState{} : Found->second;
  }
  std::map<std::string, protocol::QueueState> Of_;
};

struct Fixture {
  StageStart decide(int Priority = 1) {
    std::vector<state::StageStep> Steps = {{"first", {}, 100},
                                           {"second", {0}, 100}};
    StagePlan Plan(Steps, {1, 4}, stageTable());
    return Admission_.decide(Plan, Priority, Now + Seconds{2}, Now + Seconds{8},
                             Now);
  }
  /// Pieces of priorities 0 and 1 that can meet their aim, and late ones, at
  /// the second stage, which makes 100 a second.
  void fill(std::uint32_t Urgent, std::uint32_t Same, std::uint32_t Late) {
    Queues_.Of_["second"] = {"second", {Urgent, Same}, Late, 100};
  }

  Queues Queues_;
  StageAdmission Admission_{Queues_};
};

} // namespace

// Pattern: a quiet time. Guards against holding requests without a reason.
TEST_CASE("stage admission: without a backlog requests begin at once") {
  Fixture F;
  CHECK(F.decide() == StageStart::Begin);
  F.fill(10, 10, 0);
  CHECK(F.decide() == StageStart::Begin);
}

// Pattern: a burst of one kind. Guards against first results that are made for
// requests whose next stage has a backlog, and expire before they are read.
TEST_CASE("stage admission: a request that would be late waits without work") {
  Fixture F;
  F.fill(0, 300, 0);
  CHECK(F.decide() == StageStart::Hold);
  F.fill(0, 0, 30);
  CHECK(F.decide() == StageStart::Begin);
}

// Guards against urgent requests that are held for the less urgent, and for
// those that are late anyhow.
TEST_CASE("stage admission: what waits behind a request does not hold it") {
  Fixture F;
  F.fill(0, 300, 0);
  CHECK(F.decide(0) == StageStart::Begin);
  F.fill(0, 0, 5000);
  CHECK(F.decide(1) == StageStart::Begin);
}

// Guards against keeping callers waiting for what cannot be served any more.
TEST_CASE("stage admission: what cannot be served in time is refused at once") {
  Fixture F;
  F.fill(0, 900, 0);
  CHECK(F.decide() == StageStart::Refuse);
  // A more urgent request is served before these.
  CHECK(F.decide(0) == StageStart::Begin);
}

// Guards against callers that all come back before the backlog is made, or far
// too late.
TEST_CASE("stage admission: callers come back when the backlog is made") {
  Fixture F;
  std::vector<state::StageStep> Steps = {{"second", {}, 100}};
  StagePlan Plan(Steps, {1}, stageTable());
  F.fill(50, 50, 100);
  CHECK(F.Admission_.retryAfter(Plan) == Seconds{2});
  F.fill(0, 0, 0);
  CHECK(F.Admission_.retryAfter(Plan) == Milliseconds{300});
  F.fill(0, 0, 100000);
  CHECK(F.Admission_.retryAfter(Plan) == Milliseconds{3000});
}
