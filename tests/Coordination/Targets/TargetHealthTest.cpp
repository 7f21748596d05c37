#include "Coordination/Targets/TargetHealth.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

const SteadyTime Now{Seconds{1000}};
constexpr Milliseconds Usual{60};

void run(TargetHealth &Health, const std::string &Id, TargetResult Result,
         Milliseconds Took, SteadyTime At, int Times = 1) {
  for (int I = 0; I < Times; ++I) {
    Health.begin(Id);
    Health.end(Id, Result, Took, At);
  }
}

} // namespace

// Pattern: some targets are slow for a while. Guards against sending them as
// much as the others, and against never trying them again.
TEST_CASE("target health: a slow target costs more until that fades") {
  TargetHealth Health;
  run(Health, "fast", TargetResult::Good, Usual, Now, 10);
  run(Health, "slow", TargetResult::Good, 5 * Usual, Now, 10);
  CHECK(Health.cost("slow", Now) > 3 * Health.cost("fast", Now));
  SteadyTime Later = Now + Seconds{30};
  CHECK(Health.cost("slow", Later) < 1.2 * Health.cost("fast", Later));
}

// Pattern: targets fail a part of their requests while they report good
// health. Guards against taking their fast failures for capacity.
TEST_CASE("target health: failures cost more than waiting") {
  TargetHealth Health;
  run(Health, "sound", TargetResult::Good, Usual, Now, 10);
  for (int I = 0; I < 5; ++I) {
    run(Health, "grey", TargetResult::Error, Milliseconds{1}, Now);
    run(Health, "grey", TargetResult::Good, Usual, Now);
  }
  Health.begin("sound");
  CHECK(Health.cost("grey", Now) > Health.cost("sound", Now));
}

// Pattern: a target goes dark. Guards against one more request lost at it each
// time a connection fails, and against a rush when it is tried again.
TEST_CASE("target health: an unreachable target is avoided and tried singly") {
  TargetHealth Health;
  run(Health, "dark", TargetResult::Unreachable, Usual, Now, 2);
  CHECK_FALSE(Health.usable("dark", Now + Milliseconds{100}));
  SteadyTime Retry = Now + Seconds{4};
  CHECK(Health.usable("dark", Retry));
  Health.begin("dark");
  CHECK_FALSE(Health.usable("dark", Retry));
  Health.end("dark", TargetResult::Good, Usual, Retry);
  CHECK(Health.usable("dark", Retry));
}

// Pattern: a target fails all calls within a millisecond while its health check
// is good. Guards against calls that are composed for it again and again,
// because it is always free, until the pieces in them are given up.
TEST_CASE("target health: a target that fails calls is avoided at once") {
  TargetHealth Health;
  SteadyTime Time = Now;
  int Calls = 0;
  for (; Time < Now + Seconds{7}; Time += Milliseconds{1}) {
    if (!Health.usable("failing", Time))
      continue;
    run(Health, "failing", TargetResult::Failing, Milliseconds{1}, Time);
    ++Calls;
  }
  CHECK(Calls <= 6);
  Time += Seconds{3};
  REQUIRE(Health.usable("failing", Time));
  run(Health, "failing", TargetResult::Good, Usual, Time);
  CHECK(Health.usable("failing", Time));
}

// Guards against one lost answer taking a target out of use.
TEST_CASE("target health: one broken answer does not take a target out") {
  TargetHealth Health;
  run(Health, "t", TargetResult::Broken, Usual, Now);
  CHECK(Health.usable("t", Now));
  run(Health, "t", TargetResult::Broken, Usual, Now);
  CHECK_FALSE(Health.usable("t", Now));
}

// Guards against counting attempts of callers that left as load for ever.
TEST_CASE("target health: cancelled attempts are not in flight") {
  TargetHealth Health;
  Health.begin("t");
  CHECK(Health.inFlight("t") == 1);
  Health.cancelled("t");
  Health.cancelled("t");
  CHECK(Health.inFlight("t") == 0);
}
