#include "Coordination/Store/WatcherElection.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>
#include <set>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

std::vector<WatcherCandidate> fleet(int Hosts) {
  std::vector<WatcherCandidate> Result;
  for (int I = 0; I < Hosts; ++I)
    Result.push_back({"host-" + std::to_string(I), true});
  return Result;
}

const SteadyTime Start{Seconds{1000}};

bool isWatcher(const std::string &Host,
               const std::vector<WatcherCandidate> &Fleet) {
  return WatcherElection().isWatcher(Host, Fleet, Start);
}

std::vector<std::string> watchers(const std::vector<WatcherCandidate> &Fleet) {
  std::vector<std::string> Result;
  for (const WatcherCandidate &Candidate : Fleet)
    if (isWatcher(Candidate.Host_, Fleet))
      Result.push_back(Candidate.Host_);
  return Result;
}

/// Replays the elections of a fleet of which most hosts are cut off from the
/// store. A cut-off host learns that from its first call, which times out.
struct CutOffFleet {
  static constexpr Milliseconds CallTimeout{1500};
  static constexpr Milliseconds ElectionPeriod{50};

  explicit CutOffFleet(int Hosts)
      : Hosts_(fleet(Hosts)), Elections_(Hosts), CalledAt_(Hosts) {}

  /// All watchers lose the store at Start. Returns the time until a host that
  /// is not in \p CutOff watches.
  Milliseconds timeToRead(const std::set<std::string> &CutOff) {
    for (WatcherCandidate &Candidate : Hosts_)
      Candidate.StoreConnected_ = !isWatcher(Candidate.Host_, Hosts_);
    for (SteadyTime Now = Start;; Now += ElectionPeriod)
      for (std::size_t I = 0; I < Hosts_.size(); ++I) {
        WatcherCandidate &Candidate = Hosts_[I];
        if (CalledAt_[I] && Now - *CalledAt_[I] >= CallTimeout)
          Candidate.StoreConnected_ = false;
        bool Watches = Elections_[I].isWatcher(Candidate.Host_, Hosts_, Now);
        if (Watches && !CutOff.contains(Candidate.Host_))
          return std::chrono::duration_cast<Milliseconds>(Now - Start);
        if (Watches && !CalledAt_[I])
          CalledAt_[I] = Now;
      }
  }

  std::vector<WatcherCandidate> Hosts_;
  std::vector<WatcherElection> Elections_;
  std::vector<std::optional<SteadyTime>> CalledAt_;
};

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

// Pattern: most hosts, and all watchers among them, are cut off from the store.
// Guards against new watchers that are cut off too and learn it so late that
// hosts in touch miss a change.
TEST_CASE("watcher election: more hosts watch while none reads the store") {
  std::mt19937 Random(1);
  for (int Round = 0; Round < 50; ++Round) {
    CutOffFleet Fleet(32);
    std::vector<std::string> Names;
    for (const WatcherCandidate &Candidate : Fleet.Hosts_)
      Names.push_back(Candidate.Host_);
    std::shuffle(Names.begin(), Names.end(), Random);
    constexpr int HostsInTouch = 3;
    std::set<std::string> CutOff(Names.begin() + HostsInTouch, Names.end());
    CHECK(Fleet.timeToRead(CutOff) <= Milliseconds{300});
  }
}

// Guards against a store that gets calls of the whole fleet when it returns
// after an outage, and against a fleet that keeps so many watchers.
TEST_CASE("watcher election: the number of watchers is bounded and falls once "
          "the store is read") {
  std::vector<WatcherCandidate> Fleet = fleet(300);
  std::vector<WatcherElection> Elections(Fleet.size());
  auto CountWatchers = [&](SteadyTime Now) {
    std::size_t Count = 0;
    for (std::size_t I = 0; I < Fleet.size(); ++I)
      Count += Elections[I].isWatcher(Fleet[I].Host_, Fleet, Now);
    return Count;
  };
  CHECK(CountWatchers(Start) == 4);
  CHECK(CountWatchers(Start + Milliseconds{100}) == 8);
  CHECK(CountWatchers(Start + Seconds{60}) == 32);
  Fleet[0].ReadsStore_ = true;
  CHECK(CountWatchers(Start + Seconds{61}) == 4);
}

// Guards against retries by many hosts during an outage of the store: they cost
// calls and find nothing.
TEST_CASE("watcher election: few hosts watch a store that answers none") {
  std::vector<WatcherCandidate> Fleet = fleet(87);
  for (WatcherCandidate &Candidate : Fleet)
    Candidate.StoreConnected_ = false;
  std::size_t Watchers = 0;
  for (const WatcherCandidate &Candidate : Fleet) {
    WatcherElection Election;
    Election.isWatcher(Candidate.Host_, Fleet, Start);
    Watchers += Election.isWatcher(Candidate.Host_, Fleet, Start + Seconds{6});
  }
  CHECK(Watchers == 4);
}
