#include "Integration/Eventually.h"
#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace amaranth;
using namespace amaranth::integration;
using nlohmann::json;

namespace {

const std::string ConfigurationKey = "op/config";
const std::string OperatorPrefix = "op/";
const std::string TargetPrefix = "servers/";
constexpr std::size_t WatcherCount = 4;

/// Time after the store's acknowledgement in which every host follows a change
/// (config_apply_ms and drain_ms of the platform's settings).
constexpr Milliseconds ChangeLimit{2000};
/// Time after a connection has gone silent in which its host works as before
/// (contact_ms).
constexpr Milliseconds RecoveryLimit{3000};

/// A store with three targets, and the changes that the tests make: the route
/// "/look/" becomes "/found/", one target announces that it leaves, and another
/// one leaves unannounced.
struct ChangingPlatform {
  ChangingPlatform() { Store_.put(ConfigurationKey, platformConfiguration()); }

  void change() {
    json Changed = platformConfiguration();
    Changed["version"] = 2;
    Changed["routes"][0]["prefix"] = "/found/";
    Store_.put(ConfigurationKey, Changed);
    Leaving_.setDraining();
    Store_.remove(TargetPrefix + Removed_.id());
  }

  int requestsAtLeavingTargets() const {
    return Leaving_.requests() + Removed_.requests();
  }

  StoreDouble Store_;
  TargetDouble Leaving_{Store_, "i-1", "desk", answerDone};
  TargetDouble Removed_{Store_, "i-2", "desk", answerDone};
  TargetDouble Remaining_{Store_, "i-3", "desk", answerDone};
};

/// Returns the watchers once they have been elected. A host that was not
/// elected ends the watch of its start first, and a watcher's calls follow each
/// other with short pauses.
std::set<std::size_t> electedWatchers(StoreDouble &Store) {
  constexpr Milliseconds SamplePeriod{200};
  std::set<std::size_t> Watchers;
  eventually(
      [&] {
        Watchers = Store.watchingHosts(OperatorPrefix);
        std::this_thread::sleep_for(SamplePeriod);
        return Watchers.size() == WatcherCount &&
               Watchers == Store.watchingHosts(OperatorPrefix);
      },
      Seconds{10});
  return Watchers;
}

void checkFollowsChange(ChangingPlatform &Setup, PlatformFleet &Fleet,
                        std::size_t Host) {
  INFO("host " << Host);
  int Before = Setup.requestsAtLeavingTargets();
  for (int I = 0; I < 10; ++I)
    CHECK(Fleet.call(Host, platformRequest("GET", "/found/1")).Status_ == 200);
  CHECK(Fleet.call(Host, platformRequest("GET", "/look/1")).Status_ == 404);
  CHECK(Setup.requestsAtLeavingTargets() == Before);
}

} // namespace

// Rules CONFIG, DRAIN. Guards against hosts that follow a change too late
// because the store no longer answers the hosts that watch it for them, and
// does not reset their connections.
TEST_CASE("platform: a change reaches hosts whose watchers are cut off from "
          "the store") {
  ChangingPlatform Setup;
  constexpr std::size_t Hosts = 6;
  PlatformFleet Fleet(Setup.Store_, Hosts);
  std::set<std::size_t> Watchers = electedWatchers(Setup.Store_);
  REQUIRE(Watchers.size() == WatcherCount);
  for (std::size_t Host : Watchers)
    Setup.Store_.setSilent(Host);
  Setup.change();
  std::this_thread::sleep_for(ChangeLimit);
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    if (!Watchers.contains(Host))
      checkFollowsChange(Setup, Fleet, Host);
}

// Rules CONFIG, DRAIN. Guards against hosts that wait too long on connections
// to the store that have gone silent, while the store answers on new ones.
TEST_CASE("platform: a change reaches hosts whose connections to the store "
          "have gone silent") {
  ChangingPlatform Setup;
  constexpr std::size_t Hosts = 3;
  PlatformFleet Fleet(Setup.Store_, Hosts);
  Setup.Store_.silenceWaitingCalls();
  Setup.change();
  std::this_thread::sleep_for(RecoveryLimit);
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    checkFollowsChange(Setup, Fleet, Host);
}

// Rule DRAIN. Guards against targets that get requests after they have left,
// because only the connections on which the hosts watch the targets have gone
// silent and the watches of the configuration show a store that answers.
TEST_CASE("platform: leaving targets are noticed although the watches of the "
          "targets have gone silent") {
  ChangingPlatform Setup;
  constexpr std::size_t Hosts = 3;
  PlatformFleet Fleet(Setup.Store_, Hosts);
  REQUIRE(eventually(
      [&] { return Setup.Store_.watchingHosts(TargetPrefix).size() == Hosts; },
      Seconds{1}));
  // A new target ends all watches, so that the next ones have most of their
  // time left when they go silent.
  TargetDouble Added(Setup.Store_, "i-4", "desk", answerDone);
  std::this_thread::sleep_for(Milliseconds{100});
  REQUIRE(Setup.Store_.watchingHosts(TargetPrefix).size() == Hosts);
  Setup.Store_.silenceWaitingCalls(TargetPrefix);
  Setup.change();
  std::this_thread::sleep_for(ChangeLimit);
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    checkFollowsChange(Setup, Fleet, Host);
}

// Rules CONFIG, DRAIN. Guards against calls to the store that wait, one after
// the other, on kept connections that have gone silent together with those of
// the watches. Hosts that do not watch the store have kept the most.
TEST_CASE("platform: a change reaches hosts whose kept connections to the "
          "store have gone silent") {
  ChangingPlatform Setup;
  constexpr std::size_t Hosts = 6;
  PlatformFleet Fleet(Setup.Store_, Hosts);
  REQUIRE(electedWatchers(Setup.Store_).size() == WatcherCount);
  Setup.Store_.silenceOpenConnections();
  Setup.change();
  std::this_thread::sleep_for(RecoveryLimit);
  for (std::size_t Host = 0; Host < Hosts; ++Host)
    checkFollowsChange(Setup, Fleet, Host);
}
