#include "Coordination/Stages/OutstandingWork.h"
#include "StageFixture.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::testing;

namespace {

const SteadyTime Now{Seconds{1000}};

/// A first stage of one piece, whose result the eight of the second stage read.
StagePlan twoStages() {
  std::vector<state::StageStep> Steps = {{"first", {}, 100},
                                         {"second", {0}, 100}};
  return StagePlan(Steps, {1, 8}, stageTable());
}

const protocol::QueueState *find(const std::vector<protocol::QueueState> &All,
                                 const std::string &Service) {
  for (const protocol::QueueState &State : All)
    if (State.Service_ == Service)
      return &State;
  return nullptr;
}

} // namespace

// Pattern: a wave on its way to a later stage. Guards against counting only the
// pieces that wait in front of a stage.
TEST_CASE("outstanding work: pieces of later stages count from the start") {
  OutstandingWork Work;
  StagePlan Plan = twoStages();
  OutstandingRequest Request{&Plan, 1, Now + Seconds{2}, true};
  Work.add(Request);
  const auto Begun = Work.states(Now);
  REQUIRE(find(Begun, "second"));
  CHECK(find(Begun, "first")->InTime_ == std::vector<std::uint32_t>{0, 1});
  CHECK(find(Begun, "second")->InTime_ == std::vector<std::uint32_t>{0, 8});
  REQUIRE(Plan.takeReadyPieces().size() == 1);
  Plan.onCompleted({0, 0}, "h", Now);
  const SteadyTime Later = Now + OutstandingWork::RefreshPeriod;
  const auto FirstDone = Work.states(Later);
  CHECK_FALSE(find(FirstDone, "first"));
  CHECK(find(FirstDone, "second")->InTime_.at(1) == 8);
  Work.remove(Request);
  CHECK(Work.states(Later + OutstandingWork::RefreshPeriod).empty());
}

// Guards against requests that wait, or that can no longer meet their aim,
// which count as work that goes before that of others.
TEST_CASE("outstanding work: waiting and late requests are told apart") {
  OutstandingWork Work;
  StagePlan WaitingPlan = twoStages();
  StagePlan LatePlan = twoStages();
  OutstandingRequest Waiting{&WaitingPlan, 0, Now + Seconds{2}, false};
  OutstandingRequest Late{&LatePlan, 0, Now + Milliseconds{100}, true};
  Work.add(Waiting);
  Work.add(Late);
  const auto States = Work.states(Now);
  const protocol::QueueState *Second = find(States, "second");
  REQUIRE(Second);
  CHECK(Second->InTime_.empty());
  CHECK(Second->Waiting_ == std::vector<std::uint32_t>{8});
  CHECK(Second->Late_ == std::vector<std::uint32_t>{8});
  protocol::QueueState Sum;
  addPieces(*Second, Sum);
  addPieces({"second", {1, 2}, {3, 1}, {4}, 0}, Sum);
  CHECK(Sum.InTime_ == std::vector<std::uint32_t>{1, 2});
  CHECK(Sum.Late_ == std::vector<std::uint32_t>{11, 1});
  CHECK(Sum.Waiting_ == std::vector<std::uint32_t>{12});
  Work.remove(Waiting);
  Work.remove(Late);
}

// Pattern: many requests wait on a host with a small share of a processor.
// Guards against counting all requests again for each of them.
TEST_CASE("outstanding work: it is counted once in a while") {
  OutstandingWork Work;
  StagePlan Plan = twoStages();
  OutstandingRequest Request{&Plan, 0, Now + Seconds{2}, true};
  CHECK(Work.states(Now).empty());
  Work.add(Request);
  CHECK(Work.states(Now + Milliseconds{19}).empty());
  CHECK(Work.states(Now + OutstandingWork::RefreshPeriod).size() == 2);
  Work.remove(Request);
}
