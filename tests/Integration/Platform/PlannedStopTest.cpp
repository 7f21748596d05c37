#include "Integration/Eventually.h"
#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;
using nlohmann::json;

namespace {

/// Longer than the grace period of a host that stops.
constexpr const char *LongDeadline = "20000";

json configurationWithLongTimeouts() {
  json Configuration = platformConfiguration();
  for (json &Route : Configuration["routes"]) {
    Route["timeout_ms"] = 20000;
    Route["target_latency_ms"] = 10000;
  }
  return Configuration;
}

std::string patientRequest(const std::string &Path,
                           const std::string &Fields = "",
                           const std::string &Body = "") {
  std::string Request = platformRequest("POST", Path, Fields, Body);
  const std::string Field = "Deadline-Ms: ";
  Request.replace(Request.find(Field) + Field.size(), 4, LongDeadline);
  return Request;
}

} // namespace

// Rules LOST, REFUSED. Pattern: a planned stop while requests run, wait for
// their stages, or are still being received. Guards against requests that are
// cut off without an answer at the end of the grace period, and against
// requests that are passed on so late that they cannot be answered.
TEST_CASE("platform: a stopping host answers all of its requests") {
  StoreDouble Store;
  Store.put("op/config", configurationWithLongTimeouts());
  std::atomic<int> RunningOrders{0};
  TargetDouble Desk(Store, "i-1", "desk",
                    [&](RawServerConnection &Connection, const RawRequest &) {
                      ++RunningOrders;
                      Connection.waitForClose(20000);
                      return false;
                    });
  // No target makes the pieces that its stages need.
  TargetDouble Engine(Store, "i-2", "engine", streamAll);
  PlatformFleet Fleet(Store, 1);
  PlatformAnswer Running;
  PlatformAnswer Waiting;
  PlatformAnswer Late;
  std::thread RunningCaller(
      [&] { Running = Fleet.call(0, patientRequest("/order/1")); });
  std::thread WaitingCaller([&] {
    Waiting = Fleet.call(
        0, patientRequest("/guide/1", "Pieces: 1,1\r\nPiece-Key: k\r\n"));
  });
  CHECK(eventually([&] { return RunningOrders == 1; }, Seconds{3}));
  Fleet.process(0).terminate();
  std::thread LateCaller([&] {
    std::this_thread::sleep_for(Milliseconds{2500});
    std::string Request = patientRequest("/order/2", "", "wood");
    Late =
        Fleet.callWithPause(0, Request, Request.size() - 1, Milliseconds{3500});
  });
  RunningCaller.join();
  WaitingCaller.join();
  LateCaller.join();
  CHECK(Running.Status_ == 502);
  CHECK(Waiting.Status_ == 503);
  CHECK(Waiting.Head_.find("Retry-After"));
  CHECK(Late.Status_ == 503);
  CHECK(Late.Head_.find("Retry-After"));
  CHECK(RunningOrders == 1);
  CHECK(Engine.requests() == 0);
  std::optional<ExitStatus> Exit = Fleet.process(0).waitExit(Seconds{2});
  REQUIRE(Exit);
  CHECK(Exit->Code_ == 0);
}
