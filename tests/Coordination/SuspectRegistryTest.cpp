#include "Coordination/SuspectRegistry.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

struct Fixture {
  SuspectRegistrySettings settings() {
    SuspectRegistrySettings Settings;
    Settings.Now_ = [this] { return Now_; };
    Settings.MaxInputs_ = 100;
    return Settings;
  }

  SteadyTime Now_{Seconds{1000}};
  SuspectRegistry Registry_{settings()};
};

} // namespace

// Guards against an input that stays refused because of resets by targets that
// did not crash, and against forgetting a crash as early as a mere reset.
TEST_CASE("a reset counts for a bounded time and a crash for longer") {
  Fixture F;
  F.Registry_.onReset("reset", "a");
  F.Registry_.onReset("reset", "b");
  F.Registry_.onReset("crash", "c");
  F.Registry_.onConnectionRefused("c");
  CHECK(F.Registry_.standing("reset") == InputStanding::Refused);
  CHECK(F.Registry_.standing("crash") == InputStanding::Suspect);
  F.Now_ += Seconds{31};
  CHECK(F.Registry_.standing("reset") == InputStanding::Clear);
  CHECK(F.Registry_.standing("crash") == InputStanding::Suspect);
  F.Now_ += Seconds{600};
  CHECK(F.Registry_.standing("crash") == InputStanding::Clear);
}

// Guards against suspicion that outlives a successful run elsewhere, and
// against a run on the crashed target itself counting as one.
TEST_CASE("completion on another target clears an input") {
  Fixture F;
  F.Registry_.onReset("x", "a");
  F.Registry_.onConnectionRefused("a");
  F.Registry_.onCompleted("x", "a");
  CHECK(F.Registry_.standing("x") == InputStanding::Suspect);
  F.Registry_.onCompleted("x", "b");
  CHECK(F.Registry_.standing("x") == InputStanding::Clear);
}

// Guards against news of peers being lost, or kept alive for ever by hosts that
// tell each other.
TEST_CASE("news of peers counts and is not passed on") {
  Fixture F;
  F.Registry_.merge({"x", {"a", "b"}, false});
  CHECK(F.Registry_.standing("x") == InputStanding::Refused);
  CHECK(F.Registry_.recent(10).empty());
  F.Registry_.onReset("y", "a");
  REQUIRE(F.Registry_.recent(10).size() == 1);
  CHECK(F.Registry_.recent(10)[0].Digest_ == "y");
  F.Registry_.merge({"x", {}, true});
  CHECK(F.Registry_.standing("x") == InputStanding::Clear);
}

// Guards against memory that grows with every reset connection.
TEST_CASE("the number of inputs is bounded") {
  Fixture F;
  for (int I = 0; I < 1000; ++I) {
    F.Registry_.onReset(std::to_string(I), "a");
    F.Now_ += Milliseconds{1};
  }
  CHECK(F.Registry_.recent(1000).size() == 100);
  CHECK(F.Registry_.standing("999") == InputStanding::Suspect);
}
