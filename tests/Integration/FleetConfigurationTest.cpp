#include "Integration/FleetHarness.h"
#include "Support/Digest.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;
using transport::HttpOutcome;
using Json = nlohmann::json;

namespace {

constexpr const char *Service = "catalogue";
constexpr const char *ServiceKey = "/amaranth/services/catalogue";
const Json LookUp = {{"call", "look-up"}, {"body", Json::object()}};

Json parseBody(const HttpOutcome &Outcome) {
  return Json::parse(Outcome.Reply_.Body_, nullptr, false);
}

/// Stored entry of \p Key; null if there is none.
Json storedKey(FleetHarness &Fleet, const std::string &Key) {
  const Json Dump = Fleet.keyValue().get("/standin/keys");
  for (const Json &Entry : Dump.at("keys"))
    if (Entry.at("key") == Key)
      return Entry;
  return nullptr;
}

/// Writes to the key-value service without a daemon; returns the revision.
std::uint64_t writeDirectly(FleetHarness &Fleet, const std::string &Key,
                            const std::string &Value) {
  Fleet.keyValue().post("/v3/kv/put", {{"key", base64Encode(Key)},
                                       {"value", base64Encode(Value)}});
  return storedKey(Fleet, Key).at("mod_revision").get<std::uint64_t>();
}

/// The value under which a daemon stores \p Document.
std::string storedValue(const std::string &Document) {
  return Json{{"change_id", "direct-" + randomHex(4)},
              {"deleted", false},
              {"document", Document}}
      .dump();
}

std::int64_t executions(StandinProcess &Target) {
  return Target.get("/standin/executions").at("count").get<std::int64_t>();
}

/// Time of the last execution at \p Target in milliseconds since the epoch; 0
/// if there is none.
std::int64_t latestEffect(StandinProcess &Target) {
  std::int64_t Latest = 0;
  const Json Effects = Target.get("/standin/executions");
  for (const Json &Effect : Effects.at("executions"))
    Latest = std::max(Latest, Effect.at("time_ms").get<std::int64_t>());
  return Latest;
}

/// Number of reader leases. A reader is a daemon that watches the key-value
/// service and passes changes on to its data centre.
std::int64_t readerLeases(FleetHarness &Fleet) {
  const Json Dump = Fleet.keyValue().get("/standin/keys");
  return std::count_if(Dump.at("keys").begin(), Dump.at("keys").end(),
                       [](const Json &Entry) {
                         return Entry.at("key").get<std::string>().starts_with(
                             "/amaranth/leases/reader/");
                       });
}

/// True if \p ExpectedReaders readers hold leases and no new watch is opened
/// for more than twice the period at which a reader without a watch retries.
bool readersStable(FleetHarness &Fleet, std::int64_t ExpectedReaders) {
  constexpr Milliseconds StablePeriod{2500};
  const Json CountersBefore = Fleet.keyValue().get("/standin/counters");
  if (readerLeases(Fleet) != ExpectedReaders ||
      CountersBefore.value("watch", 0) < ExpectedReaders)
    return false;
  return !eventually(
      [&] {
        const Json Now = Fleet.keyValue().get("/standin/counters");
        return Now.value("watch", 0) != CountersBefore.value("watch", 0);
      },
      StablePeriod);
}

/// Two targets, each used by one of two documents. The target that a request
/// reaches shows which document the daemon uses.
struct TwoTargets {
  StandinProcess Old_{"service", {"--service-us=500"}};
  StandinProcess New_{"service", {"--service-us=500"}};

  std::string oldDocument() const {
    return FleetHarness::plainServiceDocument(Service, {Old_.address()});
  }
  std::string newDocument() const {
    return FleetHarness::plainServiceDocument(Service, {New_.address()});
  }
};

} // namespace

// Guards against an accepted change that does not reach every daemon of every
// data centre in time.
TEST_CASE("fleet: an applied document is in force at every daemon in time") {
  TwoTargets Targets;
  FleetHarness Fleet({});
  std::uint64_t Revision = 0;
  // Each daemon accepts one change, whether it is a reader or not.
  for (std::size_t I = 0; I < Fleet.size(); ++I) {
    Revision = Fleet.applyOrThrow(I, Service, Revision,
                                  I % 2 == 0 ? Targets.oldDocument()
                                             : Targets.newDocument());
    CHECK(Fleet.waitInForce(Service, Revision));
  }
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    CHECK(Fleet.submit(I, Service, LookUp).Reply_.Status_ == 200);
  CHECK(executions(Targets.Old_) == 5);
  CHECK(executions(Targets.New_) == 0);
}

