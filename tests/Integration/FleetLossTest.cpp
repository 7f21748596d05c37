#include "Integration/FleetWorkload.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace amaranth;
using namespace amaranth::integration;
using Json = nlohmann::json;

namespace {

constexpr int CallerCount = 12;

/// Incorrect answers that a failed check prints.
constexpr int MaxPrintedErrors = 5;

std::string hostName(std::size_t I) { return "host-" + std::to_string(I); }

/// True if the answer to an order is consistent with its executions.
bool matchesExecutions(const AnsweredRequest &OrderRequest, int Executions) {
  if (Executions > 1)
    return false;
  if (OrderRequest.Answer_.Ok_)
    return Executions == 1;
  const Json &Body = OrderRequest.Answer_.Body_;
  if (Body.is_object() && Body.value("outcome", "") == "not_run")
    return Executions == 0;
  return true;
}

/// Checks that every idempotent request was answered by some host, and that the
/// answers to orders are consistent with their executions.
void checkAnswers(const std::vector<AnsweredRequest> &Requests,
                  std::map<std::string, int> Executions) {
  int WrongCount = 0;
  std::size_t CompletedOrders = 0;
  for (const AnsweredRequest &Request : Requests) {
    const bool IsOrder = Request.Kind_ == "place";
    CompletedOrders += IsOrder && Request.Answer_.Ok_ ? 1 : 0;
    if (IsOrder ? matchesExecutions(Request, Executions[Request.Id_])
                : Request.Answer_.Ok_)
      continue;
    if (++WrongCount <= MaxPrintedErrors)
      UNSCOPED_INFO(describe(Request) + ", executed " +
                    std::to_string(Executions[Request.Id_]));
  }
  CHECK(WrongCount == 0);
  // Enough orders completed for the check to be meaningful.
  CHECK(CompletedOrders > Requests.size() / 6);
}

Json memberAt(const FleetHarness &Fleet, std::size_t I,
              const std::string &Host) {
  Json Status = Fleet.operatorGet(I, "/v1/admin/status");
  if (!Status.is_null())
    for (const Json &Member : Status.at("members"))
      if (Member.at("host") == Host)
        return Member;
  return nullptr;
}

/// True if \p Address is in the entry-host answer of daemon \p I.
bool listsEntryHost(const FleetHarness &Fleet, std::size_t I,
                    const std::string &Address) {
  auto Outcome =
      Fleet.call(I, "GET", "/v1/entry-hosts", FleetHarness::CallerKey);
  REQUIRE(Outcome.Reply_.Status_ == 200);
  const Json Body = Json::parse(Outcome.Reply_.Body_);
  return std::any_of(
      Body.at("entry_hosts").begin(), Body.at("entry_hosts").end(),
      [&](const Json &Host) { return Host.at("address") == Address; });
}

} // namespace

// Guards against callers that get no answer when hosts die, and against
// surviving hosts that keep dead hosts in their entry-host answers.
TEST_CASE("fleet: callers get answers from the surviving daemons") {
  FleetWorkload Workload({});
  FleetHarness &Fleet = Workload.fleet();
  // One host, three of five, and all of data centre 1.
  const auto KilledDaemons =
      GENERATE(std::vector<std::size_t>{2}, std::vector<std::size_t>{0, 1, 4},
               std::vector<std::size_t>{1, 3});
  CAPTURE(KilledDaemons);
  std::vector<std::size_t> Survivors;
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    if (std::find(KilledDaemons.begin(), KilledDaemons.end(), I) ==
        KilledDaemons.end())
      Survivors.push_back(I);
  FleetCallers CallerLoad(Fleet, CallerCount);
  REQUIRE(eventually([&] { return CallerLoad.answeredCount() > 100; }));
  for (std::size_t I : KilledDaemons)
    Fleet.daemon(I).process().kill();
  const SteadyTime KilledAt = SteadyClock::now();
  for (std::size_t I : Survivors)
    for (std::size_t KilledDaemon : KilledDaemons) {
      CHECK(eventually([&] {
        return Fleet.memberStatus(I, hostName(KilledDaemon)) == "dead";
      }));
      CHECK_FALSE(
          listsEntryHost(Fleet, I, Fleet.daemon(KilledDaemon).callerAddress()));
    }
  std::size_t CountBefore = CallerLoad.answeredCount();
  REQUIRE(eventually(
      [&] { return CallerLoad.answeredCount() > CountBefore + 200; }));
  std::vector<AnsweredRequest> Requests = CallerLoad.stop();
  checkAnswers(Requests, Workload.executions());
  // Callers with cached answers did try dead hosts.
  CHECK(std::any_of(Requests.begin(), Requests.end(),
                    [](const AnsweredRequest &Request) {
                      return Request.Answer_.FailedAttempts_ > 0;
                    }));
  // Orders keep completing, with tickets of the surviving hosts.
  CHECK(std::any_of(
      Requests.begin(), Requests.end(), [&](const AnsweredRequest &Request) {
        return Request.Kind_ == "place" && Request.Answer_.Ok_ &&
               Request.Answer_.LastSentAt_ > KilledAt + Seconds{1};
      }));
  // With three of five daemons dead, the survivors see no majority of known
  // peers. They reach the key-value service and therefore accept changes.
  std::uint64_t Revision = Fleet.revisionAt(Survivors.front(), "orders");
  auto StoredDocument =
      Fleet.operatorGet(Survivors.front(), "/v1/admin/services/orders");
  std::uint64_t NextRevision = Fleet.applyOrThrow(
      Survivors.back(), "orders", Revision, StoredDocument.at("document"));
  CHECK(Fleet.waitInForce("orders", NextRevision, Survivors));
}

