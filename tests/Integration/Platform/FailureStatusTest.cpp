#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

/// A handler that runs the request and fails it with \p Status. The answer does
/// not state that the request was not run.
RawServer::Handler failAfterRun(int Status) {
  return [Status](RawServerConnection &Connection, const RawRequest &Request) {
    Connection.write(rawAnswer(Status, validResponseFields(Request), "failed"));
    return true;
  };
}

} // namespace

// Rules REFUSED, TWICE. Pattern: a failing target runs a request and then
// answers with a status that promises callers that it has not run. Guards
// against passing that promise on, so that the caller sends the order again.
TEST_CASE("platform: a failure after a run is not passed on as a refusal") {
  int Status = GENERATE(408, 429, 503);
  CAPTURE(Status);
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  TargetDouble Desk(Store, "i-1", "desk", failAfterRun(Status));
  TargetDouble Engine(Store, "i-2", "engine", failAfterRun(Status));
  PlatformFleet Fleet(Store, 1);
  for (const char *Path : {"/order/1", "/once/1"}) {
    CAPTURE(Path);
    PlatformAnswer Answer = Fleet.call(0, platformRequest("POST", Path));
    CHECK(Answer.Status_ == 502);
    // The signature belongs to the target's own status only.
    CHECK(Answer.Head_.find("Response-Signature") == nullptr);
  }
  CHECK(Desk.requests() == 1);
  CHECK(Engine.requests() == 1);
}

// Guards against replacing a target's answer where its status makes no false
// promise, or where the request may run again.
TEST_CASE("platform: other failures of a target are passed on unchanged") {
  struct Failure {
    const char *Path_;
    int Status_;
  };
  auto [Path, Status] =
      GENERATE(Failure{"/look/1", 503}, Failure{"/look/1", 429},
               Failure{"/draft/1", 503}, Failure{"/order/1", 500},
               Failure{"/order/1", 404}, Failure{"/once/1", 500});
  CAPTURE(Path, Status);
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  TargetDouble Desk(Store, "i-1", "desk", failAfterRun(Status));
  TargetDouble Engine(Store, "i-2", "engine", failAfterRun(Status));
  PlatformFleet Fleet(Store, 1);
  PlatformAnswer Answer = Fleet.call(0, platformRequest("POST", Path));
  CHECK(Answer.Status_ == Status);
  CHECK(Answer.Body_ == "failed");
  CHECK(Answer.Head_.find("Response-Signature") != nullptr);
}

// Rule MIXED. Guards against an answer whose status does not exist that callers
// get as an answer.
TEST_CASE("platform: a status that does not exist is not passed on") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  auto AnswerNoStatus = [](RawServerConnection &Connection,
                           const RawRequest &Request) {
    Connection.write("HTTP/1.1 000 OK\r\n" + validResponseFields(Request) +
                     "Content-Length: 4\r\n\r\ndone");
    return true;
  };
  TargetDouble Desk(Store, "i-1", "desk", AnswerNoStatus);
  TargetDouble Engine(Store, "i-2", "engine", AnswerNoStatus);
  PlatformFleet Fleet(Store, 1);
  for (const char *Path : {"/order/1", "/look/1", "/once/1", "/draft/1"}) {
    CAPTURE(Path);
    PlatformAnswer Answer = Fleet.call(0, platformRequest("POST", Path));
    CHECK(Answer.Status_ == 502);
    CHECK(Answer.Head_.find("Response-Signature") == nullptr);
  }
}