// Guards against two operators whose changes to the same revision are both
// reported as accepted.
TEST_CASE("fleet: of operators who race on one revision exactly one wins") {
  TwoTargets Targets;
  FleetHarness Fleet({});
  constexpr int Rounds = 10;
  std::uint64_t Revision = 0;
  for (int Round = 0; Round < Rounds; ++Round) {
    std::vector<HttpOutcome> Outcomes(Fleet.size());
    std::vector<std::thread> Operators;
    auto RacingDocument = [&](std::size_t I) {
      return "# operator " + std::to_string(I) + " in round " +
             std::to_string(Round) + "\n" + Targets.oldDocument();
    };
    for (std::size_t I = 0; I < Fleet.size(); ++I)
      Operators.emplace_back([&, I] {
        Outcomes[I] = Fleet.apply(I, Service, Revision, RacingDocument(I),
                                  "race-" + std::to_string(Round) + "-" +
                                      std::to_string(I));
      });
    for (std::thread &Operator : Operators)
      Operator.join();
    std::vector<std::size_t> Winners;
    for (std::size_t I = 0; I < Fleet.size(); ++I)
      if (Outcomes[I].Reply_.Status_ == 200)
        Winners.push_back(I);
    REQUIRE(Winners.size() == 1);
    Revision = parseBody(Outcomes[Winners.front()]).at("revision");
    for (std::size_t I = 0; I < Fleet.size(); ++I) {
      if (I == Winners.front())
        continue;
      CHECK(Outcomes[I].Reply_.Status_ == 409);
      CHECK(parseBody(Outcomes[I]).at("revision") == Revision);
      CHECK(parseBody(Outcomes[I]).at("document") ==
            RacingDocument(Winners.front()));
    }
    CHECK(storedKey(Fleet, ServiceKey).at("version") == Round + 1);
  }
  CHECK(Fleet.waitInForce(Service, Revision));
}

// Guards against a change that is made twice, or reported as a conflict with
// itself, because the reply to its write was lost.
TEST_CASE("fleet: a change whose write lost its reply takes effect once") {
  TwoTargets Targets;
  FleetHarnessSettings Settings;
  Settings.ProxyKeyValue_ = true;
  FleetHarness Fleet(Settings);
  std::uint64_t FirstRevision =
      Fleet.applyOrThrow(0, Service, 0, Targets.oldDocument());
  REQUIRE(Fleet.waitInForce(Service, FirstRevision));

  SECTION("the daemon itself repeats the write") {
    Fleet.keyValue().put("/standin/lost-replies",
                         {{"key_prefix", "/amaranth/services/"}, {"count", 1}});
    HttpOutcome WithoutReply =
        Fleet.apply(1, Service, FirstRevision, Targets.newDocument(), "lost-1");
    CHECK(WithoutReply.Reply_.Status_ == 200);
    CHECK(Fleet.keyValue().get("/standin/lost-replies").at("count") == 0);
    HttpOutcome Repeated =
        Fleet.apply(1, Service, FirstRevision, Targets.newDocument(), "lost-1");
    CHECK(Repeated.Reply_.Status_ == 200);
    CHECK(parseBody(Repeated) == parseBody(WithoutReply));
  }
  SECTION("no reply reaches the daemon and the operator repeats") {
    Fleet.keyValueProxy(1).setSwitches({{"drop_replies", true}});
    HttpOutcome WithoutReply =
        Fleet.apply(1, Service, FirstRevision, Targets.newDocument(), "lost-2");
    CHECK(WithoutReply.Reply_.Status_ == 503);
    CHECK(parseBody(WithoutReply).at("outcome") == "unknown");
    CHECK(parseBody(WithoutReply).at("retry_with") == "same_request");
    // The repeated request may go to any daemon.
    HttpOutcome Repeated =
        Fleet.apply(2, Service, FirstRevision, Targets.newDocument(), "lost-2");
    CHECK(Repeated.Reply_.Status_ == 200);
  }
  Json Stored = storedKey(Fleet, ServiceKey);
  CHECK(Stored.at("version") == 2);
  CHECK(Fleet.waitInForce(Service, Stored.at("mod_revision")));
  // A different change id on the old revision is a conflict, not a repetition.
  CHECK(Fleet.apply(3, Service, FirstRevision, Targets.newDocument(), "other")
            .Reply_.Status_ == 409);
}

