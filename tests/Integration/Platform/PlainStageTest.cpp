#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>

using namespace amaranth;
using namespace amaranth::integration;
using nlohmann::json;

namespace {

/// A route of plain requests to "desk" that need both stages of "/guide/".
json stagedRoute(const json &Configuration, const std::string &Prefix,
                 const std::string &Kind) {
  json Staged;
  for (const json &Route : Configuration.at("routes"))
    if (Route.at("prefix") == "/guide/")
      Staged = Route;
  Staged["name"] = Prefix;
  Staged["prefix"] = Prefix;
  Staged["kind"] = Kind;
  Staged["service"] = "desk";
  return Staged;
}

struct StagedPlatform {
  StagedPlatform() {
    json Configuration = platformConfiguration();
    for (const char *Kind : {"idempotent", "non_idempotent"})
      Configuration["routes"].push_back(
          stagedRoute(Configuration, std::string("/") + Kind + "/", Kind));
    Store_.put("op/config", Configuration);
    Stage_ = std::make_unique<TargetDouble>(
        Store_, "i-1", "stage",
        [this](RawServerConnection &Connection, const RawRequest &Request) {
          return answerStageCall(Connection, Request, Stage_->address());
        });
  }

  static std::string request(const std::string &Kind) {
    return platformRequest("POST", "/" + Kind + "/1",
                           "Pieces: 1,2\r\nPiece-Key: k\r\n");
  }

  StoreDouble Store_;
  std::unique_ptr<TargetDouble> Stage_;
};

} // namespace

// Rules CONFIG, LOST. Guards against plain requests whose route has stages: the
// target ran them, and the caller got a failure in place of the answer.
TEST_CASE("platform: a plain request with stages is served") {
  StagedPlatform Setup;
  std::string Inputs;
  TargetDouble Desk(
      Setup.Store_, "i-2", "desk",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        Inputs = Request.field("Inputs");
        return answerDone(Connection, Request);
      });
  PlatformFleet Fleet(Setup.Store_, 2);
  for (const char *Kind : {"idempotent", "non_idempotent"})
    for (std::size_t Host : {0U, 1U}) {
      CAPTURE(Kind, Host);
      Inputs.clear();
      PlatformAnswer Answer = Fleet.call(Host, StagedPlatform::request(Kind));
      CHECK(Answer.Status_ == 200);
      CHECK(Answer.Body_ == "done");
      CHECK(std::count(Inputs.begin(), Inputs.end(), ',') == 1);
    }
  CHECK(Desk.requests() == 4);
}

// Guards against a request that is sent again with inputs that are gone, or is
// refused because of them.
TEST_CASE("platform: lost inputs of a plain request are made again") {
  StagedPlatform Setup;
  std::atomic<bool> AreInputsGone{true};
  auto Handle = [&](RawServerConnection &Connection,
                    const RawRequest &Request) {
    if (!AreInputsGone.exchange(false))
      return answerDone(Connection, Request);
    Connection.write(rawAnswer(409,
                               "Not-Executed: 1\r\nRequest-Id: " +
                                   Request.field("Request-Id") + "\r\n",
                               ""));
    return true;
  };
  TargetDouble One(Setup.Store_, "i-2", "desk", Handle);
  TargetDouble Two(Setup.Store_, "i-3", "desk", Handle);
  PlatformFleet Fleet(Setup.Store_, 1);
  int CallsBefore = Setup.Stage_->requests();
  CHECK(Fleet.call(0, StagedPlatform::request("non_idempotent")).Status_ ==
        200);
  CHECK(One.requests() + Two.requests() == 2);
  CHECK(Setup.Stage_->requests() > CallsBefore + 2);
}

// Guards against a plain request that waits for its deadline although its
// stages cannot be made, and against one that reaches a target without them.
TEST_CASE("platform: a plain request whose stages fail is refused") {
  StagedPlatform Setup;
  TargetDouble Desk(Setup.Store_, "i-2", "desk", answerDone);
  Setup.Stage_.reset();
  PlatformFleet Fleet(Setup.Store_, 1);
  for (const char *Kind : {"idempotent", "non_idempotent"}) {
    CAPTURE(Kind);
    PlatformAnswer Answer = Fleet.call(0, StagedPlatform::request(Kind));
    CHECK(Answer.Status_ == 503);
    CHECK(Answer.Head_.find("Retry-After"));
  }
  CHECK(Desk.requests() == 0);
}
