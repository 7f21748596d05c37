#include "Coordination/SuspectRegistry.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

/// Run times before a crash: of the input that causes it, and of one that had
/// been running on the same target for long.
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
  F.Registry_.onConnectionReset("reset", "a", Short);
  F.Registry_.onConnectionReset("reset", "b", Short);
  F.Registry_.onConnectionReset("crash", "c", Short);
  F.Registry_.onConnectionRefused("c");
  CHECK(F.Registry_.inputStatus("reset") == InputStatus::Refused);
  CHECK(F.Registry_.inputStatus("crash") == InputStatus::Suspect);
  F.Now_ += Seconds{31};
  CHECK(F.Registry_.inputStatus("reset") == InputStatus::Clear);
  CHECK(F.Registry_.inputStatus("crash") == InputStatus::Suspect);
  F.Now_ += Seconds{600};
  CHECK(F.Registry_.inputStatus("crash") == InputStatus::Clear);
}

// Guards against an input that stays suspect after it completed on another
// target, and against clearing it when it completed on the crashed target.
TEST_CASE("completion on another target clears an input") {
  Fixture F;
  F.Registry_.onConnectionReset("x", "a", Short);
  F.Registry_.onConnectionRefused("a");
  F.Registry_.onCompleted("x", "a");
  CHECK(F.Registry_.inputStatus("x") == InputStatus::Suspect);
  F.Registry_.onCompleted("x", "b");
  CHECK(F.Registry_.inputStatus("x") == InputStatus::Clear);
}

// Guards against ignoring reports of peers, and against hosts that keep an
// entry alive for ever by reporting it to each other.
TEST_CASE("reports of peers count and are not passed on") {
  Fixture F;
  F.Registry_.merge({"x", {"a", "b"}, false, Short});
  CHECK(F.Registry_.inputStatus("x") == InputStatus::Refused);
  CHECK(F.Registry_.recentLocalSuspects(10).empty());
  F.Registry_.onConnectionReset("y", "a", Short);
  REQUIRE(F.Registry_.recentLocalSuspects(10).size() == 1);
  CHECK(F.Registry_.recentLocalSuspects(10)[0].Digest_ == "y");
  F.Registry_.merge({"x", {}, true, Short});
  CHECK(F.Registry_.inputStatus("x") == InputStatus::Clear);
}

// Guards against memory that grows with every reset connection.
TEST_CASE("the number of inputs is bounded") {
  Fixture F;
  for (int I = 0; I < 1000; ++I) {
    F.Registry_.onConnectionReset(std::to_string(I), "a", Short);
    F.Now_ += Milliseconds{1};
  }
  CHECK(F.Registry_.recentLocalSuspects(1000).size() == 100);
  CHECK(F.Registry_.inputStatus("999") == InputStatus::Suspect);
}

// Guards against refusing requests, or restricting them to targets that have
// ended, because another input crashed both targets that they tried.
TEST_CASE("an input that had run for long when the cause arrived is innocent") {
  Fixture F;
  F.Registry_.onConnectionReset("innocent", "a", Long);
  CHECK(F.Registry_.inputStatus("innocent") == InputStatus::Suspect);
  F.Registry_.merge({"cause", {"a"}, false, Short});
  // It need not wait for a turn.
  F.Registry_.onConnectionReset("another", "a", Short);
  CHECK(F.Registry_.repeatDelay("innocent") ==
        SuspectRegistrySettings().ReportDelay_);
  CHECK(F.Registry_.inputStatus("innocent") == InputStatus::Suspect);
  // It is repeated on another target, which the cause reaches too.
  F.Registry_.onConnectionReset("innocent", "b", Short);
  CHECK(F.Registry_.inputStatus("innocent") == InputStatus::Refused);
  F.Registry_.merge({"cause", {"a", "b"}, false, Short});
  CHECK(F.Registry_.inputStatus("innocent") == InputStatus::Clear);
  CHECK(F.Registry_.inputStatus("cause") == InputStatus::Refused);
}

