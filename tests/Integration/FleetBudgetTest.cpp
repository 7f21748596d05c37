#include "Integration/FleetHarness.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace amaranth;
using namespace amaranth::integration;
using Json = nlohmann::json;

namespace {

constexpr std::int64_t BudgetPerSecond = 20;
constexpr Seconds Period{10};

/// Calls to the key-value service since the counters were cleared. The host
/// list shares the stand-in's address, not the service's budget.
std::int64_t calls(StandinProcess &KeyValue) {
  std::int64_t Total = 0;
  const Json Counters = KeyValue.get("/standin/counters");
  for (const auto &Kind : Counters.items())
    if (Kind.key() != "hosts")
      Total += Kind.value().get<std::int64_t>();
  return Total;
}

void clearCounters(StandinProcess &KeyValue) {
  callJson(KeyValue.address(), "DELETE", "/standin/counters");
}

/// Calls in \p Time. A rate is measured, so the whole time is waited for.
std::int64_t callsIn(StandinProcess &KeyValue, Milliseconds Time) {
  clearCounters(KeyValue);
  std::this_thread::sleep_for(Time);
  return calls(KeyValue);
}

} // namespace

// Guards against a fleet that loads the key-value service while it has nothing
// to do, while the service is out, or when it returns.
TEST_CASE("fleet: five idle daemons keep to the key-value budget") {
  // A read, a session, a lease and a watch of each daemon, twice.
  constexpr std::int64_t Burst = 40;
  constexpr Seconds ReturnPeriod{3};
  StandinProcess Target("service");
  FleetHarnessSettings Settings;
  Settings.HostList_ = true;
  FleetHarness Fleet(Settings);
  std::uint64_t Revision = Fleet.mustApply(
      0, "idle", 0, FleetHarness::plainService("idle", {Target.address()}));
  REQUIRE(Fleet.inForce("idle", Revision));
  StandinProcess &KeyValue = Fleet.keyValue();

  std::int64_t Idle = callsIn(KeyValue, Period);
  CHECK(Idle <= BudgetPerSecond * Period.count());

  KeyValue.setSwitches({{"outage", true}});
  std::int64_t Out = callsIn(KeyValue, Period);
  CHECK(Out <= BudgetPerSecond * Period.count());
  // The daemons go on to ask, otherwise they could not notice the return.
  CHECK(Out > 0);

  clearCounters(KeyValue);
  KeyValue.setSwitches({{"outage", false}});
  std::this_thread::sleep_for(ReturnPeriod);
  std::int64_t Return = calls(KeyValue);
  CHECK(Return <= BudgetPerSecond * ReturnPeriod.count() + Burst);
  INFO("calls: idle " << Idle << ", out " << Out << " in " << Period.count()
                      << " s; " << Return << " in " << ReturnPeriod.count()
                      << " s after the return");
  // The fleet works again.
  std::uint64_t Next =
      Fleet.mustApply(1, "idle", Revision,
                      FleetHarness::plainService("idle", {Target.address()}));
  CHECK(Fleet.inForce("idle", Next));
}