// Guards against an outage of the key-value service that makes daemons drop
// documents or fail idempotent calls, during which apply reports success, or
// after which changes no longer arrive.
TEST_CASE("fleet: documents stay in force while the key-value service is out") {
  TwoTargets Targets;
  FleetHarness Fleet({});
  std::uint64_t FirstRevision =
      Fleet.applyOrThrow(0, Service, 0, Targets.oldDocument());
  REQUIRE(Fleet.waitInForce(Service, FirstRevision));
  // Otherwise a host that becomes a reader after the outage could deliver the
  // changes although the old readers fail to reopen their watches.
  REQUIRE(eventually([&] { return readersStable(Fleet, 4); }));
  const bool IsSilent = GENERATE(false, true);
  const char *Switch = IsSilent ? "hang" : "outage";
  CAPTURE(Switch);
  Fleet.keyValue().setSwitches({{Switch, true}});
  for (std::size_t I : {1U, 4U}) {
    HttpOutcome Refused =
        Fleet.apply(I, Service, FirstRevision, Targets.newDocument(),
                    "during-" + std::to_string(I));
    CHECK(Refused.Reply_.Status_ == 503);
    // An error reply proves that nothing was written; a missing reply does not.
    CHECK(parseBody(Refused).at("outcome") ==
          (IsSilent ? "unknown" : "not_run"));
  }
  for (std::size_t I = 0; I < Fleet.size(); ++I) {
    CHECK(Fleet.submit(I, Service, LookUp).Reply_.Status_ == 200);
    CHECK(Fleet.revisionAt(I, Service) == FirstRevision);
  }
  CHECK(executions(Targets.New_) == 0);
  Fleet.keyValue().setSwitches({{Switch, false}});
  CHECK(storedKey(Fleet, ServiceKey).at("mod_revision") == FirstRevision);
  std::uint64_t SecondRevision = 0;
  REQUIRE(eventually([&] {
    HttpOutcome Accepted = Fleet.apply(
        1, Service, FirstRevision, Targets.newDocument(), "after-the-outage");
    if (Accepted.Reply_.Status_ != 200)
      return false;
    SecondRevision = parseBody(Accepted).at("revision");
    return true;
  }));
  CHECK(Fleet.waitInForce(Service, SecondRevision));
  // Written without a daemon, so that it arrives only through a reader's watch.
  std::uint64_t ThirdRevision =
      writeDirectly(Fleet, ServiceKey, storedValue(Targets.oldDocument()));
  CHECK(Fleet.waitInForce(Service, ThirdRevision));
}

// Guards against a new daemon that serves without documents, or with outdated
// ones, because it cannot read the key-value service.
TEST_CASE("fleet: a daemon started during an outage takes documents from "
          "peers and answers nothing before") {
  TwoTargets Targets;
  FleetHarness Fleet({});
  std::uint64_t FirstRevision =
      Fleet.applyOrThrow(0, Service, 0, Targets.oldDocument());
  std::uint64_t SecondRevision =
      Fleet.applyOrThrow(1, Service, FirstRevision, Targets.newDocument());
  REQUIRE(Fleet.waitInForce(Service, SecondRevision));
  Fleet.keyValue().setSwitches({{"outage", true}});

  DaemonProcessSettings IsolatedSettings = Fleet.daemonSettings(Fleet.size());
  IsolatedSettings.Host_ = "alone";
  IsolatedSettings.Seeds_.clear();
  std::size_t IsolatedDaemon = Fleet.addDaemon(IsolatedSettings);
  DaemonProcessSettings LateSettings = Fleet.daemonSettings(0);
  LateSettings.Host_ = "late";
  LateSettings.Seeds_ = {Fleet.daemon(0).peerAddress()};
  std::size_t LateDaemon = Fleet.addDaemon(LateSettings);
  REQUIRE(eventually([&] {
    HttpOutcome Answer = Fleet.submit(LateDaemon, Service, LookUp);
    if (Answer.Reply_.Status_ == 200)
      return true;
    CHECK(Answer.Reply_.Status_ >= 400);
    return false;
  }));
  CHECK(Fleet.isReady(LateDaemon));
  CHECK(Fleet.revisionAt(LateDaemon, Service) == SecondRevision);
  CHECK(executions(Targets.Old_) == 0);
  // A daemon without peers has no source of documents.
  CHECK_FALSE(Fleet.isReady(IsolatedDaemon));
  CHECK(Fleet.submit(IsolatedDaemon, Service, LookUp).Reply_.Status_ >= 400);
  Fleet.keyValue().setSwitches({{"outage", false}});
  CHECK(eventually([&] { return Fleet.isReady(IsolatedDaemon); }));
  CHECK(Fleet.revisionAt(IsolatedDaemon, Service) == SecondRevision);
}

