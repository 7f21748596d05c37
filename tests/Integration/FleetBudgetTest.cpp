#include "Integration/FleetHarness.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace amaranth;
using namespace amaranth::integration;
using Json = nlohmann::json;

namespace {

constexpr std::int64_t BudgetPerSecond = 20;
constexpr Seconds MeasuringPeriod{10};

/// Calls to the key-value service since the counters were cleared. The host
/// list shares the stand-in's address, not the service's budget.
std::int64_t countCalls(StandinProcess &KeyValue) {
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

/// Calls in \p Duration. A rate is measured, so the whole time is waited for.
std::int64_t countCallsDuring(StandinProcess &KeyValue, Milliseconds Duration) {
  clearCounters(KeyValue);
  std::this_thread::sleep_for(Duration);
  return countCalls(KeyValue);
}

} // namespace

// Guards against a fleet that loads the key-value service while it has nothing
// to do, while the service is out, or when it returns.
TEST_CASE("fleet: five idle daemons keep to the key-value budget") {
  // A read, a session, a lease and a watch of each daemon, twice.
  constexpr std::int64_t ReconnectBurst = 40;
  constexpr Seconds RecoveryPeriod{3};
  StandinProcess Target("service");
  FleetHarnessSettings Settings;
  Settings.HostList_ = true;
  FleetHarness Fleet(Settings);
  std::uint64_t Revision = Fleet.applyOrThrow(
      0, "idle", 0,
      FleetHarness::plainServiceDocument("idle", {Target.address()}));
  REQUIRE(Fleet.waitInForce("idle", Revision));
  StandinProcess &KeyValue = Fleet.keyValue();

  std::int64_t IdleCalls = countCallsDuring(KeyValue, MeasuringPeriod);
  CHECK(IdleCalls <= BudgetPerSecond * MeasuringPeriod.count());

  KeyValue.setSwitches({{"outage", true}});
  std::int64_t OutageCalls = countCallsDuring(KeyValue, MeasuringPeriod);
  CHECK(OutageCalls <= BudgetPerSecond * MeasuringPeriod.count());
  // The daemons go on to ask, otherwise they could not notice the return.
  CHECK(OutageCalls > 0);

  clearCounters(KeyValue);
  KeyValue.setSwitches({{"outage", false}});
  std::this_thread::sleep_for(RecoveryPeriod);
  std::int64_t RecoveryCalls = countCalls(KeyValue);
  CHECK(RecoveryCalls <=
        BudgetPerSecond * RecoveryPeriod.count() + ReconnectBurst);
  INFO("calls: idle " << IdleCalls << ", out " << OutageCalls << " in "
                      << MeasuringPeriod.count() << " s; " << RecoveryCalls
                      << " in " << RecoveryPeriod.count()
                      << " s after the return");
  // The fleet works again.
  std::uint64_t NextRevision = Fleet.applyOrThrow(
      1, "idle", Revision,
      FleetHarness::plainServiceDocument("idle", {Target.address()}));
  CHECK(Fleet.waitInForce("idle", NextRevision));
}
