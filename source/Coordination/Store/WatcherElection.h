/// \file
/// Which hosts watch the platform's store for all.
#ifndef AMARANTH_COORDINATION_STORE_WATCHERELECTION_H
#define AMARANTH_COORDINATION_STORE_WATCHERELECTION_H

#include <string>
#include <vector>

namespace amaranth::coordination {

/// Settings of the election.
struct WatcherElectionSettings {
  /// Hosts that watch. The store's rate grows more slowly than the fleet, and
  /// each call is paid for; several watch so that the loss of some, or the
  /// store turning some away, delays no change.
  std::size_t Watchers_ = 4;
};

struct WatcherCandidate {
  std::string Host_;
  /// False if the store does not answer this host.
  bool StoreConnected_ = true;
};

/// Whether \p Host is to watch: the first hosts by rendezvous rank among those
/// that the store answers, and then among the others. Each host decides for
/// itself by its own view; where views differ, more hosts watch for a moment.
bool isWatcher(const std::string &Host,
               const std::vector<WatcherCandidate> &Candidates,
               const WatcherElectionSettings &Settings = {});

} // namespace amaranth::coordination

#endif
