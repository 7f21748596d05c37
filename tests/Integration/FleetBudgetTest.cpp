#include "Integration/FleetHarness.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace amaranth;
using namespace amaranth::integration;
using Json = nlohmann::json;

namespace {

constexpr std::int64_t BudgetPerSecond = 20;
constexpr Seconds MeasuringPeriod{10};

/// Number of calls to the key-value service since the counters were cleared.
/// Reads of the host list are left out: the stand-in serves it too, but it is
/// not part of the budget.
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

/// Number of calls within \p Duration. Sleeps for all of it to measure a rate.
std::int64_t countCallsDuring(StandinProcess &KeyValue, Milliseconds Duration) {
  clearCounters(KeyValue);
  std::this_thread::sleep_for(Duration);
  return countCalls(KeyValue);
}

} // namespace

// Guards against a fleet that exceeds the call budget of the key-value service
// while idle, during an outage of the service, or when the service recovers.
TEST_CASE("fleet: five idle daemons keep to the key-value budget") {
  // A read, a session, a lease and a watch for each of five daemons, twice.
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
  // The daemons keep retrying; otherwise they could not detect the recovery.
  CHECK(OutageCalls > 0);

  clearCounters(KeyValue);
  KeyValue.setSwitches({{"outage", false}});
  std::this_thread::sleep_for(RecoveryPeriod);
  std::int64_t RecoveryCalls = countCalls(KeyValue);
  CHECK(RecoveryCalls <=
        BudgetPerSecond * RecoveryPeriod.count() + ReconnectBurst);
  INFO("calls to the key-value service: idle "
       << IdleCalls << ", during the outage " << OutageCalls << " in "
       << MeasuringPeriod.count() << " s; " << RecoveryCalls << " in "
       << RecoveryPeriod.count() << " s after the recovery");
  // Changes reach all daemons again.
  std::uint64_t NextRevision = Fleet.applyOrThrow(
      1, "idle", Revision,
      FleetHarness::plainServiceDocument("idle", {Target.address()}));
  CHECK(Fleet.waitInForce("idle", NextRevision));
}