// Guards against a daemon that resumes after a pause and keeps serving a
// document that was replaced in the meantime.
TEST_CASE("fleet: a paused daemon serves the new document once it is back") {
  constexpr Milliseconds IsolationLimit{2000};
  TwoTargets Targets;
  FleetHarnessSettings Settings;
  Settings.ExtraSettings_ = "isolation_limit_ms = 2000\n";
  FleetHarness Fleet(Settings);
  std::uint64_t FirstRevision =
      Fleet.applyOrThrow(0, Service, 0, Targets.oldDocument());
  REQUIRE(Fleet.waitInForce(Service, FirstRevision));
  // A reader of data centre 1, and all daemons of data centre 0. One of those
  // is not a reader and receives changes only from peers.
  const std::size_t PausedDaemon = GENERATE(1U, 0U, 2U, 4U);
  const std::size_t RunningDaemon = PausedDaemon == 4 ? 0 : PausedDaemon + 1;
  Fleet.daemon(PausedDaemon).process().stop();
  std::uint64_t SecondRevision = Fleet.applyOrThrow(
      RunningDaemon, Service, FirstRevision, Targets.newDocument());
  std::vector<std::size_t> RunningDaemons;
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    if (I != PausedDaemon)
      RunningDaemons.push_back(I);
  REQUIRE(Fleet.waitInForce(Service, SecondRevision, RunningDaemons));
  REQUIRE(eventually([&] {
    return Fleet.memberStatus(RunningDaemon,
                              "host-" + std::to_string(PausedDaemon)) == "dead";
  }));
  const std::int64_t ResumedAt = unixTimeNow().count();
  Fleet.daemon(PausedDaemon).process().resume();
  REQUIRE(eventually([&] {
    Fleet.submit(PausedDaemon, Service, LookUp);
    return executions(Targets.New_) > 0;
  }));
  CHECK(Fleet.waitInForce(Service, SecondRevision));
  CHECK(latestEffect(Targets.Old_) < ResumedAt + IsolationLimit.count());
  // It does not go back to the old document.
  std::int64_t ExecutionsBefore = executions(Targets.Old_);
  for (int I = 0; I < 20; ++I)
    CHECK(Fleet.submit(PausedDaemon, Service, LookUp).Reply_.Status_ == 200);
  CHECK(executions(Targets.Old_) == ExecutionsBefore);
}

// Guards against a daemon without contact to peers and key-value service that
// serves a document for longer than the isolation limit.
TEST_CASE("fleet: a daemon cut off from peers and key-value service stops "
          "serving") {
  constexpr Milliseconds IsolationLimit{2000};
  // Allows for the period of the isolation check and for calls in flight.
  constexpr Milliseconds Tolerance{1500};
  constexpr std::size_t IsolatedIndex = 4;
  TwoTargets Targets;
  FleetHarnessSettings Settings;
  Settings.ProxyKeyValue_ = true;
  Settings.ExtraSettings_ = "isolation_limit_ms = 2000\n";
  FleetHarness Fleet(Settings);
  std::uint64_t FirstRevision =
      Fleet.applyOrThrow(0, Service, 0, Targets.oldDocument());
  REQUIRE(Fleet.waitInForce(Service, FirstRevision));
  Fleet.keyValueProxy(IsolatedIndex).post("/standin/freeze", Json::object());
  Fleet.keyValueProxy(IsolatedIndex).setSwitches({{"blackhole", true}});
  for (std::size_t I = 0; I < IsolatedIndex; ++I)
    Fleet.daemon(I).process().stop();
  const std::int64_t IsolatedAt = unixTimeNow().count();
  std::uint64_t SecondRevision =
      writeDirectly(Fleet, ServiceKey, storedValue(Targets.newDocument()));
  // An isolated daemon refuses requests without running them.
  REQUIRE(eventually([&] {
    HttpOutcome Answer = Fleet.submit(IsolatedIndex, Service, LookUp);
    if (Answer.Reply_.Status_ == 200)
      return false;
    return Answer.Reply_.Status_ == 503 &&
           parseBody(Answer).at("type") == "isolated" &&
           parseBody(Answer).at("outcome") == "not_run";
  }));
  CHECK_FALSE(Fleet.isReady(IsolatedIndex));
  CHECK(latestEffect(Targets.Old_) <
        IsolatedAt + (IsolationLimit + Tolerance).count());
  std::int64_t ExecutionsBefore = executions(Targets.Old_);
  for (std::size_t I = 0; I < IsolatedIndex; ++I)
    Fleet.daemon(I).process().resume();
  Fleet.keyValueProxy(IsolatedIndex).setSwitches({{"blackhole", false}});
  // It serves again only with the new document.
  REQUIRE(eventually([&] {
    return Fleet.submit(IsolatedIndex, Service, LookUp).Reply_.Status_ == 200;
  }));
  CHECK(executions(Targets.Old_) == ExecutionsBefore);
  CHECK(executions(Targets.New_) > 0);
  CHECK(Fleet.waitInForce(Service, SecondRevision));
}

