/// \file
/// Reports this host's load to its peers.
#ifndef AMARANTH_DAEMON_LOADGOSSIP_H
#define AMARANTH_DAEMON_LOADGOSSIP_H

#include "Coordination/GossipParticipant.h"
#include "Coordination/RequestGate.h"

namespace amaranth::daemon {

/// Adds the used share of the in-flight limit to this host's gossip. Peers rank
/// entry hosts by it.
class LoadGossip final : public coordination::GossipParticipant {
public:
  LoadGossip(const coordination::RequestGate &Gate, int MaxInFlight)
      : Gate_(Gate), MaxInFlight_(MaxInFlight) {}

  void contribute(protocol::Gossip &LocalGossip) override {
    LocalGossip.Sender_.Load_ =
        static_cast<double>(Gate_.inFlight()) / MaxInFlight_;
  }
  void receive(const protocol::Gossip &) override {}

private:
  const coordination::RequestGate &Gate_;
  int MaxInFlight_;
};

} // namespace amaranth::daemon

#endif
