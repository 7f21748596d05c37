#include "Integration/Eventually.h"
#include "Integration/Platform/PlatformFleet.h"
#include "Support/Digest.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;
using nlohmann::json;

namespace {

/// A store that holds the initial configuration.
struct Platform {
  Platform() { Store_.put("op/config", platformConfiguration()); }
  StoreDouble Store_;
};

bool refuseAsFull(RawServerConnection &Connection, const RawRequest &Request) {
  Connection.write(rawAnswer(
      503,
      "Not-Executed: 1\r\nRequest-Id: " + Request.field("Request-Id") + "\r\n",
      ""));
  return true;
}

/// Streams two events and resets the connection within the third.
bool breakMidEvent(RawServerConnection &Connection, const RawRequest &Request) {
  Connection.write(
      streamHead(Request) + "Transfer-Encoding: chunked\r\n\r\n" +
      transport::encodeChunk(streamEvent(1) + streamEvent(2) + "id: 3\nda"));
  std::this_thread::sleep_for(Milliseconds{50});
  Connection.resetOnClose();
  return false;
}

} // namespace

// Rules UNASKED, DENIED. Guards against a host that does not serve, against
// targets that receive the caller's API key, and against requests without a
// valid key that reach a target.
TEST_CASE("platform: every host serves what the configuration allows") {
  Platform Setup;
  std::string Tenant;
  std::string Key = "none yet";
  TargetDouble Desk(
      Setup.Store_, "i-1", "desk",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        Tenant = Request.field("Tenant");
        Key = Request.field("Key");
        return answerDone(Connection, Request);
      });
  PlatformFleet Fleet(Setup.Store_, 3);
  for (std::size_t Host = 0; Host < 3; ++Host) {
    PlatformAnswer Answer = Fleet.call(Host, platformRequest("GET", "/look/1"));
    CHECK(Answer.Status_ == 200);
    CHECK(Answer.Body_ == "done");
    CHECK(Answer.Head_.find("Response-Signature"));
  }
  CHECK(Tenant == "t");
  CHECK(Key.empty());
  CHECK(Fleet.call(0, platformRequest("GET", "/none/1")).Status_ == 404);
  std::string UnknownKey = platformRequest("GET", "/look/1");
  UnknownKey.replace(UnknownKey.find("secret"), 6, "forged");
  CHECK(Fleet.call(0, UnknownKey).Status_ == 401);
  CHECK(Fleet.call(0, "GET / HTTP/1.1\r\nbad\r\n\r\n").Status_ == 400);
  CHECK(Desk.requests() == 3);
}

// Rules TWICE, REFUSED. Guards against an order that runs twice because its
// answer was lost, and against a "not run" answer to an order that ran.
TEST_CASE("platform: a lost answer is never repeated or called not run") {
  Platform Setup;
  TargetDouble FirstTarget(Setup.Store_, "i-1", "desk", resetWithoutAnswer);
  TargetDouble SecondTarget(Setup.Store_, "i-2", "desk", resetWithoutAnswer);
  PlatformFleet Fleet(Setup.Store_, 1);
  PlatformAnswer Answer =
      Fleet.call(0, platformRequest("POST", "/order/1", "", "wood"));
  CHECK(Answer.Status_ == 502);
  CHECK(FirstTarget.requests() + SecondTarget.requests() == 1);
}

// Rules TWICE, REFUSED. Guards against orders that fail although a target has
// free capacity, and against a wrong refusal.
TEST_CASE("platform: an order goes on only after a target did not run it") {
  Platform Setup;
  TargetDouble FullTarget(Setup.Store_, "i-1", "desk", refuseAsFull);
  PlatformFleet Fleet(Setup.Store_, 1);
  PlatformAnswer Refused = Fleet.call(0, platformRequest("POST", "/order/1"));
  CHECK(Refused.Status_ == 503);
  CHECK(Refused.Head_.find("Retry-After"));
  CHECK_FALSE(Refused.Head_.find("Response-Signature"));
  TargetDouble FreeTarget(Setup.Store_, "i-2", "desk", answerDone);
  // The entry host may try either target first.
  CHECK(eventually(
      [&] {
        return Fleet.call(0, platformRequest("POST", "/order/2")).Status_ ==
               200;
      },
      Seconds{3}));
}

