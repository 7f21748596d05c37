#include "Coordination/HostElection.h"

#include <catch2/catch.hpp>

#include <set>

using namespace amaranth::coordination;

namespace {

const std::vector<std::string> Names = {"a", "b", "c", "d", "e",
                                        "f", "g", "h", "i", "j"};

/// Ten hosts, of which the first two have wide links.
std::vector<ElectionCandidate> mixedFleet() {
  std::vector<ElectionCandidate> Candidates;
  for (const std::string &Name : Names)
    Candidates.push_back({Name, Name < "c" ? 200.0 : 24.0});
  return Candidates;
}

std::set<std::string>
electedHosts(const std::vector<ElectionCandidate> &Candidates) {
  std::set<std::string> Hosts;
  for (int I = 0; I < 100; ++I)
    Hosts.insert(electHost("work-" + std::to_string(I), Candidates));
  return Hosts;
}

} // namespace

// Pattern: a large configuration or many stage pieces pass through one host of
// a mixed fleet. Guards against choosing a host whose link they fill, which
// then looks dead to its peers and delivers late.
TEST_CASE("host election: work for the fleet goes to well connected hosts") {
  CHECK(electedHosts(mixedFleet()) == std::set<std::string>{"a", "b"});
  // Without them, the others do it.
  std::vector<ElectionCandidate> Narrow = mixedFleet();
  Narrow.erase(Narrow.begin(), Narrow.begin() + 2);
  CHECK(electedHosts(Narrow).size() == 8);
}

// Guards against putting all work on few hosts of a fleet whose links differ
// little, and against having nobody when links are not known.
TEST_CASE("host election: among similar hosts the work is spread") {
  std::vector<ElectionCandidate> Similar = mixedFleet();
  for (ElectionCandidate &Candidate : Similar)
    Candidate.LinkMegabits_ = Candidate.Host_ < "f" ? 1000 : 2000;
  CHECK(electedHosts(Similar).size() == 10);
  for (ElectionCandidate &Candidate : Similar)
    Candidate.LinkMegabits_ = 0;
  CHECK(electedHosts(Similar).size() == 10);
  CHECK(electHost("work", {}).empty());
}

// Guards against moving the work of all hosts when one leaves.
TEST_CASE("host election: only the work of a lost host moves") {
  std::vector<ElectionCandidate> Before = mixedFleet();
  for (ElectionCandidate &Candidate : Before)
    Candidate.LinkMegabits_ = 100;
  std::vector<ElectionCandidate> After = Before;
  After.pop_back();
  for (int I = 0; I < 100; ++I) {
    std::string Work = "work-" + std::to_string(I);
    std::string Elected = electHost(Work, Before);
    if (Elected != "j")
      CHECK(electHost(Work, After) == Elected);
  }
}