// Guards against a deleted service that is restored from the copy of a peer
// that missed the deletion, or that cannot be created again.
TEST_CASE("fleet: a deleted service stays deleted until it is recreated") {
  // More daemons hold the old document than hold the tombstone.
  const std::vector<std::size_t> PausedDaemons = {2, 3, 4};
  constexpr std::size_t DaemonsWithTombstone = 2;
  TwoTargets Targets;
  FleetHarnessSettings Settings;
  Settings.ProxyKeyValue_ = true;
  FleetHarness Fleet(Settings);
  std::uint64_t FirstRevision =
      Fleet.applyOrThrow(0, Service, 0, Targets.oldDocument());
  REQUIRE(Fleet.waitInForce(Service, FirstRevision));
  for (std::size_t I : PausedDaemons) {
    // Otherwise the delete event would be buffered in an open watch.
    Fleet.keyValueProxy(I).post("/standin/freeze", Json::object());
    Fleet.keyValueProxy(I).setSwitches({{"blackhole", true}});
    Fleet.daemon(I).process().stop();
  }
  HttpOutcome Removed = Fleet.remove(1, Service, FirstRevision, "remove");
  REQUIRE(Removed.Reply_.Status_ == 200);
  std::uint64_t Tombstone = parseBody(Removed).at("revision");
  REQUIRE(Fleet.waitInForce(Service, Tombstone, {0, 1}));
  // The paused daemons can learn of the deletion only from their peers, and
  // could in turn send them the old document.
  Fleet.keyValue().setSwitches({{"outage", true}});
  for (std::size_t I : PausedDaemons)
    Fleet.daemon(I).process().resume();
  REQUIRE(eventually([&] {
    for (std::size_t I = 0; I < DaemonsWithTombstone; ++I)
      CHECK(Fleet.submit(I, Service, LookUp).Reply_.Status_ >= 400);
    return std::all_of(PausedDaemons.begin(), PausedDaemons.end(),
                       [&](std::size_t I) {
                         return Fleet.revisionAt(I, Service) == Tombstone;
                       });
  }));
  for (std::size_t I = 0; I < Fleet.size(); ++I) {
    CHECK(Fleet.operatorGet(I, std::string("/v1/admin/services/") + Service)
              .at("deleted") == true);
    CHECK(Fleet.submit(I, Service, LookUp).Reply_.Status_ >= 400);
  }
  Fleet.keyValue().setSwitches({{"outage", false}});
  for (std::size_t I : PausedDaemons)
    Fleet.keyValueProxy(I).setSwitches({{"blackhole", false}});
  // A new daemon must not serve the deleted service either.
  std::size_t Added = Fleet.addDaemon(Fleet.daemonSettings(Fleet.size()));
  REQUIRE(eventually([&] { return Fleet.isReady(Added); }));
  CHECK(Fleet.submit(Added, Service, LookUp).Reply_.Status_ >= 400);
  CHECK(Fleet.apply(2, Service, FirstRevision, Targets.newDocument(), "stale")
            .Reply_.Status_ == 409);
  std::uint64_t SecondRevision =
      Fleet.applyOrThrow(2, Service, Tombstone, Targets.newDocument());
  CHECK(Fleet.waitInForce(Service, SecondRevision));
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    CHECK(Fleet.submit(I, Service, LookUp).Reply_.Status_ == 200);
}

