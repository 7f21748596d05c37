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

WatcherElection::WatcherElection(WatcherElectionSettings Settings)
    : Settings_(Settings) {}

std::size_t
WatcherElection::watcherCount(const std::vector<WatcherCandidate> &Candidates,
                              SteadyTime Now) {
  bool IsRead = std::any_of(
      Candidates.begin(), Candidates.end(),
      [](const WatcherCandidate &Candidate) { return Candidate.ReadsStore_; });
  if (IsRead) {
    UnreadSince_.reset();
    return Settings_.Watchers_;
  }
  if (!UnreadSince_)
    UnreadSince_ = Now;
  // Only hosts that the store is expected to answer can find it. If it answered
  // none of them lately, a few watchers notice its return.
  auto Expected = static_cast<std::size_t>(
      std::count_if(Candidates.begin(), Candidates.end(),
                    [](const WatcherCandidate &Candidate) {
                      return Candidate.StoreConnected_;
                    }));
  std::size_t MaxCount =
      std::clamp(Expected, Settings_.Watchers_, Settings_.MaxWatchers_);
  std::size_t Count = Settings_.Watchers_;
  for (SteadyTime At = *UnreadSince_ + Settings_.DoublingPeriod_;
       At <= Now && Count < MaxCount; At += Settings_.DoublingPeriod_)
    Count *= 2;
  return std::min(Count, MaxCount);
}

bool WatcherElection::isWatcher(const std::string &Host,
                                const std::vector<WatcherCandidate> &Candidates,
                                SteadyTime Now) {
  std::size_t Watchers = watcherCount(Candidates, Now);
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
  return static_cast<std::size_t>(Preceding) < Watchers;
}

} // namespace amaranth::coordination