// Guards against requests that fail, or daemons that hang, on connections to
// targets that stay open but no longer deliver anything.
TEST_CASE("fleet: requests are answered although every open connection to the "
          "targets has gone silent") {
  FleetWorkloadSettings Settings;
  Settings.ProxyTargets_ = true;
  FleetWorkload Workload(Settings);
  FleetCallers CallerLoad(Workload.fleet(), CallerCount);
  REQUIRE(eventually([&] { return CallerLoad.answeredCount() > 200; }));
  CHECK(Workload.freezeTargets() > 4);
  std::size_t CountBefore = CallerLoad.answeredCount();
  REQUIRE(eventually(
      [&] { return CallerLoad.answeredCount() > CountBefore + 200; }));
  // Twice, because recovery from the first freeze must not prevent recovery
  // from a later one.
  CHECK(Workload.freezeTargets() > 4);
  CountBefore = CallerLoad.answeredCount();
  REQUIRE(eventually(
      [&] { return CallerLoad.answeredCount() > CountBefore + 200; }));
  const std::vector<AnsweredRequest> Requests = CallerLoad.stop();
  checkAnswers(Requests, Workload.executions());
  // The daemons detect the silent connections before any caller times out.
  CHECK(std::none_of(
      Requests.begin(), Requests.end(), [](const AnsweredRequest &Request) {
        return Request.Kind_ != "place" && Request.Answer_.FailedAttempts_ > 0;
      }));
}

// Guards against a replacement host that is taken for its dead predecessor or
// never learned.
TEST_CASE("fleet: a host replaced under its name and address is learned with "
          "its new incarnation") {
  constexpr std::size_t Replaced = 3;
  FleetWorkload Workload({});
  FleetHarness &Fleet = Workload.fleet();
  const std::string Address = Fleet.daemon(Replaced).callerAddress();
  const std::uint64_t OldIncarnation =
      memberAt(Fleet, 0, hostName(Replaced)).at("incarnation");
  DaemonProcessSettings Settings = Fleet.daemonSettings(Replaced);
  Settings.CallerAddress_ = Address;
  Settings.PeerAddress_ = Fleet.daemon(Replaced).peerAddress();
  Settings.Seeds_ = {Fleet.daemon(0).peerAddress()};
  Fleet.daemon(Replaced).process().kill();
  // Replaced after the peers found it dead, or before.
  if (GENERATE(true, false))
    for (std::size_t I : {0U, 1U, 2U, 4U})
      REQUIRE(eventually(
          [&] { return Fleet.memberStatus(I, hostName(Replaced)) == "dead"; }));
  Fleet.replaceDaemon(Replaced, Settings);
  for (std::size_t I : {0U, 1U, 2U, 4U}) {
    REQUIRE(eventually([&] {
      Json Member = memberAt(Fleet, I, hostName(Replaced));
      return !Member.is_null() && Member.at("status") == "alive" &&
             Member.at("incarnation").get<std::uint64_t>() > OldIncarnation;
    }));
    CHECK(listsEntryHost(Fleet, I, Address));
  }
  REQUIRE(eventually([&] { return Fleet.isReady(Replaced); }));
  FleetCaller Caller({Address}, FleetHarness::CallerKey);
  REQUIRE(Caller.refreshEntryHosts(true));
  CHECK(Caller.place(FleetWorkload::PlainServiceName, "after-the-replacement")
            .Ok_);
  CHECK(Workload.executions()["after-the-replacement"] == 1);
}
