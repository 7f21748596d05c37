#include "StageFixture.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::testing;
using coordination::StagePlan;
using PieceId = StagePlan::PieceId;

namespace {

const SteadyTime Now{Seconds{1000}};

/// Three stages, each of which reads the results of the one before.
StagePlan chain() {
  std::vector<state::StageStep> Steps = {
      {"first", {}, 100}, {"second", {0}, 100}, {"third", {1}, 100}};
  return StagePlan(Steps, {1, 2, 1}, stageTable());
}

/// Completes all pieces that are ready; returns their number.
std::size_t completeReadyPieces(StagePlan &Plan) {
  std::vector<PieceId> Ready = Plan.takeReadyPieces();
  for (PieceId Id : Ready)
    Plan.onCompleted(
        Id, "h" + std::to_string(Id.Stage_) + std::to_string(Id.Piece_), Now);
  return Ready.size();
}

} // namespace

// Guards against computing the first stages again after their results were read
// and released: every request with three stages then took twice the capacity.
TEST_CASE("a stage whose results were used is not computed again") {
  StagePlan Plan = chain();
  CHECK(completeReadyPieces(Plan) == 1);
  CHECK(completeReadyPieces(Plan) == 2);
  CHECK(completeReadyPieces(Plan) == 1);
  CHECK(Plan.isComplete());
  CHECK(Plan.takeReadyPieces().empty());
  CHECK(Plan.finalHandles() == std::vector<std::string>{"h20"});
}

// Guards against results that occupy storage after their last use, and against
// releasing them while a piece still has to read them.
TEST_CASE(
    "results are released when the last piece that reads them is completed") {
  StagePlan Plan = chain();
  completeReadyPieces(Plan);
  Plan.takeReadyPieces();
  CHECK(Plan.onCompleted({1, 0}, "a", Now).empty());
  std::vector<StagePlan::ReleasedResult> Freed =
      Plan.onCompleted({1, 1}, "b", Now);
  REQUIRE(Freed.size() == 1);
  CHECK(Freed[0].Handle_ == "h00");
  CHECK(Plan.releaseAllResults().size() == 2);
  CHECK(Plan.releaseAllResults().empty());
}

// Guards against submitting a piece again with inputs that no longer exist.
TEST_CASE("a piece whose inputs no longer exist waits for new ones") {
  StagePlan Plan = chain();
  completeReadyPieces(Plan);
  Plan.takeReadyPieces();
  Plan.onCompleted({1, 0}, "a", Now);
  Plan.onFailed({1, 1}, true);
  std::vector<PieceId> Resubmitted = Plan.takeReadyPieces();
  REQUIRE(Resubmitted.size() == 1);
  CHECK(Resubmitted[0].Stage_ == 0);
  CHECK(Plan.wasSubmittedBefore(Resubmitted[0]));
  Plan.onCompleted(Resubmitted[0], "new", Now);
  Resubmitted = Plan.takeReadyPieces();
  REQUIRE(Resubmitted.size() == 1);
  CHECK(Resubmitted[0].Stage_ == 1);
  CHECK(Resubmitted[0].Piece_ == 1);
  CHECK(Plan.inputHandles(1) == std::vector<std::string>{"new"});
}

// Guards against following the order of the list instead of the dependencies.
TEST_CASE("stages may be listed in any order") {
  std::vector<state::StageStep> Steps = {
      {"third", {1}, 100}, {"second", {2}, 100}, {"first", {}, 100}};
  StagePlan Plan(Steps, {1, 1, 1}, stageTable());
  CHECK(Plan.isFinalStage(0));
  CHECK_FALSE(Plan.isFinalStage(2));
  CHECK(Plan.timeAfterStage(2) == 2 * Plan.timeAfterStage(1));
  std::vector<PieceId> Ready = Plan.takeReadyPieces();
  REQUIRE(Ready.size() == 1);
  CHECK(Ready[0].Stage_ == 2);
}

// Guards against a crash on a route with an unknown stage index or with stages
// that have no pieces.
TEST_CASE("unknown and empty stages are skipped") {
  std::vector<state::StageStep> Steps = {{"first", {7}, 100},
                                         {"second", {0}, 100}};
  StagePlan Plan(Steps, {0}, stageTable());
  CHECK(Plan.isComplete());
  CHECK(Plan.takeReadyPieces().empty());
  CHECK_FALSE(Plan.contains({1, 0}));
  CHECK_FALSE(Plan.contains({9, 0}));
}

