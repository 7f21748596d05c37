/// \file
/// Gossip of the demand of client accounts.
#ifndef AMARANTH_COORDINATION_ACCOUNTGOSSIP_H
#define AMARANTH_COORDINATION_ACCOUNTGOSSIP_H

#include "Coordination/AccountLimiter.h"
#include "Coordination/GossipParticipant.h"
#include "Coordination/Membership.h"

namespace amaranth::coordination {

/// Passes the peers' demand of each client account and the list of live peers
/// to AccountLimiter, which divides a fleet-wide limit by the hosts' demand.
/// Thread-safe.
class AccountGossip final : public GossipParticipant,
                            public Membership::Listener {
public:
  explicit AccountGossip(AccountLimiter &Limiter);

  /// Sets the membership view. It is constructed after this object; call before
  /// membership starts.
  void attach(const MemberView &Members);

  void contribute(protocol::Gossip &Outgoing) override;
  void receive(const protocol::Gossip &FromPeer) override;
  void onMemberChanged(const protocol::Member &Changed) override;

private:
  AccountLimiter &Limiter_;
  const MemberView *Members_ = nullptr;
};

} // namespace amaranth::coordination

#endif
