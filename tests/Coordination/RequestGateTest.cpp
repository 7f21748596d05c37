#include "Coordination/RequestGate.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace amaranth;
using namespace amaranth::coordination;

// Guards against refusing callers that still use a cached list of entry hosts.
TEST_CASE("a draining gate accepts and a closed one does not") {
  RequestGate Gate;
  CHECK_FALSE(Gate.tryEnter());
  Gate.advance(ServingPhase::Serving);
  CHECK(Gate.tryEnter());
  Gate.advance(ServingPhase::Draining);
  CHECK(Gate.tryEnter());
  Gate.advance(ServingPhase::Closed);
  CHECK_FALSE(Gate.tryEnter());
}

// Guards against a late state change that undoes a drain.
TEST_CASE("phases never go back") {
  RequestGate Gate;
  Gate.advance(ServingPhase::Draining);
  Gate.advance(ServingPhase::Serving);
  CHECK(Gate.phase() == ServingPhase::Draining);
}

// Guards against a shutdown that ends while a request is in flight.
TEST_CASE("waiting for idle ends only after the last permit is gone") {
  RequestGate Gate;
  Gate.advance(ServingPhase::Serving);
  auto Permit = std::make_optional(Gate.tryEnter());
  CHECK_FALSE(Gate.waitIdle(SteadyClock::now()));
  std::thread Releaser([&] { Permit.reset(); });
  CHECK(Gate.waitIdle(SteadyClock::now() + Seconds{20}));
  Releaser.join();
  CHECK(Gate.inFlight() == 0);
}
