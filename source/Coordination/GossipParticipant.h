/// \file
/// Components that exchange data on membership probes.
#ifndef AMARANTH_COORDINATION_GOSSIPPARTICIPANT_H
#define AMARANTH_COORDINATION_GOSSIPPARTICIPANT_H

#include "Protocol/PeerMessages.h"

namespace amaranth::coordination {

/// Supplies and consumes a part of the probe payload: configuration digest,
/// load, account usage, suspect inputs. Each part must be bounded in size,
/// because probes are sent several times a second. Thread-safe; Membership
/// holds no lock during the calls.
class GossipParticipant {
public:
  virtual ~GossipParticipant() = default;
  /// Adds this component's part to the outgoing gossip. May also set
  /// Sender_.Load_.
  virtual void contribute(protocol::Gossip &Outgoing) = 0;
  /// Processes this component's part of a peer's gossip.
  virtual void receive(const protocol::Gossip &FromPeer) = 0;
};

} // namespace amaranth::coordination

#endif
