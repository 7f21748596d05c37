/// \file
/// Spreads news of suspect inputs over the fleet.
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
  /// Peers told at once about a change; the rest learn it by gossip. A bound,
  /// so that one input cannot cause traffic that grows with the fleet.
  std::size_t Fanout_ = 8;
  std::size_t MaxGossip_ = 8; ///< Inputs in one probe.
  Milliseconds CallTimeout_{300};
};

/// Tells peers at once when an input becomes suspect, because its caller may
/// already be sending it to another entry host, and repeats recent news in
/// gossip for those that were missed. Thread-safe.
class SuspectSpread final : public SuspectListener, public GossipParticipant {
public:
  SuspectSpread(const SuspectSpreadSettings &Settings,
                protocol::PeerNetwork &Network, transport::WorkArena &Arena);

  /// Sets the components that exist only after this one.
  void attach(const MemberView &Members, SuspectRegistry &Registry);

  void onSuspectChanged(const protocol::SuspectInput &Suspect) override;
  void contribute(protocol::Gossip &Mine) override;
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
