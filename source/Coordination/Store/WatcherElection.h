/// \file
/// Election of the hosts that watch the platform's store for the fleet.
#ifndef AMARANTH_COORDINATION_STORE_WATCHERELECTION_H
#define AMARANTH_COORDINATION_STORE_WATCHERELECTION_H

#include "Support/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Settings of the election.
struct WatcherElectionSettings {
  /// Number of watchers. It is fixed because the store's permitted call rate
  /// grows more slowly than the fleet and each call costs money. There are
  /// several so that no change is delayed when some watchers are lost or the
  /// store rejects some of them.
  std::size_t Watchers_ = 4;
  /// While no host reads the store, the number of watchers doubles at this
  /// interval, up to MaxWatchers_: the hosts elected first may be cut off from
  /// the store together and learn that only from calls that time out.
  Milliseconds DoublingPeriod_{100};
  std::size_t MaxWatchers_ = 32;
};

/// A host that may become a watcher.
struct WatcherCandidate {
  std::string Host_;
  /// False if the store does not answer this host's calls.
  bool StoreConnected_ = true;
  double LinkMegabits_ = 0; ///< Bandwidth of its network link; 0 if unknown.
  /// It watches, and its copy of the store is up to date.
  bool ReadsStore_ = false;
};

/// Decides whether a host watches. Candidates are ordered by rendezvous rank,
/// those that the store answers before all others and among these those with
/// wide links, since watchers pass changes on; the first of them watch. Each
/// host evaluates this on its own view of the fleet; while views differ, more
/// hosts may watch. A host that is no candidate watches.
class WatcherElection final {
public:
  explicit WatcherElection(WatcherElectionSettings Settings = {});

  /// Call often: the number of watchers depends on how long no candidate has
  /// read the store.
  bool isWatcher(const std::string &Host,
                 const std::vector<WatcherCandidate> &Candidates,
                 SteadyTime Now);

private:
  std::size_t watcherCount(const std::vector<WatcherCandidate> &Candidates,
                           SteadyTime Now);

  WatcherElectionSettings Settings_;
  /// Time since which no candidate reads the store.
  std::optional<SteadyTime> UnreadSince_;
};

} // namespace amaranth::coordination

#endif
