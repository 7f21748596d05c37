#include "Coordination/Engines/EngineMemory.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

const SteadyTime Now{Seconds{1000}};
constexpr std::uint64_t Capacity = 32000;

} // namespace

// Load: long prompts (8,000 tokens) whose answers grow to 2,000 tokens.
// Guards against engines that crash because the requests that they hold outgrow
// their memory after they were accepted.
TEST_CASE("engine memory: requests count with the output they may generate") {
  EngineMemory Memory;
  TokenDemand Demand{8000, 2000};
  for (int I = 0; I < 3; ++I) {
    CHECK(Memory.fits("e", Demand, Capacity, Now));
    Memory.begin("e", Demand, Capacity);
  }
  CHECK_FALSE(Memory.fits("e", Demand, Capacity, Now));
  CHECK(Memory.fits("other", Demand, Capacity, Now));
  CHECK(Memory.fits("e", Demand, 0, Now));
  Memory.end("e", Demand);
  CHECK(Memory.fits("e", Demand, Capacity, Now));
}

// Guards against a request that crashes every engine, and against refusing one
// whose stated output alone does not fit.
TEST_CASE("engine memory: only a prompt above the memory fits nowhere") {
  EngineMemory Memory;
  CHECK_FALSE(Memory.fits("e", {Capacity + 1, 0}, Capacity, Now));
  CHECK(Memory.fits("e", {20000, 20000}, Capacity, Now));
  Memory.begin("e", {1, 0}, Capacity);
  CHECK_FALSE(Memory.fits("e", {20000, 20000}, Capacity, Now));
  CHECK_FALSE(Memory.fits("e", {1, TokenDemand::MaxCount}, Capacity, Now));
}

// Load: many hosts send to one engine. Guards against hosts that together
// exceed its memory, against reports of every small amount, and against reports
// that outlive their host.
TEST_CASE("engine memory: what peers report counts until it expires") {
  EngineMemory Sender;
  TokenDemand Sixteenth{2000, 0};
  Sender.begin("e", Sixteenth, Capacity);
  CHECK(Sender.report().empty());
  Sender.begin("e", {28000, 0}, Capacity);
  REQUIRE(Sender.report().size() == 1);
  EngineMemory Memory;
  Memory.onPeerReport("h", Sender.report(), Now);
  CHECK(Memory.peerRequests("e", Now) == 2);
  CHECK_FALSE(Memory.fits("e", {3000, 0}, Capacity, Now));
  CHECK(Memory.fits("e", {3000, 0}, Capacity, Now + Seconds{2}));
  Memory.onPeerReport("h", {}, Now);
  CHECK(Memory.fits("e", {3000, 0}, Capacity, Now));
}
