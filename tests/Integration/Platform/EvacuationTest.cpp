#include "Integration/Eventually.h"
#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;
using nlohmann::json;

namespace {

/// Time after the store's acknowledgement in which an evacuation is in force
/// (bounds.evacuation_ms).
constexpr Milliseconds EvacuationLimit{5000};
const std::string EvacuationOfB = "op/evacuate/b";

/// A stage target whose calls can be counted, with its results freed or not.
class StageTarget final {
public:
  StageTarget(StoreDouble &Store, std::string Id, std::string Zone)
      : Target_(
            Store, std::move(Id), "stage",
            [this](RawServerConnection &Connection, const RawRequest &Request) {
              return answerStageCall(Connection, Request, Target_.address());
            },
            std::move(Zone)) {}

  int requests() const { return Target_.requests(); }

private:
  TargetDouble Target_;
};

/// A store with targets of each kind in the zones a and b.
struct TwoZones {
  TwoZones() { Store_.put("op/config", platformConfiguration()); }

  int requestsInB() const {
    return DeskB_.requests() + EngineB_.requests() + StageB_.requests();
  }

  StoreDouble Store_;
  TargetDouble DeskA_{Store_, "desk-a", "desk", answerDone, "a"};
  TargetDouble DeskB_{Store_, "desk-b", "desk", answerDone, "b"};
  TargetDouble EngineA_{Store_, "engine-a", "engine", streamAll, "a"};
  TargetDouble EngineB_{Store_, "engine-b", "engine", streamAll, "b"};
  StageTarget StageA_{Store_, "stage-a", "a"};
  StageTarget StageB_{Store_, "stage-b", "b"};
};

/// Sends plain requests and streams with stages, several at the same time, and
/// checks that all are answered.
void sendToEachService(PlatformFleet &Fleet, std::size_t Host) {
  INFO("host " << Host);
  std::atomic<int> Served{0};
  std::vector<std::thread> Callers;
  for (int I = 0; I < 12; ++I)
    Callers.emplace_back([&, I] {
      std::string Request =
          I % 2 ? platformRequest("GET", "/look/1")
                : platformRequest("POST", "/guide/1",
                                  "Pieces: 4,4\r\nPiece-Key: k\r\n");
      Served += Fleet.call(Host, Request).Status_ == 200;
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Served == 12);
}

} // namespace

// Rule E1. Guards against requests, stage calls and calls that free results
// that reach targets of an evacuated zone: at hosts that watch the store, at
// those that get its changes from others, at one that the store does not
// answer, and while the store is down; and against a zone that stays without
// requests after its return.
TEST_CASE("platform: an evacuated zone gets no request from any host") {
  TwoZones Setup;
  constexpr std::size_t Hosts = 6;
  PlatformFleet Fleet(Setup.Store_, Hosts);
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    sendToEachService(Fleet, Host);
  CHECK(Setup.DeskB_.requests() > 0);
  CHECK(Setup.EngineB_.requests() > 0);
  CHECK(Setup.StageB_.requests() > 0);
  Setup.Store_.setSilent(0);
  Setup.Store_.put(EvacuationOfB, json::object());
  std::this_thread::sleep_for(EvacuationLimit);
  int Before = Setup.requestsInB();
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    sendToEachService(Fleet, Host);
  CHECK(Setup.requestsInB() == Before);
  Setup.Store_.setDown(true);
  std::this_thread::sleep_for(Milliseconds{1000});
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    sendToEachService(Fleet, Host);
  CHECK(Setup.requestsInB() == Before);
  Setup.Store_.setDown(false);
  Setup.Store_.remove(EvacuationOfB);
  CHECK(eventually(
      [&] {
        sendToEachService(Fleet, 1);
        return Setup.DeskB_.requests() > 0 && Setup.requestsInB() > Before;
      },
      Seconds{10}));
}

// Rule E1. Guards against a host that starts during an evacuation and sends
// before it has read of it, and against other keys of the operators that change
// the configuration or end a host.
TEST_CASE("platform: a host that starts during an evacuation follows it") {
  TwoZones Setup;
  Setup.Store_.put("op/configuration", json{{"version", 9}});
  Setup.Store_.put("op/evacuate/", json::object());
  Setup.Store_.put("op/evacuate/nowhere", json{{"by", "x"}});
  Setup.Store_.putBytes("op/evacuate", "\xff not JSON");
  Setup.Store_.putBytes(EvacuationOfB, "\xff not JSON");
  PlatformFleet Fleet(Setup.Store_, 1);
  sendToEachService(Fleet, 0);
  Fleet.addHost(Setup.Store_);
  sendToEachService(Fleet, 1);
  CHECK(Setup.requestsInB() == 0);
}

// Rules E1, R1. Guards against requests that wait for targets that cannot get
// them, and against stages that are made for an engine that is evacuated.
TEST_CASE("platform: a service with evacuated targets only refuses at once") {
  TwoZones Setup;
  Setup.Store_.put("op/evacuate/a", json::object());
  Setup.Store_.put(EvacuationOfB, json::object());
  PlatformFleet Fleet(Setup.Store_, 2);
  for (std::size_t Host = 0; Host < 2; ++Host)
    for (const std::string &Request :
         {platformRequest("GET", "/look/1"),
          platformRequest("POST", "/order/1"),
          platformRequest("POST", "/draft/1"),
          platformRequest("POST", "/guide/1",
                          "Pieces: 4,4\r\nPiece-Key: k\r\n")}) {
      SteadyTime SentAt = SteadyClock::now();
      PlatformAnswer Answer = Fleet.call(Host, Request);
      CHECK(Answer.Status_ == 503);
      REQUIRE(Answer.Head_.find("Retry-After"));
      CHECK(std::stod(*Answer.Head_.find("Retry-After")) == 1.0);
      CHECK(SteadyClock::now() - SentAt < Milliseconds{500});
    }
  CHECK(Setup.requestsInB() == 0);
  CHECK(Setup.StageA_.requests() == 0);
}

// Rule E1. Guards against second attempts and resumed streams that reach an
// evacuated zone, because they choose among the targets that are left.
TEST_CASE("platform: requests that are tried again avoid an evacuated zone") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  Store.put(EvacuationOfB, json::object());
  auto Refuse = [](RawServerConnection &Connection, const RawRequest &Request) {
    Connection.write(rawAnswer(503,
                               "Not-Executed: 1\r\nRequest-Id: " +
                                   Request.field("Request-Id") + "\r\n",
                               ""));
    return true;
  };
  auto Break = [](RawServerConnection &Connection, const RawRequest &Request) {
    Connection.write(streamHead(Request) +
                     "Transfer-Encoding: chunked\r\n\r\n" +
                     transport::encodeChunk(streamEvent(1)));
    std::this_thread::sleep_for(Milliseconds{50});
    Connection.resetOnClose();
    return false;
  };
  TargetDouble Refusing(Store, "desk-1", "desk", Refuse, "a");
  TargetDouble DeskB(Store, "desk-2", "desk", answerDone, "b");
  TargetDouble Breaking(Store, "engine-1", "engine", Break, "a");
  TargetDouble EngineB(Store, "engine-2", "engine", streamAll, "b");
  PlatformFleet Fleet(Store, 1);
  for (int I = 0; I < 4; ++I) {
    std::string Number = std::to_string(I);
    CHECK(Fleet.call(0, platformRequest("GET", "/look/" + Number)).Status_ ==
          503);
    CHECK_FALSE(
        Fleet.call(0, platformRequest("POST", "/draft/" + Number)).Complete_);
  }
  CHECK(Refusing.requests() > 0);
  CHECK(Breaking.requests() > 0);
  CHECK(DeskB.requests() + EngineB.requests() == 0);
}

