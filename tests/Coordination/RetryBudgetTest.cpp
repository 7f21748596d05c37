#include "Coordination/RetryBudget.h"

#include <catch2/catch.hpp>

using namespace amaranth::coordination;

// Guards against retries that grow without successes during an overload.
TEST_CASE("extra attempts are limited to the burst and the earned share") {
  RetryBudget Budget({.Ratio_ = 0.5, .Burst_ = 2});
  CHECK(Budget.tryTake());
  CHECK(Budget.tryTake());
  CHECK_FALSE(Budget.tryTake());
  Budget.onSuccess();
  CHECK_FALSE(Budget.tryTake());
  Budget.onSuccess();
  CHECK(Budget.tryTake());
  CHECK_FALSE(Budget.tryTake());
}