// Rule MIXED. Guards against passing on the answer to another request, a
// truncated answer, or an answer that the target has not signed.
TEST_CASE("platform: only a target's own whole answer is passed on") {
  Platform Setup;
  std::string Mode;
  TargetDouble Desk(
      Setup.Store_, "i-1", "desk",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        std::string Whole =
            rawAnswer(200, validResponseFields(Request), "done");
        if (Mode == "crossed")
          Connection.write(
              rawAnswer(200, "Request-Id: other\r\nResponse-Signature: s\r\n",
                        "foreign"));
        if (Mode == "cut") {
          Connection.write(Whole.substr(0, Whole.size() - 2));
          return false;
        }
        if (Mode == "cut within the head") {
          Connection.write(Whole.substr(0, Whole.find("\r\n\r\n")));
          return false;
        }
        if (Mode == "unsigned")
          Whole = rawAnswer(
              200, "Request-Id: " + Request.field("Request-Id") + "\r\n", "x");
        Connection.write(Whole);
        if (Mode == "extra")
          Connection.write(Whole);
        return true;
      });
  PlatformFleet Fleet(Setup.Store_, 1);
  for (const char *ValidMode : {"crossed", "extra", "extra"}) {
    Mode = ValidMode;
    INFO(Mode);
    PlatformAnswer Answer = Fleet.call(0, platformRequest("POST", "/order/1"));
    CHECK(Answer.Status_ == 200);
    CHECK(Answer.Body_ == "done");
  }
  for (const char *InvalidMode : {"cut", "cut within the head", "unsigned"}) {
    Mode = InvalidMode;
    INFO(Mode);
    CHECK(Fleet.call(0, platformRequest("POST", "/order/1")).Status_ == 502);
  }
}

// Rule ORDER. Guards against an interrupted stream that looks complete, and
// against a partial event.
TEST_CASE("platform: a stream that may not be resumed is visibly truncated") {
  Platform Setup;
  TargetDouble Breaking(Setup.Store_, "i-1", "engine", breakMidEvent);
  PlatformFleet Fleet(Setup.Store_, 1);
  PlatformAnswer Broken = Fleet.call(0, platformRequest("POST", "/once/1"));
  CHECK(Broken.Status_ == 200);
  CHECK_FALSE(Broken.Complete_);
  CHECK(Broken.Body_ == streamEvent(1) + streamEvent(2));
  CHECK(Breaking.requests() == 1);
}

// Rule ORDER. Guards against events that are lost, duplicated or merged when a
// stream breaks in the middle of an event and another engine continues it.
TEST_CASE("platform: a broken stream is continued at another engine") {
  Platform Setup;
  TargetDouble Breaking(Setup.Store_, "i-1", "engine", breakMidEvent);
  TargetDouble Resuming(Setup.Store_, "i-2", "engine", streamAll);
  PlatformFleet Fleet(Setup.Store_, 1);
  // The prompt prefix determines which engine is tried first.
  for (int Prompt = 0; Prompt < 40 && Breaking.requests() == 0; ++Prompt) {
    std::string Fields =
        "Token-Count: 200,10\r\nPrompt-Prefix: " + std::to_string(Prompt) +
        ":100,ff:100\r\n";
    PlatformAnswer Answer =
        Fleet.call(0, platformRequest("POST", "/draft/1", Fields));
    CHECK(Answer.Complete_);
    CHECK(Answer.Body_ ==
          streamEvent(1) + streamEvent(2) + streamEvent(3) + streamEvent(4));
  }
  CHECK(Breaking.requests() == 1);
}

