#include "Integration/Eventually.h"
#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

constexpr std::size_t Hosts = 3;
/// Time in which all hosts have a change of the store; half of bounds.drain_ms.
constexpr Milliseconds SpreadTime{1000};

/// Records that another writer may leave under the key of a target at
/// \p Address.
std::vector<std::string> oddRecords(const std::string &Address) {
  const nlohmann::json Whole{{"service", "desk"}, {"address", Address},
                             {"zone", "a"},       {"version", "v1"},
                             {"slots", 8},        {"state", "ready"},
                             {"born", 2},         {"cold_remaining_ms", 0},
                             {"sequence", 1}};
  nlohmann::json NoBorn = Whole;
  NoBorn.erase("born");
  nlohmann::json OtherState = Whole;
  OtherState["state"] = "resting";
  nlohmann::json OtherService = Whole;
  OtherService["service"] = "nowhere";
  nlohmann::json FewFields{
      {"service", "desk"}, {"address", Address}, {"state", "ready"}};
  return {FewFields.dump(),
          NoBorn.dump(),
          OtherState.dump(),
          OtherService.dump(),
          "[]",
          "\xff\xfe",
          ""};
}

/// Sends requests to all hosts in turn for \p Time. Returns how many were not
/// served.
int sendFor(PlatformFleet &Fleet, Milliseconds Time) {
  int NotServed = 0;
  SteadyTime End = SteadyClock::now() + Time;
  while (SteadyClock::now() < End)
    for (std::size_t Host = 0; Host < Hosts; ++Host)
      for (int I = 0; I < 4; ++I)
        NotServed +=
            Fleet.call(Host, platformRequest("GET", "/look/1")).Status_ != 200;
  return NotServed;
}

} // namespace

// Rule DRAIN. Guards against requests to a draining target whose record another
// writer replaces by one that lacks fields, and with them the start time.
TEST_CASE("platform: an odd record does not return a draining target") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  TargetDouble Draining(Store, "i-1", "desk", answerDone);
  TargetDouble Staying(Store, "i-2", "desk", answerDone);
  PlatformFleet Fleet(Store, Hosts);
  CHECK(sendFor(Fleet, SpreadTime) == 0);
  CHECK(Draining.requests() > 0);
  Draining.setDraining();
  std::this_thread::sleep_for(SpreadTime);
  int Before = Draining.requests();
  for (const std::string &Odd : oddRecords(Draining.address())) {
    INFO(Odd);
    Store.putBytes("servers/i-1", Odd);
    CHECK(sendFor(Fleet, SpreadTime / 2) == 0);
    CHECK(Draining.requests() == Before);
  }
}

// Guards against refused requests because an odd record of another writer
// counts as the removal of the target.
TEST_CASE("platform: a target stays in use under an odd record") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  TargetDouble Only(Store, "i-1", "desk", answerDone);
  PlatformFleet Fleet(Store, Hosts);
  for (const std::string &Odd : oddRecords(Only.address())) {
    INFO(Odd);
    Store.putBytes("servers/i-1", Odd);
    CHECK(sendFor(Fleet, SpreadTime / 2) == 0);
  }
  // Its removal ends it.
  Store.remove("servers/i-1");
  CHECK(eventually([&] {
    return Fleet.call(0, platformRequest("GET", "/look/1")).Status_ == 503;
  }));
}

// Guards against a target that stays unused because its record arrived before
// the configuration that names its service.
TEST_CASE("platform: an odd record of an unknown service is used once known") {
  StoreDouble Store;
  nlohmann::json Configuration = platformConfiguration();
  Store.put("op/config", Configuration);
  TargetDouble Moving(Store, "i-1", "desk", answerDone);
  PlatformFleet Fleet(Store, Hosts);
  CHECK(sendFor(Fleet, SpreadTime / 4) == 0);
  Store.put("servers/i-1", {{"service", "counter"},
                            {"address", Moving.address()},
                            {"zone", "a"},
                            {"version", "v1"},
                            {"slots", 8},
                            {"state", "ready"},
                            {"cold_remaining_ms", 0},
                            {"born", 2},
                            {"sequence", 1}});
  CHECK(sendFor(Fleet, SpreadTime / 4) == 0);
  std::string Text = Configuration.dump();
  for (std::size_t At = 0; (At = Text.find("\"desk\"", At)) != Text.npos;)
    Text.replace(At, 6, "\"counter\"");
  Configuration = nlohmann::json::parse(Text);
  Configuration["version"] = 1000;
  Store.put("op/config", Configuration);
  std::this_thread::sleep_for(SpreadTime);
  CHECK(sendFor(Fleet, SpreadTime / 4) == 0);
}

// Rule DRAIN. Guards against requests to a target that has stated in an answer
// that it leaves, after an odd record was taken for its removal and its own
// record for a new registration.
TEST_CASE(
    "platform: a target that states it leaves does so after odd records") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  std::atomic<bool> IsLeaving{false};
  TargetDouble Leaving(
      Store, "i-1", "desk",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        std::string Fields = validResponseFields(Request);
        if (IsLeaving)
          Fields += "Server-Leaving: 1\r\n";
        Connection.write(rawAnswer(200, Fields, "done"));
        return true;
      });
  TargetDouble Staying(Store, "i-2", "desk", answerDone);
  PlatformFleet Fleet(Store, Hosts);
  IsLeaving = true;
  CHECK(sendFor(Fleet, SpreadTime) == 0);
  CHECK(Leaving.requests() > 0);
  int Before = Leaving.requests();
  for (const std::string &Odd : oddRecords(Leaving.address())) {
    INFO(Odd);
    Store.putBytes("servers/i-1", Odd);
    std::this_thread::sleep_for(SpreadTime / 4);
    Leaving.setReady();
    CHECK(sendFor(Fleet, SpreadTime / 2) == 0);
    CHECK(Leaving.requests() == Before);
  }
}
