/// \file
/// Exchanges the demand of client accounts with peers.
#ifndef AMARANTH_COORDINATION_ACCOUNTGOSSIP_H
#define AMARANTH_COORDINATION_ACCOUNTGOSSIP_H

#include "Coordination/AccountLimiter.h"
#include "Coordination/GossipParticipant.h"
#include "Coordination/Membership.h"

namespace amaranth::coordination {

/// Feeds AccountLimiter from membership and probes, so that the shares of a
/// fleet-wide limit follow the hosts' demand. Thread-safe.
class AccountGossip final : public GossipParticipant,
                            public Membership::Listener {
public:
  explicit AccountGossip(AccountLimiter &Limiter);

  /// Sets the membership view, which exists only after this object.
  void attach(const MemberView &Members);

  void contribute(protocol::Gossip &Mine) override;
  void receive(const protocol::Gossip &FromPeer) override;
  void onMember(const protocol::Member &Now) override;

private:
  AccountLimiter &Limiter_;
  const MemberView *Members_ = nullptr;
};

} // namespace amaranth::coordination

#endif