// Guards against clearing the cause because of requests that ran with it: one
// that was on only some of the crashed targets, or one that started there at
// about the same time.
TEST_CASE("an input is not innocent because of others on some of its targets") {
  Fixture F;
  F.Registry_.onConnectionReset("cause", "a", Long);
  F.Registry_.onConnectionReset("cause", "b", Long);
  F.Registry_.onConnectionReset("beside", "a", Short);
  CHECK(F.Registry_.inputStatus("cause") == InputStatus::Refused);
  F.Registry_.onConnectionReset("equal", "a", Long);
  F.Registry_.onConnectionReset("equal", "b", Long);
  CHECK(F.Registry_.inputStatus("cause") == InputStatus::Refused);
}

// Guards against requests that are restricted to two targets, both of which
// another input has crashed, and so find no target.
TEST_CASE("an input on one of the targets that a refused one crashed is "
          "innocent") {
  Fixture F;
  F.Registry_.onConnectionReset("beside", "a", Short);
  F.Registry_.merge({"cause", {"a"}, false, Short});
  CHECK(F.Registry_.inputStatus("beside") == InputStatus::Suspect);
  F.Registry_.merge({"cause", {"a", "b"}, false, Short});
  CHECK(F.Registry_.inputStatus("beside") == InputStatus::Clear);
  CHECK(F.Registry_.inputStatus("cause") == InputStatus::Refused);
  // A crash of a target on which the refused input did not run is not explained
  // by that input.
  F.Registry_.onConnectionReset("beside", "c", Short);
  CHECK(F.Registry_.inputStatus("beside") == InputStatus::Refused);
}

// Guards against suspect inputs that all run on a second target when it
// crashes, which does not show which of them is the cause.
TEST_CASE("inputs whose common target crashed take turns") {
  Fixture F;
  F.Registry_.onConnectionReset("1", "a", Short);
  F.Registry_.onConnectionReset("2", "a", Short);
  F.Registry_.merge({"3", {"a"}, false, Short});
  F.Registry_.onConnectionReset("4", "elsewhere", Short);
  Milliseconds FirstDelay = F.Registry_.repeatDelay("1");
  CHECK(F.Registry_.repeatDelay("2") == FirstDelay + Milliseconds{250});
  CHECK(F.Registry_.repeatDelay("3") == FirstDelay + Milliseconds{500});
  CHECK(F.Registry_.repeatDelay("4") == FirstDelay);
  // The second proves to be the cause while the first runs on the same target.
  // The third need not wait any more.
  F.Registry_.onConnectionReset("1", "b", Milliseconds{260});
  F.Registry_.onConnectionReset("2", "b", Short);
  CHECK(F.Registry_.inputStatus("1") == InputStatus::Clear);
  CHECK(F.Registry_.inputStatus("2") == InputStatus::Refused);
  CHECK(F.Registry_.inputStatus("3") == InputStatus::Clear);
  CHECK(F.Registry_.repeatDelay("3") == FirstDelay);
}

// Guards against an input that stays innocent after the record of the cause has
// expired.
TEST_CASE("an input is innocent as long as the cause is remembered") {
  Fixture F;
  for (const char *Target : {"a", "b"})
    F.Registry_.onConnectionReset("cause", Target, Short);
  F.Now_ += Seconds{20};
  F.Registry_.onConnectionReset("innocent", "a", Long);
  CHECK(F.Registry_.inputStatus("innocent") == InputStatus::Clear);
  F.Registry_.onConnectionReset("innocent", "b", Long);
  CHECK(F.Registry_.inputStatus("innocent") == InputStatus::Clear);
  F.Now_ += Seconds{11};
  CHECK(F.Registry_.inputStatus("innocent") == InputStatus::Refused);
}

// Pattern: an input that crashes targets comes at all hosts at once, while a
// host is busy and another request has just started on the same target. Guards
// against a host that takes the input for innocent, because it saw it run for
// longer than the other request, and sends it to a target of its own choice.
TEST_CASE("an input that ran for longer than another stays at its candidates") {
  Fixture F;
  constexpr Milliseconds JustStarted{10};
  constexpr Milliseconds SlowedByLoad{80};
  F.Registry_.merge({"beside", {"a"}, false, JustStarted});
  F.Registry_.onConnectionReset("cause", "a", SlowedByLoad);
  CHECK(F.Registry_.inputStatus("cause") == InputStatus::Suspect);
  F.Registry_.onConnectionReset("cause", "b", SlowedByLoad);
  CHECK(F.Registry_.inputStatus("cause") == InputStatus::Refused);
}
