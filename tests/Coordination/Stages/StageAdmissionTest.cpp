#include "Coordination/Stages/StageAdmission.h"
#include "StageFixture.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::testing;

namespace {

const SteadyTime Now{Seconds{1000}};

/// Queue states set by the test.
struct FakeQueues final : QueueView {
  protocol::QueueState queueState(const std::string &Service) override {
    auto Found = States_.find(Service);
    return Found == States_.end() ? protocol::QueueState{} : Found->second;
  }
  std::map<std::string, protocol::QueueState> States_;
};

struct Fixture {
  StageStart decide(int Priority = 1) {
    std::vector<state::StageStep> Steps = {{"first", {}, 100},
                                           {"second", {0}, 100}};
    StagePlan Plan(Steps, {1, 4}, stageTable());
    return Admission_.decide(Plan, Priority, Now + Seconds{2}, Now + Seconds{8},
                             Now);
  }
  /// Sets the queue of the second stage, which completes 100 pieces per second:
  /// pieces of priorities 0 and 1 that can meet their aim, and late ones.
  void fill(std::uint32_t Urgent, std::uint32_t Same, std::uint32_t Late) {
    Queues_.States_["second"] = {"second", {Urgent, Same}, {0, Late}, {}, 100};
  }

  FakeQueues Queues_;
  StageAdmission Admission_{Queues_};
};

} // namespace

// Pattern: low load. Guards against delaying requests without a reason.
TEST_CASE("stage admission: without a backlog requests begin at once") {
  Fixture F;
  CHECK(F.decide() == StageStart::Begin);
  F.fill(10, 10, 0);
  CHECK(F.decide() == StageStart::Begin);
}

// Pattern: a burst of one kind. Guards against computing first results for
// requests whose next stage has a backlog: they expire before they are read.
TEST_CASE("stage admission: a request that would miss its aim waits for the "
          "backlog") {
  Fixture F;
  F.fill(0, 300, 0);
  CHECK(F.decide() == StageStart::Wait);
  F.fill(0, 0, 30);
  CHECK(F.decide() == StageStart::Begin);
}

// Guards against delaying urgent requests for less urgent ones or for ones that
// will miss their aim in any case.
TEST_CASE(
    "stage admission: less urgent and late pieces do not delay a request") {
  Fixture F;
  F.fill(0, 300, 0);
  CHECK(F.decide(0) == StageStart::Begin);
  F.fill(0, 0, 5000);
  CHECK(F.decide(1) == StageStart::Begin);
}

// Guards against keeping callers waiting for requests that cannot meet their
// deadline.
TEST_CASE(
    "stage admission: a request that cannot meet its deadline is refused") {
  Fixture F;
  F.fill(0, 900, 0);
  CHECK(F.decide() == StageStart::Refuse);
  // A more urgent request is served before these.
  CHECK(F.decide(0) == StageStart::Begin);
}

// Guards against retry delays that end before the backlog is completed, or much
// later.
TEST_CASE(
    "stage admission: the retry delay is the time to complete the backlog") {
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

// Pattern: a wave of requests is on its way through the first stage. Guards
// against letting in more requests than the second stage can complete in time,
// and against counting the time that the way takes twice.
TEST_CASE("stage admission: work that arrives with the request costs no time "
          "twice") {
  Fixture F;
  // Each stage takes 0.4 s, so that the second has completed 100 pieces a
  // second for 0.8 s when this request's could be completed. The aim is 1.2 s
  // later.
  F.fill(0, 80, 0);
  CHECK(F.decide() == StageStart::Begin);
  F.fill(0, 100, 0);
  CHECK(F.decide() == StageStart::Begin);
  F.fill(0, 210, 0);
  CHECK(F.decide() == StageStart::Wait);
}

// Pattern: overload that lasts. Guards against requests that all wait for the
// same free time, and are all refused at the end of theirs.
TEST_CASE("stage admission: those that wait already go before a new request") {
  Fixture F;
  F.fill(0, 300, 0);
  CHECK(F.decide() == StageStart::Wait);
  F.Queues_.States_["second"].Waiting_ = {0, 600};
  CHECK(F.decide() == StageStart::Refuse);
  // They do not keep a request from starting that can meet its aim.
  F.fill(0, 100, 0);
  F.Queues_.States_["second"].Waiting_ = {0, 600};
  CHECK(F.decide() == StageStart::Begin);
}

// Pattern: overload that lasts while hosts are killed. Guards against callers
// that are kept waiting for a start that requests which arrive later take: most
// of them were refused at the end of their time.
TEST_CASE("stage admission: a wait that leaves no time to spare is refused") {
  Fixture F;
  // The request is usable for 8 s more and needs 0.8 s itself.
  F.fill(0, 400, 0);
  CHECK(F.decide() == StageStart::Wait);
  F.fill(0, 500, 0);
  CHECK(F.decide() == StageStart::Refuse);
}

// Pattern: overload of several kinds. Guards against refusing urgent requests
// because less urgent ones are late or wait.
TEST_CASE("stage admission: less urgent work does not refuse a late request") {
  Fixture F;
  F.fill(300, 0, 600);
  F.Queues_.States_["second"].Waiting_ = {0, 600};
  CHECK(F.decide(1) == StageStart::Refuse);
  CHECK(F.decide(0) == StageStart::Wait);
}

// Pattern: overload by requests of different sizes. Guards against one request
// with many pieces that takes the place of several small ones.
TEST_CASE("stage admission: at a backlog smaller requests begin first") {
  Fixture F;
  std::vector<state::StageStep> Steps = {{"first", {}, 100},
                                         {"second", {0}, 100}};
  StagePlan Usual(Steps, {1, 4}, stageTable());
  StagePlan Larger(Steps, {1, 7}, stageTable());
  F.Admission_.onRequest(Usual);
  auto Decide = [&](const StagePlan &Plan) {
    return F.Admission_.decide(Plan, 1, Now + Seconds{2}, Now + Seconds{8},
                               Now);
  };
  CHECK(Decide(Larger) == StageStart::Begin);
  F.fill(0, 130, 0);
  CHECK(Decide(Usual) == StageStart::Begin);
  CHECK(Decide(Larger) == StageStart::Wait);
}
