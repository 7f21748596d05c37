#include "Coordination/Targets/WindowBudget.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

const SteadyTime Now{Seconds{1000}};

WindowBudgetSettings settings() {
  WindowBudgetSettings Result;
  Result.Ratio_ = 0.2;
  Result.FixedAllowance_ = 40;
  Result.Window_ = Seconds{10};
  Result.UsableShare_ = 1;
  return Result;
}

int takeAll(WindowBudget &Budget, SteadyTime Time) {
  int Taken = 0;
  while (Budget.tryTake("s", Time))
    ++Taken;
  return Taken;
}

} // namespace

// Guards against hosts that each use the whole of the shared allowance.
TEST_CASE("window budget: the fixed part is divided by the hosts") {
  WindowBudget Budget(settings());
  Budget.setHosts(4);
  CHECK(takeAll(Budget, Now) == 10);
}

// Guards against repeats that exceed the permitted ratio to the requests in any
// window.
TEST_CASE("window budget: repeats follow the requests of the window") {
  WindowBudget Budget(settings());
  Budget.setHosts(1000000);
  for (int I = 0; I < 100; ++I)
    Budget.onRequest("s", Now);
  CHECK(takeAll(Budget, Now) == 20);
  CHECK(takeAll(Budget, Now + Seconds{9}) == 0);
  // The requests have left the window together with the repeats.
  CHECK(takeAll(Budget, Now + Seconds{11}) == 0);
}

// Guards against taking only some of a call's repeats when not all are allowed.
TEST_CASE("window budget: several repeats are taken together or not at all") {
  WindowBudget Budget(settings());
  Budget.setHosts(4);
  CHECK_FALSE(Budget.tryTake("s", Now, 11));
  CHECK(Budget.tryTake("s", Now, 10));
  CHECK_FALSE(Budget.tryTake("s", Now));
  CHECK(Budget.tryTake("other", Now));
}
