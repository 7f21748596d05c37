#include "StageFixture.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::testing;
using coordination::StagePlan;
using PieceId = StagePlan::PieceId;

namespace {

/// Three stages, each reading the one before.
StagePlan chain() {
  std::vector<state::StageStep> Steps = {
      {"first", {}, 100}, {"second", {0}, 100}, {"third", {1}, 100}};
  return StagePlan(Steps, {1, 2, 1}, stageTable());
}

/// Makes all pieces that the plan wants now; returns how many there were.
std::size_t makeReady(StagePlan &Plan) {
  std::vector<PieceId> Ready = Plan.takeReady();
  for (PieceId Id : Ready)
    Plan.onMade(Id,
                "h" + std::to_string(Id.Stage_) + std::to_string(Id.Piece_));
  return Ready.size();
}

} // namespace

// Guards against making the first stages again after their results were read
// and freed: every request with three stages then took twice the capacity.
TEST_CASE("a stage whose results were used is not made again") {
  StagePlan Plan = chain();
  CHECK(makeReady(Plan) == 1);
  CHECK(makeReady(Plan) == 2);
  CHECK(makeReady(Plan) == 1);
  CHECK(Plan.allMade());
  CHECK(Plan.takeReady().empty());
  CHECK(Plan.lastHandles() == std::vector<std::string>{"h20"});
}

// Guards against results that keep room at their target after their last use,
// and against freeing them while a piece still has to read them.
TEST_CASE("results are freed when the last piece that reads them is made") {
  StagePlan Plan = chain();
  makeReady(Plan);
  Plan.takeReady();
  CHECK(Plan.onMade({1, 0}, "a").empty());
  std::vector<StagePlan::Freed> Freed = Plan.onMade({1, 1}, "b");
  REQUIRE(Freed.size() == 1);
  CHECK(Freed[0].Handle_ == "h00");
  CHECK(Plan.freeAll().size() == 2);
  CHECK(Plan.freeAll().empty());
}

// Guards against a piece that is made again from inputs that no longer exist.
TEST_CASE("a piece whose inputs are gone waits for new ones") {
  StagePlan Plan = chain();
  makeReady(Plan);
  Plan.takeReady();
  Plan.onMade({1, 0}, "a");
  Plan.onFailed({1, 1}, true);
  std::vector<PieceId> Again = Plan.takeReady();
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].Stage_ == 0);
  CHECK(Plan.orderedBefore(Again[0]));
  Plan.onMade(Again[0], "new");
  Again = Plan.takeReady();
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].Stage_ == 1);
  CHECK(Again[0].Piece_ == 1);
  CHECK(Plan.inputsOf(1) == std::vector<std::string>{"new"});
}

// Guards against following the numbers of stages instead of what they read.
TEST_CASE("stages may be listed in any order") {
  std::vector<state::StageStep> Steps = {
      {"third", {1}, 100}, {"second", {2}, 100}, {"first", {}, 100}};
  StagePlan Plan(Steps, {1, 1, 1}, stageTable());
  CHECK(Plan.isLast(0));
  CHECK_FALSE(Plan.isLast(2));
  CHECK(Plan.timeAfter(2) == 2 * Plan.timeAfter(1));
  std::vector<PieceId> Ready = Plan.takeReady();
  REQUIRE(Ready.size() == 1);
  CHECK(Ready[0].Stage_ == 2);
}

// Guards against a crash on a route that names a stage it does not have, and
// on stages that are left out.
TEST_CASE("unknown and empty stages are passed over") {
  std::vector<state::StageStep> Steps = {{"first", {7}, 100},
                                         {"second", {0}, 100}};
  StagePlan Plan(Steps, {0}, stageTable());
  CHECK(Plan.allMade());
  CHECK(Plan.takeReady().empty());
  CHECK_FALSE(Plan.contains({1, 0}));
  CHECK_FALSE(Plan.contains({9, 0}));
}

// Guards against large results that wait at their target for a chain of other
// stages to end: targets of the first stage ran out of room.
TEST_CASE("a last stage beside a long chain begins late") {
  std::vector<state::StageStep> Steps = {{"first", {}, 8000},
                                         {"first", {}, 100},
                                         {"second", {1}, 100},
                                         {"third", {2}, 100}};
  StagePlan Plan(Steps, {2, 1, 1, 1}, stageTable());
  std::vector<PieceId> Ready = Plan.takeReady();
  REQUIRE(Ready.size() == 1);
  CHECK(Ready[0].Stage_ == 1);
  Plan.onMade({1, 0}, "x");
  // Two more stages follow: time for the other's two own times.
  Ready = Plan.takeReady();
  CHECK(Ready.size() == 3);
}

// Guards against a result that arrives twice, or after its piece was given up.
TEST_CASE("an answer for a piece that was not ordered is ignored") {
  StagePlan Plan = chain();
  CHECK(Plan.onMade({0, 0}, "early").empty());
  CHECK_FALSE(Plan.stageMade(0));
  makeReady(Plan);
  CHECK(Plan.onFailed({0, 0}, false).empty());
  CHECK(Plan.stageMade(0));
}

// Pattern: a burst that fills the targets' room for results. Guards against
// results that keep room while the piece that has read them is made.
TEST_CASE("results are freed when all that need them have read them") {
  StagePlan Plan = chain();
  makeReady(Plan);
  Plan.takeReady();
  CHECK(Plan.onInputsRead({1, 0}).empty());
  std::vector<StagePlan::Freed> Freed = Plan.onInputsRead({1, 1});
  REQUIRE(Freed.size() == 1);
  CHECK(Freed[0].Handle_ == "h00");
  CHECK(Plan.onInputsRead({1, 1}).empty());
  CHECK(Plan.takeReady().empty());
  CHECK(Plan.onMade({1, 0}, "a").empty());
  CHECK(Plan.onMade({1, 1}, "b").empty());
  REQUIRE(Plan.takeReady().size() == 1);
  CHECK(Plan.inputsOf(2) == std::vector<std::string>{"a", "b"});
  CHECK(Plan.onMade({2, 0}, "c").size() == 2);
  CHECK(Plan.allMade());
}

// Guards against a piece that is made again from only a part of its inputs, or
// from none, because they were freed after it had read them.
TEST_CASE("a piece that fails after reading its inputs waits for new ones") {
  StagePlan Plan = chain();
  makeReady(Plan);
  Plan.takeReady();
  Plan.onInputsRead({1, 0});
  Plan.onInputsRead({1, 1});
  Plan.onMade({1, 0}, "a");
  CHECK(Plan.onFailed({1, 1}, false).empty());
  CHECK_FALSE(Plan.allMade());
  std::vector<PieceId> Again = Plan.takeReady();
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].Stage_ == 0);
  Plan.onMade(Again[0], "new");
  Again = Plan.takeReady();
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].Stage_ == 1);
  CHECK(Again[0].Piece_ == 1);
  CHECK(Plan.inputsOf(1) == std::vector<std::string>{"new"});
}

// Guards against a last stage that is made again from inputs that were freed.
TEST_CASE("a last result that is gone is made again from the first stage on") {
  StagePlan Plan = chain();
  while (!Plan.allMade()) {
    for (PieceId Id : Plan.takeReady()) {
      Plan.onInputsRead(Id);
      Plan.onMade(Id, "h");
    }
  }
  Plan.forgetLast();
  std::vector<PieceId> Again = Plan.takeReady();
  REQUIRE(Again.size() == 1);
  CHECK(Again[0].Stage_ == 0);
}
