#include "Coordination/Store/WatcherElection.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

std::vector<WatcherCandidate> fleet(int Hosts) {
  std::vector<WatcherCandidate> Out;
  for (int I = 0; I < Hosts; ++I)
    Out.push_back({"host-" + std::to_string(I), true});
  return Out;
}

std::vector<std::string> watchers(const std::vector<WatcherCandidate> &Fleet) {
  std::vector<std::string> Out;
  for (const WatcherCandidate &One : Fleet)
    if (isWatcher(One.Host_, Fleet))
      Out.push_back(One.Host_);
  return Out;
}

} // namespace

// Guards against calls to the store that grow with the fleet, and against a
// fleet in which nobody watches.
TEST_CASE("watcher election: a few hosts of a large fleet watch") {
  CHECK(watchers(fleet(30)).size() == 4);
  CHECK(watchers(fleet(300)).size() == 4);
  CHECK(watchers(fleet(2)).size() == 2);
  CHECK(watchers(fleet(1)).size() == 1);
}

// Guards against watchers that the store turns away while it answers others.
TEST_CASE("watcher election: hosts that the store answers go first") {
  std::vector<WatcherCandidate> Fleet = fleet(30);
  std::vector<std::string> Before = watchers(Fleet);
  for (WatcherCandidate &One : Fleet)
    if (isWatcher(One.Host_, fleet(30)))
      One.StoreConnected_ = false;
  std::vector<std::string> After = watchers(Fleet);
  CHECK(After.size() == 4);
  for (const std::string &Host : Before)
    CHECK(std::find(After.begin(), After.end(), Host) == After.end());
  for (WatcherCandidate &One : Fleet)
    One.StoreConnected_ = false;
  CHECK(watchers(Fleet).size() == 4);
}

// Guards against a host that is not among the live ones, as while it starts,
// and that then learns of no change.
TEST_CASE("watcher election: a host that is no candidate watches for itself") {
  CHECK(isWatcher("unknown", fleet(30)));
}
