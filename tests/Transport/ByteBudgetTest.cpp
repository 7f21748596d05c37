#include "Transport/ByteBudget.h"

#include <catch2/catch.hpp>

using namespace amaranth::transport;

// Guards against messages that together exceed the limit, and against bytes
// that stay counted after their message has ended.
TEST_CASE("byte budget: reservations share one limit") {
  ByteBudget Budget(100);
  ByteReservation First(Budget);
  CHECK(First.resize(60));
  {
    ByteReservation Second(Budget);
    CHECK_FALSE(Second.resize(41));
    CHECK(Budget.used() == 60);
    CHECK(Second.resize(40));
    CHECK_FALSE(First.resize(61));
    // Shrinking is possible at the limit.
    CHECK(First.resize(10));
    CHECK(Budget.used() == 50);
  }
  CHECK(Budget.used() == 10);
}
