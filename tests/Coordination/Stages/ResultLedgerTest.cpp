#include "Coordination/Stages/ResultLedger.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using coordination::ResultLedger;

namespace {
const SteadyTime Now{Seconds{1000}};
}

// Guards against calls to a target whose storage is occupied by existing or
// expected results, and against counting results that have expired.
TEST_CASE("result ledger: reservations and results reduce the free bytes") {
  ResultLedger Ledger;
  Ledger.reserve("t", 300);
  Ledger.add("t", "h", "piece", 200, Now + Seconds{4});
  CHECK(Ledger.freeBytes("t", 1000, Now) == 500);
  Ledger.unreserve("t", 300);
  CHECK(Ledger.freeBytes("t", 1000, Now) == 800);
  CHECK(Ledger.wasReportedForOther("t", "h", "next"));
  CHECK(Ledger.freeBytes("t", 1000, Now + Seconds{4}) == 1000);
  CHECK(Ledger.freeBytes("t", 100, Now) == 100);
}

// Guards against sending calls to a target that is full of results of another
// dispatcher, which this ledger does not know.
TEST_CASE(
    "result ledger: a target reported full stays full until the given time") {
  ResultLedger Ledger;
  Ledger.onTargetFull("t", Now + Milliseconds{100});
  CHECK(Ledger.freeBytes("t", 1000, Now) == 0);
  CHECK(Ledger.freeBytes("t", 1000, Now + Milliseconds{100}) == 1000);
}

// Guards against an unsigned underflow when results exceed the capacity.
TEST_CASE("result ledger: results beyond the capacity leave zero free bytes") {
  ResultLedger Ledger;
  Ledger.add("t", "h", "piece", 2000, Now + Seconds{4});
  CHECK(Ledger.freeBytes("t", 1000, Now) == 0);
  Ledger.unreserve("t", 50);
  Ledger.remove("t", "h");
  CHECK(Ledger.freeBytes("t", 1000, Now) == 1000);
}

// Pattern: a target sends a second copy of an answer, late, on a connection
// that is in use again. Guards against results of freed pieces that are taken
// for those of the next call.
TEST_CASE("result ledger: a result that was removed is still recognised") {
  ResultLedger Ledger;
  Ledger.add("t", "h", "piece", 200, Now + Seconds{4});
  Ledger.remove("t", "h");
  CHECK(Ledger.freeBytes("t", 1000, Now) == 1000);
  CHECK(Ledger.wasReportedForOther("t", "h", "next"));
  CHECK_FALSE(Ledger.wasReportedForOther("t", "other", "next"));
  CHECK_FALSE(Ledger.wasReportedForOther("other", "h", "next"));
  // The same piece, computed again, may have the same handle.
  CHECK_FALSE(Ledger.wasReportedForOther("t", "h", "piece"));
  CHECK(Ledger.freeBytes("t", 1000, Now + Seconds{4}) == 1000);
  CHECK_FALSE(Ledger.wasReportedForOther("t", "h", "next"));
}
