#include "Coordination/Stages/CallStatistics.h"
#include "StageFixture.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

// Pattern: one target is stuck. Guards against an average by which every
// request of the service counts as late.
TEST_CASE("call statistics: a stuck call counts like two full ones") {
  CallStatistics Statistics;
  CHECK(Statistics.callTime() == Milliseconds(0));
  Statistics.add(testing::capacity(8), 4, false, Milliseconds(300));
  CHECK(Statistics.callTime() == Milliseconds(300));
  // A full call takes 320 ms: the average rises by 0.05 x (640 - 300).
  Statistics.add(testing::capacity(8), 4, false, Milliseconds(9000));
  CHECK(Statistics.callTime() == Milliseconds(317));
}
