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

// Pattern: arrivals of 1.3 times the capacity for 5 s. Guards against work for
// requests that are late in any case, at the cost of those that could be in
// time. With a delay margin of 20, most of the capacity waits idly.
TEST_CASE("stage load: a short overload leaves most requests in time") {
  StageLoad Load = stepStageLoad();
  double Worth = 0;
  double MaxWorth = 0;
  for (unsigned Seed : {1U, 2U, 3U}) {
    Load.Seed_ = Seed;
    ReplayResult Result = StageLoadReplay(Load).run();
    Worth += Result.Worth_;
    MaxWorth += Result.MaxWorth_;
  }
  CHECK(Worth / MaxWorth >= 0.955);
}
