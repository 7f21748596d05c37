#include "StageLoadReplay.h"

#include <catch2/catch.hpp>

using namespace amaranth::testing;

// Pattern: three stages, a wave and a burst below the capacity. Guards against
// admission or composition of calls that delays or refuses requests when there
// is room for all.
TEST_CASE("stage load: below the capacity all requests are in time") {
  StageLoad Load = measuredStageLoad();
  Load.RequestsPerSecond_ = 240;
  ReplayResult Result = StageLoadReplay(Load).run();
  INFO(Result.describe(Load));
  for (const ReplayCounts &Counts : Result.Day_)
    CHECK(Counts.inAim() >= 0.995);
}
