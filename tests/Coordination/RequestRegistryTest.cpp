#include "Coordination/RequestRegistry.h"

#include <catch2/catch.hpp>

#include <future>

using namespace amaranth;
using namespace amaranth::coordination;
using protocol::OutcomeKind;
using protocol::RequestOutcome;

namespace {

constexpr Milliseconds WaitLimit{20000};

SteadyTime waitDeadline() { return SteadyClock::now() + WaitLimit; }

RegistryKey makeKey(const std::string &Identity) {
  return {Identity, "content", Milliseconds(100)};
}

RequestOutcome makeCompleted(const std::string &Body) {
  RequestOutcome Outcome;
  Outcome.Kind_ = OutcomeKind::Completed;
  Outcome.Body_ = Body;
  return Outcome;
}

} // namespace

// Guards against a second run while the first is in progress.
TEST_CASE("a resend waits for the result of the running request") {
  RequestRegistry Registry({}, [] { return Milliseconds(0); });
  REQUIRE_FALSE(Registry.begin(makeKey("a"), waitDeadline()));
  auto WhileRunning = Registry.begin(makeKey("a"), SteadyClock::now());
  REQUIRE(WhileRunning);
  CHECK(WhileRunning->Kind_ == OutcomeKind::Running);
  auto Resend = std::async(std::launch::async, [&] {
    return Registry.begin(makeKey("a"), waitDeadline());
  });
  Registry.finish("a", makeCompleted("1"));
  CHECK(Resend.get()->Body_ == "1");
  CHECK(Registry.begin({"a", "other", {}}, waitDeadline())->Status_ == 409);
  REQUIRE_FALSE(Registry.begin(makeKey("b"), waitDeadline()));
  Registry.withdraw("b", makeCompleted("2"));
  CHECK_FALSE(Registry.begin(makeKey("b"), waitDeadline()));
}

// Guards against removing a key that could then run again, and against
// `not_run` for a key that may have been removed.
TEST_CASE("a key is kept until its expiry plus retention") {
  std::atomic<std::int64_t> Now{0};
  RequestRegistrySettings Settings;
  Settings.Retention_ = Milliseconds(50);
  RequestRegistry Registry(Settings, [&] { return Milliseconds(Now.load()); });
  REQUIRE_FALSE(Registry.begin(makeKey("a"), waitDeadline()));
  REQUIRE_FALSE(Registry.begin(makeKey("running"), waitDeadline()));
  Registry.finish("a", makeCompleted("1"));
  CHECK(Registry.lookUp(makeKey("b"), waitDeadline()).Kind_ ==
        OutcomeKind::Unknown);
  Now = 150;
  CHECK(Registry.lookUp(makeKey("b"), waitDeadline()).Kind_ ==
        OutcomeKind::NotRun);
  CHECK(Registry.begin(makeKey("a"), waitDeadline())->Body_ == "1");
  CHECK(Registry.begin(makeKey("b"), waitDeadline())->Kind_ ==
        OutcomeKind::NotRun);
  Now = 151;
  CHECK(Registry.begin(makeKey("a"), waitDeadline())->Kind_ ==
        OutcomeKind::Unknown);
  CHECK(Registry.begin(makeKey("b"), waitDeadline())->Kind_ ==
        OutcomeKind::Unknown);
  CHECK(Registry.size() == 1);
  CHECK(Registry.find(makeKey("running"), SteadyClock::now())->Kind_ ==
        OutcomeKind::Running);
}

// Guards against unbounded memory, and against answers of a full registry that
// a later resend would make wrong.
TEST_CASE("a full registry neither runs nor refuses a new key") {
  RequestRegistrySettings Settings;
  Settings.MaxEntries_ = 2;
  Settings.MaxBodyBytes_ = 10;
  RequestRegistry Registry(Settings, [] { return Milliseconds(0); });
  REQUIRE_FALSE(Registry.begin(makeKey("a"), waitDeadline()));
  REQUIRE_FALSE(Registry.begin(makeKey("b"), waitDeadline()));
  CHECK(Registry.isAlmostFull());
  CHECK(Registry.begin(makeKey("c"), waitDeadline())->Kind_ ==
        OutcomeKind::Unknown);
  Registry.finish("a", makeCompleted("12345678"));
  Registry.finish("b", makeCompleted("abcdefgh"));
  // The older body was dropped, but its key does not run again.
  CHECK(Registry.begin(makeKey("a"), waitDeadline())->Kind_ ==
        OutcomeKind::Unknown);
  CHECK(Registry.begin(makeKey("b"), waitDeadline())->Body_ == "abcdefgh");
}
