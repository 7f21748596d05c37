#include "Coordination/Store/WatcherElection.h"

#include "Coordination/Engines/EngineChooser.h"
#include "Coordination/HostElection.h"

#include <algorithm>
#include <tuple>

namespace amaranth::coordination {

namespace {

const std::string RankKey = "store-watcher";

std::tuple<bool, bool, std::uint64_t, std::string>
electionRank(const WatcherCandidate &Candidate, double WideLink) {
  return {!Candidate.StoreConnected_, Candidate.LinkMegabits_ < WideLink,
          ~rendezvousRank(RankKey, Candidate.Host_), Candidate.Host_};
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
  std::vector<ElectionCandidate> Links;
  for (const WatcherCandidate &Candidate : Candidates)
    Links.push_back({Candidate.Host_, Candidate.LinkMegabits_});
  double WideLink = wideLinkThreshold(Links);
  auto Preceding = std::count_if(Candidates.begin(), Candidates.end(),
                                 [&](const WatcherCandidate &Candidate) {
                                   return electionRank(Candidate, WideLink) <
                                          electionRank(*OwnCandidate, WideLink);
                                 });
  return static_cast<std::size_t>(Preceding) < Settings.Watchers_;
}

} // namespace amaranth::coordination
