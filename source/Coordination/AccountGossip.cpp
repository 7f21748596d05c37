#include "Coordination/AccountGossip.h"

#include <cassert>

namespace amaranth::coordination {

AccountGossip::AccountGossip(AccountLimiter &Limiter) : Limiter_(Limiter) {}

void AccountGossip::attach(const MemberView &Members) { Members_ = &Members; }

void AccountGossip::contribute(protocol::Gossip &Outgoing) {
  Outgoing.Usage_ = Limiter_.usage();
}

void AccountGossip::receive(const protocol::Gossip &FromPeer) {
  Limiter_.onPeerUsage(FromPeer.Sender_.Host_, FromPeer.Usage_);
}

void AccountGossip::onMemberChanged(const protocol::Member &) {
  assert(Members_ && "attach() must be called before membership starts");
  const std::string Self = Members_->self().Host_;
  std::vector<std::string> LivePeers;
  for (const protocol::Member &Host : Members_->members())
    if (Host.Host_ != Self && Host.Status_ != protocol::MemberStatus::Dead)
      LivePeers.push_back(Host.Host_);
  Limiter_.setPeers(LivePeers);
}

} // namespace amaranth::coordination