// Rules E1, S1. Guards against requests that have reserved a place at a target
// with a limit, or wait for one, when its zone is evacuated.
TEST_CASE("platform: requests that wait for a place are not sent to an "
          "evacuated zone") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  auto Limited = [](RawServerConnection &Connection,
                    const RawRequest &Request) {
    Connection.write(rawAnswer(
        200, validResponseFields(Request) + "Server-Limit: 4\r\n", "done"));
    return true;
  };
  TargetDouble DeskB(Store, "desk-1", "desk", Limited, "b");
  PlatformFleet Fleet(Store, 1);
  std::atomic<bool> Ended{false};
  std::atomic<int> Refused{0};
  std::vector<std::thread> Callers;
  for (int I = 0; I < 12; ++I)
    Callers.emplace_back([&] {
      while (!Ended) {
        Refused +=
            Fleet.call(0, platformRequest("GET", "/look/1")).Status_ == 503;
        std::this_thread::sleep_for(Milliseconds{20});
      }
    });
  CHECK(eventually([&] { return DeskB.requests() > 14; }, Seconds{10}));
  Store.put(EvacuationOfB, json::object());
  // The places that requests have reserved are up to a second ahead.
  std::this_thread::sleep_for(Milliseconds{300});
  int Before = DeskB.requests();
  std::this_thread::sleep_for(Milliseconds{1500});
  Ended = true;
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(DeskB.requests() == Before);
  CHECK(Refused > 12);
}
