/// \file
/// Reports suspect inputs to the other hosts of the fleet.
#ifndef AMARANTH_COORDINATION_SUSPECTSPREAD_H
#define AMARANTH_COORDINATION_SUSPECTSPREAD_H

#include "Coordination/GossipParticipant.h"
#include "Coordination/MemberView.h"
#include "Coordination/SuspectRegistry.h"
#include "Protocol/PeerNetwork.h"
#include "Transport/WorkArena.h"

namespace amaranth::coordination {

/// Settings of SuspectSpread.
struct SuspectSpreadSettings {
  /// Number of peers to which a change is sent at once; the others receive it
  /// by gossip. Fixed, so that the traffic that one input causes does not grow
  /// with the fleet.
  std::size_t FanOut_ = 8;
  std::size_t MaxGossip_ = 8; ///< Maximum number of inputs in one probe.
  Milliseconds CallTimeout_{300};
};

/// Sends each change of a suspect input (one that was running when its target
/// crashed) to some peers at once, because the caller may already be sending
/// the input to another entry host. Repeats recent suspects in gossip for the
/// other peers. Thread-safe.
class SuspectSpread final : public SuspectListener, public GossipParticipant {
public:
  SuspectSpread(const SuspectSpreadSettings &Settings,
                protocol::PeerNetwork &Network, transport::WorkArena &Arena);

  /// Sets the components that are constructed after this one. Call before the
  /// first request.
  void attach(const MemberView &Members, SuspectRegistry &Registry);

  void onSuspectChanged(const protocol::SuspectInput &Suspect) override;
  void contribute(protocol::Gossip &Outgoing) override;
  void receive(const protocol::Gossip &FromPeer) override;

private:
  std::vector<std::string> choosePeers() const;

  SuspectSpreadSettings Settings_;
  protocol::PeerNetwork &Network_;
  transport::WorkArena &Arena_;
  const MemberView *Members_ = nullptr;
  SuspectRegistry *Registry_ = nullptr;
};

} // namespace amaranth::coordination

#endif
