#include "Coordination/SuspectRegistry.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

/// Runs before a crash: of an input that causes it, and of one that had been
/// running beside it.
constexpr Milliseconds Short{5};
constexpr Milliseconds Long{300};

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
  F.Registry_.onReset("reset", "a", Short);
  F.Registry_.onReset("reset", "b", Short);
  F.Registry_.onReset("crash", "c", Short);
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
  F.Registry_.onReset("x", "a", Short);
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
  F.Registry_.merge({"x", {"a", "b"}, false, Short});
  CHECK(F.Registry_.standing("x") == InputStanding::Refused);
  CHECK(F.Registry_.recent(10).empty());
  F.Registry_.onReset("y", "a", Short);
  REQUIRE(F.Registry_.recent(10).size() == 1);
  CHECK(F.Registry_.recent(10)[0].Digest_ == "y");
  F.Registry_.merge({"x", {}, true, Short});
  CHECK(F.Registry_.standing("x") == InputStanding::Clear);
}

// Guards against memory that grows with every reset connection.
TEST_CASE("the number of inputs is bounded") {
  Fixture F;
  for (int I = 0; I < 1000; ++I) {
    F.Registry_.onReset(std::to_string(I), "a", Short);
    F.Now_ += Milliseconds{1};
  }
  CHECK(F.Registry_.recent(1000).size() == 100);
  CHECK(F.Registry_.standing("999") == InputStanding::Suspect);
}

// Guards against requests that are refused, or kept to targets that have ended,
// because another input crashed both targets that they tried.
TEST_CASE("an input that ran for long beside the cause is innocent") {
  Fixture F;
  F.Registry_.onReset("innocent", "a", Long);
  CHECK(F.Registry_.standing("innocent") == InputStanding::Suspect);
  F.Registry_.merge({"cause", {"a"}, false, Short});
  CHECK(F.Registry_.standing("innocent") == InputStanding::Clear);
  // It goes on at another target, which the cause reaches too.
  F.Registry_.onReset("innocent", "b", Short);
  CHECK(F.Registry_.standing("innocent") == InputStanding::Refused);
  F.Registry_.merge({"cause", {"a", "b"}, false, Short});
  CHECK(F.Registry_.standing("innocent") == InputStanding::Clear);
  CHECK(F.Registry_.standing("cause") == InputStanding::Refused);
}

// Guards against a cause that is cleared by requests beside it: by one that was
// at only some of the targets, or that began there at about the same time.
TEST_CASE("an input is not innocent because of others at some of its targets") {
  Fixture F;
  F.Registry_.onReset("cause", "a", Long);
  F.Registry_.onReset("cause", "b", Long);
  F.Registry_.onReset("beside", "a", Short);
  CHECK(F.Registry_.standing("cause") == InputStanding::Refused);
  F.Registry_.onReset("equal", "a", Long);
  F.Registry_.onReset("equal", "b", Long);
  CHECK(F.Registry_.standing("cause") == InputStanding::Refused);
}

// Guards against requests that are kept to two targets, both of which another
// input has crashed, and then find none.
TEST_CASE("an input at one of the targets that a refused one crashed is "
          "innocent") {
  Fixture F;
  F.Registry_.onReset("beside", "a", Short);
  F.Registry_.merge({"cause", {"a"}, false, Short});
  CHECK(F.Registry_.standing("beside") == InputStanding::Suspect);
  F.Registry_.merge({"cause", {"a", "b"}, false, Short});
  CHECK(F.Registry_.standing("beside") == InputStanding::Clear);
  CHECK(F.Registry_.standing("cause") == InputStanding::Refused);
  // What crashes a target of its own is not explained by the other.
  F.Registry_.onReset("beside", "c", Short);
  CHECK(F.Registry_.standing("beside") == InputStanding::Refused);
}

// Guards against inputs that all lose a second target at the same moment, which
// tells nothing about the cause.
TEST_CASE("inputs that lost the same target run again in turn") {
  Fixture F;
  F.Registry_.onReset("1", "a", Short);
  F.Registry_.onReset("2", "a", Short);
  F.Registry_.merge({"3", {"a"}, false, Short});
  F.Registry_.onReset("4", "elsewhere", Short);
  Milliseconds First = F.Registry_.repeatDelay("1");
  CHECK(F.Registry_.repeatDelay("2") == First + Milliseconds{250});
  CHECK(F.Registry_.repeatDelay("3") == First + Milliseconds{500});
  CHECK(F.Registry_.repeatDelay("4") == First);
  // The second proves to be the cause while the first runs beside it; the
  // third need not wait any more.
  F.Registry_.onReset("1", "b", Milliseconds{260});
  F.Registry_.onReset("2", "b", Short);
  CHECK(F.Registry_.standing("1") == InputStanding::Clear);
  CHECK(F.Registry_.standing("2") == InputStanding::Refused);
  CHECK(F.Registry_.standing("3") == InputStanding::Clear);
  CHECK(F.Registry_.repeatDelay("3") == First);
}

// Guards against a crash that stays explained after the explanation expired.
TEST_CASE("the cause of a crash explains it as long as it is remembered") {
  Fixture F;
  F.Registry_.onReset("cause", "a", Short);
  F.Now_ += Seconds{20};
  F.Registry_.onReset("innocent", "a", Long);
  CHECK(F.Registry_.standing("innocent") == InputStanding::Clear);
  F.Now_ += Seconds{11};
  CHECK(F.Registry_.standing("innocent") == InputStanding::Suspect);
}
