/// \file
/// Election of the hosts that watch the platform's store for the fleet.
#ifndef AMARANTH_COORDINATION_STORE_WATCHERELECTION_H
#define AMARANTH_COORDINATION_STORE_WATCHERELECTION_H

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
};

/// A host that may become a watcher.
struct WatcherCandidate {
  std::string Host_;
  /// False if the store does not answer this host's calls.
  bool StoreConnected_ = true;
  double LinkMegabits_ = 0; ///< Bandwidth of its network link; 0 if unknown.
};

/// True if \p Host is a watcher. Candidates are ordered by rendezvous rank,
/// those that the store answers before all others and among these those with
/// wide links, since watchers pass changes on; the first Watchers_ of
/// them watch. Each host evaluates this on its own view of the fleet; while
/// views differ, more hosts may watch. A host that is no candidate watches.
bool isWatcher(const std::string &Host,
               const std::vector<WatcherCandidate> &Candidates,
               const WatcherElectionSettings &Settings = {});

} // namespace amaranth::coordination

#endif