// Guards against large results that occupy storage while a chain of other
// stages runs: targets of the first stage became full.
TEST_CASE("a final stage beside a long chain starts late") {
  std::vector<state::StageStep> Steps = {{"first", {}, 8000},
                                         {"first", {}, 100},
                                         {"second", {1}, 100},
                                         {"third", {2}, 100}};
  StagePlan Plan(Steps, {2, 1, 1, 1}, stageTable());
  std::vector<PieceId> Ready = Plan.takeReadyPieces();
  REQUIRE(Ready.size() == 1);
  CHECK(Ready[0].Stage_ == 1);
  Plan.onCompleted({1, 0}, "x", Now);
  // The remaining two stages take no more than twice the time of stage 0.
  Ready = Plan.takeReadyPieces();
  CHECK(Ready.size() == 3);
}

// Guards against a result that arrives twice, or for a piece that is not
// submitted.
TEST_CASE("a reply for a piece that is not submitted is ignored") {
  StagePlan Plan = chain();
  CHECK(Plan.onCompleted({0, 0}, "early", Now).empty());
  CHECK_FALSE(Plan.isStageComplete(0));
  completeReadyPieces(Plan);
  CHECK(Plan.onFailed({0, 0}, false).empty());
  CHECK(Plan.isStageComplete(0));
}

// Pattern: a burst that fills the result storage of targets. Guards against
// results that occupy storage while the piece that has read them runs.
TEST_CASE(
    "results are released when all pieces that need them have read them") {
  StagePlan Plan = chain();
  completeReadyPieces(Plan);
  Plan.takeReadyPieces();
  CHECK(Plan.onInputsRead({1, 0}).empty());
  std::vector<StagePlan::ReleasedResult> Freed = Plan.onInputsRead({1, 1});
  REQUIRE(Freed.size() == 1);
  CHECK(Freed[0].Handle_ == "h00");
  CHECK(Plan.onInputsRead({1, 1}).empty());
  CHECK(Plan.takeReadyPieces().empty());
  CHECK(Plan.onCompleted({1, 0}, "a", Now).empty());
  CHECK(Plan.onCompleted({1, 1}, "b", Now).empty());
  REQUIRE(Plan.takeReadyPieces().size() == 1);
  CHECK(Plan.inputHandles(2) == std::vector<std::string>{"a", "b"});
  CHECK(Plan.onCompleted({2, 0}, "c", Now).size() == 2);
  CHECK(Plan.isComplete());
}

// Guards against submitting a piece again with missing inputs because they were
// released after it had read them.
TEST_CASE("a piece that fails after reading its inputs waits for new ones") {
  StagePlan Plan = chain();
  completeReadyPieces(Plan);
  Plan.takeReadyPieces();
  Plan.onInputsRead({1, 0});
  Plan.onInputsRead({1, 1});
  Plan.onCompleted({1, 0}, "a", Now);
  CHECK(Plan.onFailed({1, 1}, false).empty());
  CHECK_FALSE(Plan.isComplete());
  std::vector<PieceId> Resubmitted = Plan.takeReadyPieces();
  REQUIRE(Resubmitted.size() == 1);
  CHECK(Resubmitted[0].Stage_ == 0);
  Plan.onCompleted(Resubmitted[0], "new", Now);
  Resubmitted = Plan.takeReadyPieces();
  REQUIRE(Resubmitted.size() == 1);
  CHECK(Resubmitted[0].Stage_ == 1);
  CHECK(Resubmitted[0].Piece_ == 1);
  CHECK(Plan.inputHandles(1) == std::vector<std::string>{"new"});
}

// Guards against submitting a final stage again with inputs that were released.
TEST_CASE("a missing final result is computed again from the first stage on") {
  StagePlan Plan = chain();
  while (!Plan.isComplete()) {
    for (PieceId Id : Plan.takeReadyPieces()) {
      Plan.onInputsRead(Id);
      Plan.onCompleted(Id, "h", Now);
    }
  }
  Plan.discardFinalResults();
  std::vector<PieceId> Resubmitted = Plan.takeReadyPieces();
  REQUIRE(Resubmitted.size() == 1);
  CHECK(Resubmitted[0].Stage_ == 0);
}

// Pattern: a queue longer than results are kept. Guards against calls whose
// inputs have expired: they take as long as others and complete nothing.
TEST_CASE("a stage knows when the results that it reads expire") {
  StagePlan Plan = chain();
  CHECK_FALSE(Plan.inputsExpireAt(0));
  CHECK_FALSE(Plan.inputsExpireAt(1));
  REQUIRE(completeReadyPieces(Plan) == 1);
  CHECK(Plan.inputsExpireAt(1) == Now + Seconds{4});
  std::vector<PieceId> Second = Plan.takeReadyPieces();
  REQUIRE(Second.size() == 2);
  Plan.onCompleted(Second[0], "a", Now + Seconds{1});
  Plan.onCompleted(Second[1], "b", Now + Seconds{2});
  CHECK(Plan.inputsExpireAt(2) == Now + Seconds{5});
}
