#include "Coordination/Stages/ResultLedger.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using coordination::ResultLedger;

namespace {
const SteadyTime Now{Seconds{1000}};
}

// Guards against calls to a target whose room is taken by results that exist
// or are being made, and against room that stays taken after results expired.
TEST_CASE("result ledger: room is what calls and results leave") {
  ResultLedger Ledger;
  Ledger.reserve("t", 300);
  Ledger.add("t", "h", 200, Now + Seconds{4});
  CHECK(Ledger.left("t", 1000, Now) == 500);
  Ledger.unreserve("t", 300);
  CHECK(Ledger.left("t", 1000, Now) == 800);
  CHECK(Ledger.contains("t", "h"));
  CHECK(Ledger.left("t", 1000, Now + Seconds{4}) == 1000);
  CHECK(Ledger.left("t", 100, Now) == 100);
}

// Guards against sending calls to a target that holds results of another
// dispatcher, which this one does not know.
TEST_CASE("result ledger: a target without room is full for a while") {
  ResultLedger Ledger;
  Ledger.onNoRoom("t", Now + Milliseconds{100});
  CHECK(Ledger.left("t", 1000, Now) == 0);
  CHECK(Ledger.left("t", 1000, Now + Milliseconds{100}) == 1000);
}

// Guards against a count that wraps around below zero.
TEST_CASE("result ledger: more results than room leave nothing") {
  ResultLedger Ledger;
  Ledger.add("t", "h", 2000, Now + Seconds{4});
  CHECK(Ledger.left("t", 1000, Now) == 0);
  Ledger.unreserve("t", 50);
  Ledger.remove("t", "h");
  CHECK(Ledger.left("t", 1000, Now) == 1000);
}