// Guards against an invalid document that replaces the last valid one or blocks
// later valid ones.
TEST_CASE("fleet: a bad document in the key-value service is not put in "
          "force") {
  TwoTargets Targets;
  FleetHarness Fleet({});
  std::uint64_t FirstRevision =
      Fleet.applyOrThrow(0, Service, 0, Targets.oldDocument());
  REQUIRE(Fleet.waitInForce(Service, FirstRevision));
  const std::vector<std::string> BadValues = {
      storedValue("name = \"catalogue\"\ndeadline_ms = -4\n"),
      storedValue("this is not TOML ["),
      storedValue(FleetHarness::plainServiceDocument("another-name",
                                                     {Targets.New_.address()})),
      "not JSON",
      R"({"change_id":1,"deleted":"no","document":[]})",
      std::string("\xff\x00\xfe", 3),
  };
  std::uint64_t MarkerRevision = 0;
  std::uint64_t BadRevision = 0;
  for (const std::string &Value : BadValues) {
    BadRevision = writeDirectly(Fleet, ServiceKey, Value);
    // A daemon that uses the later marker has already processed the bad
    // document.
    MarkerRevision = Fleet.applyOrThrow(
        0, "marker", MarkerRevision,
        FleetHarness::plainServiceDocument("marker", {Targets.New_.address()}));
    REQUIRE(Fleet.waitInForce("marker", MarkerRevision));
    for (std::size_t I = 0; I < Fleet.size(); ++I) {
      CHECK(Fleet.revisionAt(I, Service) == FirstRevision);
      CHECK(Fleet.submit(I, Service, LookUp).Reply_.Status_ == 200);
    }
  }
  CHECK(executions(Targets.New_) == 0);
  // Applying a bad document is refused with a list of its faults.
  HttpOutcome Refused =
      Fleet.apply(0, Service, BadRevision, "deadline_ms = -4", "bad");
  CHECK(Refused.Reply_.Status_ == 422);
  CHECK(parseBody(Refused).at("faults").size() > 1);
  std::uint64_t GoodRevision =
      Fleet.applyOrThrow(3, Service, BadRevision, Targets.newDocument());
  CHECK(Fleet.waitInForce(Service, GoodRevision));
}

// Guards against a watch that is relied upon although its connection no longer
// delivers anything.
TEST_CASE("fleet: a change arrives although every open connection to the "
          "key-value service has gone silent") {
  TwoTargets Targets;
  FleetHarnessSettings Settings;
  Settings.ProxyKeyValue_ = true;
  FleetHarness Fleet(Settings);
  std::uint64_t FirstRevision =
      Fleet.applyOrThrow(0, Service, 0, Targets.oldDocument());
  REQUIRE(Fleet.waitInForce(Service, FirstRevision));
  // Both readers of both data centres watch, and no other daemon becomes one.
  REQUIRE(eventually([&] { return readersStable(Fleet, 4); }));
  // The worst case for a progress timeout: an event on every watch just before
  // the connections freeze.
  std::uint64_t SecondRevision =
      writeDirectly(Fleet, ServiceKey, storedValue(Targets.newDocument()));
  REQUIRE(Fleet.waitInForce(Service, SecondRevision));
  int Frozen = 0;
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    Frozen += Fleet.keyValueProxy(I)
                  .post("/standin/freeze", Json::object())
                  .at("frozen")
                  .get<int>();
  REQUIRE(Frozen >= 4);
  // Written without a daemon, so that only the key-value service has it.
  SteadyTime WrittenAt = SteadyClock::now();
  std::uint64_t ThirdRevision =
      writeDirectly(Fleet, ServiceKey, storedValue(Targets.oldDocument()));
  CHECK(Fleet.waitInForce(Service, ThirdRevision));
  INFO("in use at all daemons after "
       << std::chrono::duration_cast<Milliseconds>(SteadyClock::now() -
                                                   WrittenAt)
              .count()
       << " ms");
  CHECK(Fleet.submit(4, Service, LookUp).Reply_.Status_ == 200);
}
