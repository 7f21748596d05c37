#include "Coordination/Store/WatcherElection.h"

#include "Coordination/Engines/EngineChooser.h"

#include <algorithm>
#include <tuple>

namespace amaranth::coordination {

namespace {

const std::string RankKey = "store-watcher";

std::tuple<bool, std::uint64_t, std::string>
electionRank(const WatcherCandidate &Candidate) {
  return {!Candidate.StoreConnected_, ~rendezvousRank(RankKey, Candidate.Host_),
          Candidate.Host_};
}

} // namespace

bool isWatcher(const std::string &Host,
               const std::vector<WatcherCandidate> &Candidates,
               const WatcherElectionSettings &Settings) {
  auto OwnCandidate = std::find_if(Candidates.begin(), Candidates.end(),
                                   [&](const WatcherCandidate &Candidate) {
                                     return Candidate.Host_ == Host;
                                   });
  if (OwnCandidate == Candidates.end())
    return true;
  auto Preceding = std::count_if(Candidates.begin(), Candidates.end(),
                                 [&](const WatcherCandidate &Candidate) {
                                   return electionRank(Candidate) <
                                          electionRank(*OwnCandidate);
                                 });
  return static_cast<std::size_t>(Preceding) < Settings.Watchers_;
}

} // namespace amaranth::coordination