// Rules ORDER, MIXED. Guards against the text or the head of an error in the
// middle of a stream, and against a stream that looks complete, when the engine
// that should continue it answers with an error.
TEST_CASE("platform: an error instead of the rest of a stream truncates it") {
  int Status = GENERATE(404, 500, 503);
  Platform Setup;
  auto BreakOrFail = [Status](RawServerConnection &Connection,
                              const RawRequest &Request) {
    if (Request.field("Last-Event-Id").empty())
      return breakMidEvent(Connection, Request);
    Connection.write(
        rawAnswer(Status, validResponseFields(Request), "error text"));
    return true;
  };
  TargetDouble First(Setup.Store_, "i-1", "engine", BreakOrFail);
  TargetDouble Second(Setup.Store_, "i-2", "engine", BreakOrFail);
  PlatformFleet Fleet(Setup.Store_, 1);
  PlatformAnswer Broken = Fleet.call(0, platformRequest("POST", "/draft/1"));
  CHECK(Broken.Status_ == 200);
  CHECK_FALSE(Broken.Complete_);
  CHECK(Broken.Body_ == streamEvent(1) + streamEvent(2));
  CHECK(First.requests() + Second.requests() == 2);
}

// Rule LOST. Guards against a record of another writer that ends the hosts that
// read it, or makes them stop following the targets.
TEST_CASE("platform: odd records among those of the targets stop no host") {
  Platform Setup;
  auto Record = [](const std::string &Address, const std::string &Slots) {
    return R"({"service":"desk","address":")" + Address +
           R"(","zone":"a","version":"v1","state":"ready","born":1,)" +
           R"("cold_remaining_ms":0,"sequence":1,"slots":)" + Slots + "}";
  };
  std::size_t Depth = 300000;
  const std::vector<std::string> OddValues = {
      std::string(Depth, '['),
      std::string(Depth, '[') + std::string(Depth, ']'),
      R"({"service":)" + std::string(Depth, '[') + std::string(Depth, ']') +
          "}",
      Record("127.0.0.1:99999", "8"),
      Record("127.0.0.1:-1", "8"),
      Record("[::1", "8"),
      Record("", "8"),
      Record("127.0.0.1:1", "1e400"),
      Record("127.0.0.1:1", "99999999999999999999999999"),
      Record("127.0.0.1:1", "-7"),
      "\xff\xfe",
      ""};
  PlatformFleet Fleet(Setup.Store_, 3);
  for (std::size_t I = 0; I < OddValues.size(); ++I)
    Setup.Store_.putBytes("servers/odd-" + std::to_string(I), OddValues[I]);
  TargetDouble Sound(Setup.Store_, "i-1", "desk", answerDone);
  for (std::size_t Host = 0; Host < 3; ++Host) {
    INFO("host " << Host);
    CHECK(eventually([&] {
      return Fleet.call(Host, platformRequest("GET", "/look/1")).Status_ == 200;
    }));
    CHECK_FALSE(Fleet.process(Host).waitExit(Milliseconds{0}));
  }
}

// Guards against one malformed message that ends a process: a piece whose id or
// key is no text was passed on from host to host and ended each dispatcher.
TEST_CASE("platform: bytes that are no text stop no host") {
  Platform Setup;
  std::unique_ptr<TargetDouble> StageTarget;
  StageTarget = std::make_unique<TargetDouble>(
      Setup.Store_, "i-1", "stage",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        return answerStageCall(Connection, Request, StageTarget->address());
      });
  TargetDouble Engine(Setup.Store_, "i-2", "engine", streamAll);
  PlatformFleet Fleet(Setup.Store_, 3);
  auto SoundRequest = [] {
    return platformRequest("POST", "/guide/1",
                           "Pieces: 1,2\r\nPiece-Key: k\r\n");
  };
  std::string BadId = SoundRequest();
  std::size_t Id = BadId.find("Request-Id: ") + 12;
  BadId.replace(Id, 1, "\xff");
  const std::string BadKey = platformRequest(
      "POST", "/guide/1", "Pieces: 1,2\r\nPiece-Key: \xc3(\r\n");
  const std::string ManyPieces = platformRequest(
      "POST", "/guide/1", "Pieces: 1,400000000\r\nPiece-Key: k\r\n");
  for (const std::string &Malformed : {BadId, BadKey, ManyPieces})
    for (std::size_t Host = 0; Host < 3; ++Host)
      CHECK(Fleet.call(Host, Malformed).Status_ == 400);
  for (std::size_t Host = 0; Host < 3; ++Host) {
    CHECK(Fleet.call(Host, SoundRequest()).Status_ == 200);
    CHECK_FALSE(Fleet.process(Host).waitExit(Milliseconds{0}));
  }
}

