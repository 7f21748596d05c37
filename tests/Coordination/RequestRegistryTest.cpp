#include "Coordination/RequestRegistry.h"

#include <catch2/catch.hpp>

#include <future>

using namespace amaranth;
using namespace amaranth::coordination;
using protocol::OutcomeKind;
using protocol::RequestOutcome;

namespace {

constexpr Milliseconds Limit{20000};

SteadyTime soon() { return SteadyClock::now() + Limit; }

RegistryKey key(const std::string &Identity) {
  return {Identity, "content", Milliseconds(100)};
}

RequestOutcome completed(const std::string &Body) {
  RequestOutcome Outcome;
  Outcome.Kind_ = OutcomeKind::Completed;
  Outcome.Body_ = Body;
  return Outcome;
}

} // namespace

// Guards against a second run while the first is in progress.
TEST_CASE("a resend waits for the result of the running request") {
  RequestRegistry Registry({}, [] { return Milliseconds(0); });
  REQUIRE_FALSE(Registry.begin(key("a"), soon()));
  auto Early = Registry.begin(key("a"), SteadyClock::now());
  REQUIRE(Early);
  CHECK(Early->Kind_ == OutcomeKind::Running);
  auto Waiting = std::async(std::launch::async,
                            [&] { return Registry.begin(key("a"), soon()); });
  Registry.finish("a", completed("1"));
  CHECK(Waiting.get()->Body_ == "1");
  CHECK(Registry.begin({"a", "other", {}}, soon())->Status_ == 409);
  REQUIRE_FALSE(Registry.begin(key("b"), soon()));
  Registry.withdraw("b", completed("2"));
  CHECK_FALSE(Registry.begin(key("b"), soon()));
}

// Guards against keys that are forgotten while they could run again, and
// against `not_run` for a key that may have been forgotten.
TEST_CASE("a key is kept until its expiry plus retention") {
  std::atomic<std::int64_t> Now{0};
  RequestRegistrySettings Settings;
  Settings.Retention_ = Milliseconds(50);
  RequestRegistry Registry(Settings, [&] { return Milliseconds(Now.load()); });
  REQUIRE_FALSE(Registry.begin(key("a"), soon()));
  REQUIRE_FALSE(Registry.begin(key("running"), soon()));
  Registry.finish("a", completed("1"));
  CHECK(Registry.lookUp(key("b"), soon()).Kind_ == OutcomeKind::Unknown);
  Now = 150;
  CHECK(Registry.lookUp(key("b"), soon()).Kind_ == OutcomeKind::NotRun);
  CHECK(Registry.begin(key("a"), soon())->Body_ == "1");
  CHECK(Registry.begin(key("b"), soon())->Kind_ == OutcomeKind::NotRun);
  Now = 151;
  CHECK(Registry.begin(key("a"), soon())->Kind_ == OutcomeKind::Unknown);
  CHECK(Registry.begin(key("b"), soon())->Kind_ == OutcomeKind::Unknown);
  CHECK(Registry.size() == 1);
  CHECK(Registry.find(key("running"), SteadyClock::now())->Kind_ ==
        OutcomeKind::Running);
}

// Guards against unbounded memory, and against answers at the bound that a
// later resend would make untrue.
TEST_CASE("a full registry neither runs nor refuses a new key") {
  RequestRegistrySettings Settings;
  Settings.MaxEntries_ = 2;
  Settings.MaxBodyBytes_ = 10;
  RequestRegistry Registry(Settings, [] { return Milliseconds(0); });
  REQUIRE_FALSE(Registry.begin(key("a"), soon()));
  REQUIRE_FALSE(Registry.begin(key("b"), soon()));
  CHECK(Registry.isAlmostFull());
  CHECK(Registry.begin(key("c"), soon())->Kind_ == OutcomeKind::Unknown);
  Registry.finish("a", completed("12345678"));
  Registry.finish("b", completed("abcdefgh"));
  // The older body was dropped, but its key does not run again.
  CHECK(Registry.begin(key("a"), soon())->Kind_ == OutcomeKind::Unknown);
  CHECK(Registry.begin(key("b"), soon())->Body_ == "abcdefgh");
}
