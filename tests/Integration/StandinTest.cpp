#include "Integration/StandinProcess.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::integration;

// Guards against a stand-in that outlives the test process or loses requests
// to end.
TEST_CASE("a stand-in ends cleanly on SIGTERM") {
  StandinProcess Engine("engine", {}, 2);
  CHECK(Engine.address(0) != Engine.address(1));
  Engine.process().terminate();
  auto Exit = Engine.process().waitExit(Seconds{20});
  REQUIRE(Exit);
  CHECK(Exit->Code_ == 0);
  CHECK(Exit->Signal_ == 0);
}