// Rule GONE. Guards against targets that work for disconnected callers.
TEST_CASE("platform: the target's connection closes when the caller leaves") {
  Platform Setup;
  std::atomic<bool> Closed{false};
  std::atomic<bool> Started{false};
  TargetDouble Slow(Setup.Store_, "i-1", "desk",
                    [&](RawServerConnection &Connection, const RawRequest &) {
                      Started = true;
                      Closed = Connection.waitForClose(2000);
                      return false;
                    });
  PlatformFleet Fleet(Setup.Store_, 1);
  Fleet.sendAndDisconnect(0, platformRequest("GET", "/look/1"),
                          Milliseconds{300});
  CHECK(Started);
  CHECK(eventually([&] { return Closed.load(); }, Milliseconds{500}));
}

// Rules CONFIG, LOST. Guards against hosts that miss a configuration change,
// and against hosts that lose the configuration or stop serving while the store
// is down.
TEST_CASE("platform: configurations reach all hosts and outlast the store") {
  Platform Setup;
  TargetDouble Desk(Setup.Store_, "i-1", "desk", answerDone);
  PlatformFleet Fleet(Setup.Store_, 3);
  json Changed = platformConfiguration();
  Changed["version"] = 2;
  Changed["routes"][0]["prefix"] = "/found/";
  Setup.Store_.put("op/config", Changed);
  CHECK(eventually(
      [&] {
        for (std::size_t Host = 0; Host < 3; ++Host)
          if (Fleet.call(Host, platformRequest("GET", "/found/1")).Status_ !=
                  200 ||
              Fleet.call(Host, platformRequest("GET", "/look/1")).Status_ !=
                  404)
            return false;
        return true;
      },
      Seconds{2}));
  Setup.Store_.setDown(true);
  std::this_thread::sleep_for(Seconds{2});
  for (std::size_t Host = 0; Host < 3; ++Host)
    CHECK(Fleet.call(Host, platformRequest("GET", "/found/1")).Status_ == 200);
  Setup.Store_.setDown(false);
  Changed["version"] = 3;
  Changed["routes"][0]["prefix"] = "/third/";
  Setup.Store_.put("op/config", Changed);
  CHECK(eventually(
      [&] {
        for (std::size_t Host = 0; Host < 3; ++Host)
          if (Fleet.call(Host, platformRequest("GET", "/third/1")).Status_ !=
              200)
            return false;
        return true;
      },
      Seconds{4}));
}

// Rule DRAIN. Guards against new requests to a target that is draining or no
// longer registered.
TEST_CASE("platform: a leaving target gets no new request") {
  Platform Setup;
  TargetDouble Leaving(Setup.Store_, "i-1", "desk", answerDone);
  TargetDouble Removed(Setup.Store_, "i-2", "desk", answerDone);
  TargetDouble Remaining(Setup.Store_, "i-3", "desk", answerDone);
  PlatformFleet Fleet(Setup.Store_, 2);
  Leaving.setDraining();
  Setup.Store_.remove("servers/i-2");
  std::this_thread::sleep_for(Milliseconds{500});
  int Before = Leaving.requests() + Removed.requests();
  for (int I = 0; I < 40; ++I)
    CHECK(Fleet.call(I % 2, platformRequest("GET", "/look/1")).Status_ == 200);
  CHECK(Leaving.requests() + Removed.requests() == Before);
  CHECK(Remaining.requests() >= 40);
}

