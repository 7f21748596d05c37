#include "Coordination/Stages/CallStatistics.h"
#include "StageFixture.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

// Pattern: calls that are not full because nothing waits. Guards against a rate
// of the service that falls when it has little to do.
TEST_CASE("call statistics: only calls with a full one behind them count") {
  CallStatistics Statistics;
  Statistics.add(testing::capacity(8), 4, false, Milliseconds(320));
  CHECK(Statistics.yield() == 1);
  // A full call takes 320 ms: the yield of this one is 0.5.
  Statistics.add(testing::capacity(8), 4, true, Milliseconds(320));
  CHECK(Statistics.yield() == Approx(0.975));
}
