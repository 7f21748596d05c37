#include "Coordination/Targets/TargetHealth.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

const SteadyTime Now{Seconds{1000}};
constexpr Milliseconds UsualDuration{60};

void run(TargetHealth &Health, const std::string &Id, TargetResult Result,
         Milliseconds Duration, SteadyTime Time, int Times = 1) {
  for (int I = 0; I < Times; ++I) {
    Health.begin(Id);
    Health.end(Id, Result, Duration, Time);
  }
}

} // namespace

// Some targets are slow for a while. Guards against sending them as much work
// as the others, and against never trying them again.
TEST_CASE("target health: a slow target costs more until its results decay") {
  TargetHealth Health;
  run(Health, "fast", TargetResult::Success, UsualDuration, Now, 10);
  run(Health, "slow", TargetResult::Success, 5 * UsualDuration, Now, 10);
  CHECK(Health.cost("slow", Now) > 3 * Health.cost("fast", Now));
  SteadyTime Later = Now + Seconds{30};
  CHECK(Health.cost("slow", Later) < 1.2 * Health.cost("fast", Later));
}

// Targets fail a part of their requests while their health checks pass. Guards
// against taking their fast failures for spare capacity.
TEST_CASE("target health: failures cost more than an attempt in flight") {
  TargetHealth Health;
  run(Health, "healthy", TargetResult::Success, UsualDuration, Now, 10);
  for (int I = 0; I < 5; ++I) {
    run(Health, "flaky", TargetResult::ErrorReply, Milliseconds{1}, Now);
    run(Health, "flaky", TargetResult::Success, UsualDuration, Now);
  }
  Health.begin("healthy");
  CHECK(Health.cost("flaky", Now) > Health.cost("healthy", Now));
}

// A target becomes unreachable. Guards against losing one more request at it
// each time a connection fails, and against many requests at once when it is
// retried.
TEST_CASE(
    "target health: an unreachable target is retried by single requests") {
  TargetHealth Health;
  run(Health, "unreachable", TargetResult::Unreachable, UsualDuration, Now, 2);
  CHECK_FALSE(Health.isUsable("unreachable", Now + Milliseconds{100}));
  SteadyTime Retry = Now + Seconds{4};
  CHECK(Health.isUsable("unreachable", Retry));
  Health.begin("unreachable");
  CHECK_FALSE(Health.isUsable("unreachable", Retry));
  Health.end("unreachable", TargetResult::Success, UsualDuration, Retry);
  CHECK(Health.isUsable("unreachable", Retry));
}

// A target fails all calls within a millisecond while its health check passes.
// Guards against composing calls for it again and again, because it is always
// free, until the pieces (units of a stage's work) in them are given up.
TEST_CASE("target health: a target that fails calls is avoided at once") {
  TargetHealth Health;
  SteadyTime Time = Now;
  int Calls = 0;
  for (; Time < Now + Seconds{7}; Time += Milliseconds{1}) {
    if (!Health.isUsable("failing", Time))
      continue;
    run(Health, "failing", TargetResult::TargetFault, Milliseconds{1}, Time);
    ++Calls;
  }
  CHECK(Calls <= 6);
  Time += Seconds{3};
  REQUIRE(Health.isUsable("failing", Time));
  run(Health, "failing", TargetResult::Success, UsualDuration, Time);
  CHECK(Health.isUsable("failing", Time));
}

// Guards against avoiding a target because of a single lost reply.
TEST_CASE("target health: a target is not avoided after one broken reply") {
  TargetHealth Health;
  run(Health, "t", TargetResult::Broken, UsualDuration, Now);
  CHECK(Health.isUsable("t", Now));
  run(Health, "t", TargetResult::Broken, UsualDuration, Now);
  CHECK_FALSE(Health.isUsable("t", Now));
}

// Guards against counting attempts of disconnected callers as load for ever.
TEST_CASE("target health: cancelled attempts are not in flight") {
  TargetHealth Health;
  Health.begin("t");
  CHECK(Health.inFlight("t") == 1);
  Health.cancel("t");
  Health.cancel("t");
  CHECK(Health.inFlight("t") == 0);
}
