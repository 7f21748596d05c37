#include "Coordination/Store/WatcherElection.h"

#include "Coordination/Engines/EngineChooser.h"

#include <algorithm>
#include <tuple>

namespace amaranth::coordination {

namespace {

const std::string RankKey = "store-watcher";

std::tuple<bool, std::uint64_t, std::string>
orderOf(const WatcherCandidate &Of) {
  return {!Of.StoreConnected_, ~rendezvousRank(RankKey, Of.Host_), Of.Host_};
}

} // namespace

bool isWatcher(const std::string &Host,
               const std::vector<WatcherCandidate> &Candidates,
               const WatcherElectionSettings &Settings) {
  auto Mine = std::find_if(
      Candidates.begin(), Candidates.end(),
      [&](const WatcherCandidate &One) { return One.Host_ == Host; });
  if (Mine == Candidates.end())
    return true;
  auto Before = std::count_if(Candidates.begin(), Candidates.end(),
                              [&](const WatcherCandidate &One) {
                                return orderOf(One) < orderOf(*Mine);
                              });
  return static_cast<std::size_t>(Before) < Settings.Watchers_;
}

} // namespace amaranth::coordination
