/// \file
/// Tells starting hosts what was in force before the store was restored.
#ifndef AMARANTH_SERVING_RESTOREEXCHANGE_H
#define AMARANTH_SERVING_RESTOREEXCHANGE_H

#include "Serving/EntryContext.h"
#include "Serving/OperatorRecords.h"
#include "Serving/PeerMesh.h"

#include <cstdint>
#include <map>
#include <string>

namespace amaranth::serving {

/// A host that starts after the store was restored from an older copy reads the
/// copy only. Until operators and targets have written their records again, one
/// of its peers tells it the configuration and the evacuations in force, and
/// the targets that are draining. All peers are told: one that has just started
/// cannot be told apart. Those that know more ignore it.
class RestoreExchange final {
public:
  /// Stands in the place of a prefix in messages with records in force. Hosts
  /// that do not know it ignore the message.
  static constexpr const char *InForcePrefix = "in-force/";

  RestoreExchange(EntryContext &Context, PeerMesh &Peers,
                  OperatorRecords &Operators)
      : Context_(Context), Peers_(Peers), Operators_(Operators) {}

  void onStoreRestored(SteadyTime Now);
  void onPeerState(const protocol::HostState &State);
  void merge(const protocol::StoreRecords &InForce);

private:
  /// Whether this host is the one that tells \p Host.
  bool isElectedFor(const std::string &Host) const;

  EntryContext &Context_;
  PeerMesh &Peers_;
  OperatorRecords &Operators_;
  SteadyTime TellUntil_{};
  /// Incarnations of the peers that have been told since the last restore.
  std::map<std::string, std::uint64_t> InformedPeers_;
};

} // namespace amaranth::serving

#endif
