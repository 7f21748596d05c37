#include "Integration/FleetWorkload.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace amaranth;
using namespace amaranth::integration;
using Json = nlohmann::json;

namespace {

constexpr int Callers = 12;

/// Wrong answers that a failed check shows.
constexpr int MaxShown = 5;

std::string hostName(std::size_t I) { return "host-" + std::to_string(I); }

/// What a caller was told about an order agrees with what the targets did.
bool isTrue(const Told &Order, int Executions) {
  if (Executions > 1)
    return false;
  if (Order.Answer_.Ok_)
    return Executions == 1;
  const Json &Body = Order.Answer_.Body_;
  if (Body.is_object() && Body.value("outcome", "") == "not_run")
    return Executions == 0;
  return true;
}

/// Every idempotent request was answered, by whatever host, and everything
/// that was told about orders is true.
void checkAnswers(const std::vector<Told> &All,
                  std::map<std::string, int> Executions) {
  int Wrong = 0;
  std::size_t OrdersDone = 0;
  for (const Told &Each : All) {
    const bool Order = Each.Kind_ == "place";
    OrdersDone += Order && Each.Answer_.Ok_ ? 1 : 0;
    if (Order ? isTrue(Each, Executions[Each.Id_]) : Each.Answer_.Ok_)
      continue;
    if (++Wrong <= MaxShown)
      UNSCOPED_INFO(describe(Each) + ", executed " +
                    std::to_string(Executions[Each.Id_]));
  }
  CHECK(Wrong == 0);
  // The truth about orders is not that all of them failed.
  CHECK(OrdersDone > All.size() / 6);
}

Json memberAt(const FleetHarness &Fleet, std::size_t I,
              const std::string &Host) {
  Json Status = Fleet.inspect(I, "/v1/admin/status");
  if (!Status.is_null())
    for (const Json &Member : Status.at("members"))
      if (Member.at("host") == Host)
        return Member;
  return nullptr;
}

/// Daemon \p I names \p Address in entry-host answers.
bool names(const FleetHarness &Fleet, std::size_t I,
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

// Guards against callers left without an answer when hosts die, and against
// survivors that go on to name dead hosts.
TEST_CASE("fleet: callers get answers from the surviving daemons") {
  FleetWorkload Test({});
  FleetHarness &Fleet = Test.fleet();
  // One host, three of five, and all of data centre 1.
  const auto Killed =
      GENERATE(std::vector<std::size_t>{2}, std::vector<std::size_t>{0, 1, 4},
               std::vector<std::size_t>{1, 3});
  CAPTURE(Killed);
  std::vector<std::size_t> Survivors;
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    if (std::find(Killed.begin(), Killed.end(), I) == Killed.end())
      Survivors.push_back(I);
  FleetCallers Load(Fleet, Callers);
  REQUIRE(eventually([&] { return Load.count() > 100; }));
  for (std::size_t I : Killed)
    Fleet.daemon(I).process().kill();
  const SteadyTime KilledAt = SteadyClock::now();
  for (std::size_t I : Survivors)
    for (std::size_t Dead : Killed) {
      CHECK(eventually(
          [&] { return Fleet.memberStatus(I, hostName(Dead)) == "dead"; }));
      CHECK_FALSE(names(Fleet, I, Fleet.daemon(Dead).callerAddress()));
    }
  std::size_t Seen = Load.count();
  REQUIRE(eventually([&] { return Load.count() > Seen + 200; }));
  std::vector<Told> All = Load.stop();
  checkAnswers(All, Test.executions());
  // Kept answers did lead callers to dead hosts.
  CHECK(std::any_of(All.begin(), All.end(), [](const Told &Each) {
    return Each.Answer_.Failures_ > 0;
  }));
  // Non-idempotent work goes on as well, under the survivors' tickets.
  CHECK(std::any_of(All.begin(), All.end(), [&](const Told &Each) {
    return Each.Kind_ == "place" && Each.Answer_.Ok_ &&
           Each.Answer_.Sent_ > KilledAt + Seconds{1};
  }));
  // Three of five see no majority of known peers but the key-value service,
  // and accept changes.
  std::uint64_t Revision = Fleet.revisionAt(Survivors.front(), "orders");
  auto Stored = Fleet.inspect(Survivors.front(), "/v1/admin/services/orders");
  std::uint64_t Next = Fleet.mustApply(Survivors.back(), "orders", Revision,
                                       Stored.at("document"));
  CHECK(Fleet.inForce("orders", Next, Survivors));
}

// Guards against requests lost, or a daemon stuck, on connections to targets
// that stay open but stop delivering.
TEST_CASE("fleet: requests are answered although every open connection to the "
          "targets has gone silent") {
  FleetWorkloadSettings Settings;
  Settings.ProxyTargets_ = true;
  FleetWorkload Test(Settings);
  FleetCallers Load(Test.fleet(), Callers);
  REQUIRE(eventually([&] { return Load.count() > 200; }));
  CHECK(Test.freezeTargets() > 4);
  std::size_t Seen = Load.count();
  REQUIRE(eventually([&] { return Load.count() > Seen + 200; }));
  // Twice, because a retry must not depend on the first fault being the last.
  CHECK(Test.freezeTargets() > 4);
  Seen = Load.count();
  REQUIRE(eventually([&] { return Load.count() > Seen + 200; }));
  const std::vector<Told> All = Load.stop();
  checkAnswers(All, Test.executions());
  // The daemons notice the silence themselves; no caller has to give one up.
  CHECK(std::none_of(All.begin(), All.end(), [](const Told &Each) {
    return Each.Kind_ != "place" && Each.Answer_.Failures_ > 0;
  }));
}

// Guards against a replaced host that is taken for the dead one, or that stays
// unknown.
TEST_CASE("fleet: a host replaced under its name and address is learned with "
          "its new incarnation") {
  constexpr std::size_t Replaced = 3;
  FleetWorkload Test({});
  FleetHarness &Fleet = Test.fleet();
  const std::string Address = Fleet.daemon(Replaced).callerAddress();
  const std::uint64_t Old =
      memberAt(Fleet, 0, hostName(Replaced)).at("incarnation");
  DaemonProcessSettings Settings = Fleet.daemonSettings(Replaced);
  Settings.CallerAddress_ = Address;
  Settings.PeerAddress_ = Fleet.daemon(Replaced).peerAddress();
  Settings.Seeds_ = {Fleet.daemon(0).peerAddress()};
  Fleet.daemon(Replaced).process().kill();
  // Found dead first, or replaced before anybody noticed.
  if (GENERATE(true, false))
    for (std::size_t I : {0U, 1U, 2U, 4U})
      REQUIRE(eventually(
          [&] { return Fleet.memberStatus(I, hostName(Replaced)) == "dead"; }));
  Fleet.replaceDaemon(Replaced, Settings);
  for (std::size_t I : {0U, 1U, 2U, 4U}) {
    REQUIRE(eventually([&] {
      Json Seen = memberAt(Fleet, I, hostName(Replaced));
      return !Seen.is_null() && Seen.at("status") == "alive" &&
             Seen.at("incarnation").get<std::uint64_t>() > Old;
    }));
    CHECK(names(Fleet, I, Address));
  }
  REQUIRE(eventually([&] { return Fleet.ready(Replaced); }));
  FleetCaller Sender({Address}, FleetHarness::CallerKey);
  REQUIRE(Sender.renew(true));
  CHECK(Sender.place(FleetWorkload::Plain, "after-the-replacement").Ok_);
  CHECK(Test.executions()["after-the-replacement"] == 1);
}
