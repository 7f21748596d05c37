/// \file
/// Reports inputs and prompt parts that may crash targets to the other hosts.
#ifndef AMARANTH_SERVING_SUSPECTEXCHANGE_H
#define AMARANTH_SERVING_SUSPECTEXCHANGE_H

#include "Coordination/Engines/SuspectPartRegistry.h"
#include "Coordination/SuspectRegistry.h"
#include "Serving/EntryContext.h"
#include "Serving/PeerMesh.h"
#include "Serving/StageClient.h"
#include "Serving/SuspectPartRecords.h"

#include <cstdint>
#include <map>
#include <string>

namespace amaranth::serving {

/// Passes the suspects of this host on to its peers and merges theirs. A peer
/// that has just connected is sent all of them: it may have restarted, or may
/// have missed reports.
class SuspectExchange final : public coordination::SuspectListener,
                              public coordination::SuspectPartPeers {
public:
  SuspectExchange(EntryContext &Context, PeerMesh &Peers,
                  SuspectPartRecords &Records, const DispatcherRouter &Router);

  void onPeerState(const protocol::HostState &State);
  void onPeerLost(const std::string &Host);
  /// The store was restored from an older copy: writes the records of suspect
  /// parts again.
  void onStoreRestored();
  void merge(const protocol::SuspectRequests &FromPeer);
  void merge(const protocol::SuspectParts &FromPeer);

  // SuspectListener
  void onSuspectChanged(const protocol::SuspectInput &Suspect) override;
  // SuspectPartPeers
  void reportParts(const protocol::SuspectParts &Report) override;
  bool triesPart(const std::string &Part) const override;

private:
  void recordChanges(const protocol::SuspectParts &Changed);

  EntryContext &Context_;
  PeerMesh &Peers_;
  SuspectPartRecords &Records_;
  const DispatcherRouter &Router_;
  /// Incarnations of the peers that have been sent all suspects.
  std::map<std::string, std::uint64_t> InformedPeers_;
};

} // namespace amaranth::serving

#endif
