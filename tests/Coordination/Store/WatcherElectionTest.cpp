#include "Coordination/Store/WatcherElection.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

std::vector<WatcherCandidate> fleet(int Hosts) {
  std::vector<WatcherCandidate> Result;
  for (int I = 0; I < Hosts; ++I)
    Result.push_back({"host-" + std::to_string(I), true});
  return Result;
}

std::vector<std::string> watchers(const std::vector<WatcherCandidate> &Fleet) {
  std::vector<std::string> Result;
  for (const WatcherCandidate &Candidate : Fleet)
    if (isWatcher(Candidate.Host_, Fleet))
      Result.push_back(Candidate.Host_);
  return Result;
}

} // namespace

// Guards against a number of store calls that grows with the fleet, and against
// a fleet without watchers.
TEST_CASE("watcher election: a few hosts of a large fleet watch") {
  CHECK(watchers(fleet(30)).size() == 4);
  CHECK(watchers(fleet(300)).size() == 4);
  CHECK(watchers(fleet(2)).size() == 2);
  CHECK(watchers(fleet(1)).size() == 1);
}

// Guards against choosing watchers that the store does not answer while it
// answers other hosts.
TEST_CASE("watcher election: hosts that the store answers are preferred") {
  std::vector<WatcherCandidate> Fleet = fleet(30);
  std::vector<std::string> Before = watchers(Fleet);
  for (WatcherCandidate &Candidate : Fleet)
    if (isWatcher(Candidate.Host_, fleet(30)))
      Candidate.StoreConnected_ = false;
  std::vector<std::string> After = watchers(Fleet);
  CHECK(After.size() == 4);
  for (const std::string &Host : Before)
    CHECK(std::find(After.begin(), After.end(), Host) == After.end());
  for (WatcherCandidate &Candidate : Fleet)
    Candidate.StoreConnected_ = false;
  CHECK(watchers(Fleet).size() == 4);
}

// Guards against a host that receives no changes because it is not among the
// live hosts, for example while it starts.
TEST_CASE("watcher election: a host that is no candidate watches for itself") {
  CHECK(isWatcher("unknown", fleet(30)));
}

// Pattern: the configuration grows by many routes, on a fleet of which some
// hosts have wide links. Guards against watchers whose links are filled by
// passing it on.
TEST_CASE("watcher election: hosts with wide links are preferred") {
  std::vector<WatcherCandidate> Fleet = fleet(30);
  for (std::size_t I = 0; I < Fleet.size(); ++I)
    Fleet[I].LinkMegabits_ = I % 5 == 0 ? 200 : 24;
  for (const std::string &Host : watchers(Fleet))
    CHECK(std::stoi(Host.substr(5)) % 5 == 0);
  // Whether the store answers comes first.
  for (std::size_t I = 0; I < Fleet.size(); I += 5)
    Fleet[I].StoreConnected_ = false;
  CHECK(watchers(Fleet).size() == 4);
  for (const std::string &Host : watchers(Fleet))
    CHECK(std::stoi(Host.substr(5)) % 5 != 0);
}