// Rules LOST, DRAIN. Guards against a graceful stop that aborts a request in
// progress, or that leaves the host in the directory.
TEST_CASE("platform: a stopping host finishes its requests and leaves the "
          "directory") {
  Platform Setup;
  std::atomic<bool> Started{false};
  TargetDouble Slow(
      Setup.Store_, "i-1", "desk",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        Started = true;
        std::this_thread::sleep_for(Milliseconds{1500});
        return answerDone(Connection, Request);
      });
  PlatformFleet Fleet(Setup.Store_, 2);
  PlatformAnswer Answer;
  std::thread Caller(
      [&] { Answer = Fleet.call(0, platformRequest("POST", "/order/1")); });
  CHECK(eventually([&] { return Started.load(); }, Seconds{3}));
  Fleet.process(0).terminate();
  CHECK(eventually(
      [&] {
        return !Fleet.isReady(0) && Fleet.resolveEntryHosts(1).size() == 1;
      },
      Seconds{1}));
  Caller.join();
  CHECK(Answer.Status_ == 200);
  std::optional<ExitStatus> Exit = Fleet.process(0).waitExit(Seconds{9});
  REQUIRE(Exit);
  CHECK(Exit->Code_ == 0);
  CHECK(Exit->Signal_ == 0);
}

// Pattern: a planned stop under load. Guards against cutting off a request of
// which a part has arrived when the host has no other request in progress.
TEST_CASE("platform: a stopping host answers a request that it is reading") {
  Platform Setup;
  TargetDouble Desk(Setup.Store_, "i-1", "desk", answerDone);
  PlatformFleet Fleet(Setup.Store_, 1);
  std::string Request = platformRequest("POST", "/order/1", "", "wood");
  Fleet.process(0).terminate();
  // The host accepts connections for three seconds more.
  std::this_thread::sleep_for(Milliseconds{2500});
  PlatformAnswer Answer =
      Fleet.callWithPause(0, Request, Request.size() / 2, Milliseconds{1200});
  CHECK(Answer.Status_ == 200);
  CHECK(Answer.Body_ == "done");
  std::optional<ExitStatus> Exit = Fleet.process(0).waitExit(Seconds{9});
  REQUIRE(Exit);
  CHECK(Exit->Code_ == 0);
}

// Rule MIXED, for pieces. Guards against an engine that receives the results of
// another stage or none, and against stage work that stops with one host:
// whichever of the three is the dispatcher (the entry host that composes the
// calls to stage targets), the others take over.
TEST_CASE("platform: stages are made although a host is killed") {
  Platform Setup;
  std::string Inputs;
  std::unique_ptr<TargetDouble> StageTarget;
  StageTarget = std::make_unique<TargetDouble>(
      Setup.Store_, "i-1", "stage",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        return answerStageCall(Connection, Request, StageTarget->address());
      });
  TargetDouble Engine(
      Setup.Store_, "i-2", "engine",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        Inputs = Request.field("Inputs");
        return streamAll(Connection, Request);
      });
  PlatformFleet Fleet(Setup.Store_, 3);
  std::string Fields = "Pieces: 1,2\r\nPiece-Key: k\r\n";
  auto RequestSucceeds = [&](std::size_t Host) {
    PlatformAnswer Answer =
        Fleet.call(Host, platformRequest("POST", "/guide/1", Fields));
    return Answer.Status_ == 200 && Answer.Complete_;
  };
  CHECK(RequestSucceeds(0));
  CHECK(std::count(Inputs.begin(), Inputs.end(), ',') == 1);
  CHECK(Inputs.find(StageTarget->address() + "/") == 0);
  Fleet.process(1).kill();
  Fleet.process(1).waitExit(Seconds{2});
  // The requests succeed even before the other hosts detect the failure.
  CHECK(RequestSucceeds(0));
  CHECK(RequestSucceeds(2));
  CHECK(eventually([&] { return Fleet.resolveEntryHosts(0).size() == 2; },
                   Seconds{3}));
}
