/// \file
/// A host's copy of the platform's store.
#ifndef AMARANTH_SERVING_STOREREPLICA_H
#define AMARANTH_SERVING_STOREREPLICA_H

#include "Coordination/Store/StoreMirror.h"
#include "Coordination/Store/WatcherElection.h"
#include "Serving/EntryContext.h"
#include "Serving/PeerMesh.h"
#include "Serving/StoreFollower.h"
#include "State/Metrics.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranth::serving {

/// Receives the changes of the records.
class StoreReplicaListener {
public:
  virtual ~StoreReplicaListener() = default;
  virtual void
  onRecordsChanged(const std::string &Prefix,
                   const std::vector<protocol::StoreItem> &Changes) = 0;
  /// The records of \p Prefix are complete.
  virtual void onRecordsComplete(const std::string &Prefix) = 0;
  /// The store was restored from an older copy. Follow: onRecordsChanged() with
  /// all records of the copy and removals of those that it lacks, then
  /// onRecordsComplete().
  virtual void onRecordsRestored(const std::string &Prefix) = 0;
  /// The store has stopped, or resumed, answering the calls for \p Prefix.
  virtual void onStoreConnected(const std::string &Prefix, bool Connected) = 0;
};

/// Keeps copies of the records under some prefixes of the store. Some hosts of
/// the fleet, the watchers, watch the store; the others get its changes from
/// them, so that the number of store calls does not grow with the fleet.
class StoreReplica final : public StoreListener {
public:
  StoreReplica(EntryContext &Context, protocol::PlatformStore &Store,
               PeerMesh &Peers, StoreReplicaListener &Listener,
               const std::vector<StoreFollowerSettings> &Prefixes);

  void start();
  /// Decides whether this host watches the store. Call often.
  void electWatchers();
  /// Whether the store answers this host; on a host that does not watch,
  /// whether it is expected to answer.
  bool storeConnected() const;
  /// Whether this host watches the store and its copies are up to date.
  bool readsStore() const;
  /// Whether this host or one of its peers reads the store.
  bool isStoreRead() const;
  /// Sets the gauges of the copies: era and revision of each prefix.
  void reportMetrics(state::Metrics &Metrics) const;
  /// Digests of the copies, one for each prefix.
  std::vector<std::uint64_t> digests() const;
  /// Sends a peer the prefixes whose records differ from this host's, unless
  /// the peer reads the store itself.
  void onPeerState(const protocol::HostState &State);
  /// Merges records from a watcher.
  void merge(const protocol::StoreRecords &Records);

  // StoreListener
  void onStoreRange(const std::string &Prefix,
                    const std::vector<protocol::StoreItem> &Items,
                    std::uint64_t Revision, std::uint64_t Era) override;
  bool isOutdated(const std::string &Prefix, std::uint64_t Era) const override;
  bool isRestored(const std::string &Prefix, std::uint64_t Era) const override;
  std::uint64_t knownEra(const std::string &Prefix) const override;
  void onStoreChanges(const std::string &Prefix,
                      const std::vector<protocol::StoreItem> &Items) override;
  void onStoreConnected(const std::string &Prefix, bool Connected) override;

private:
  struct FollowedPrefix {
    std::string Prefix_;
    coordination::StoreMirror Mirror_;
    std::unique_ptr<StoreFollower> Follower_;
  };

  const FollowedPrefix *findFollowedPrefix(const std::string &Prefix) const;
  FollowedPrefix *findFollowedPrefix(const std::string &Prefix);
  /// Applies a complete list to the copy and reports the changes; returns them.
  std::vector<protocol::StoreItem>
  applyList(FollowedPrefix &Followed,
            const std::vector<protocol::StoreItem> &Items,
            std::uint64_t Revision, std::uint64_t Era);
  /// All records of a prefix, for a host that may have none of them.
  static protocol::StoreRecords allRecords(const FollowedPrefix &Followed);
  /// Whether this host is the watcher that passes changes on to \p Host.
  bool passesChangesTo(const std::string &Host) const;
  /// Sends records to the hosts that do not watch the store, each of which gets
  /// them from one watcher.
  void relay(protocol::StoreRecords Records);
  void relayChanges(const FollowedPrefix &Followed,
                    const std::vector<protocol::StoreItem> &Changes);

  EntryContext &Context_;
  PeerMesh &Peers_;
  StoreReplicaListener &Listener_;
  std::vector<FollowedPrefix> FollowedPrefixes_;
  coordination::WatcherElection WatcherElection_;
  SteadyTime StartedAt_{};
  bool Watching_ = false;
  /// Time at which the store last stopped answering.
  std::optional<SteadyTime> LastStoreFailure_;
  /// Time since which the records of a host differ from this host's, by host.
  std::map<std::string, SteadyTime> DiffersSince_;
};

} // namespace amaranth::serving

#endif
