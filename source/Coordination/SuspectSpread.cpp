#include "Coordination/SuspectSpread.h"

#include "Support/Log.h"

#include <algorithm>
#include <cassert>
#include <random>

namespace amaranth::coordination {

SuspectSpread::SuspectSpread(const SuspectSpreadSettings &Settings,
                             protocol::PeerNetwork &Network,
                             transport::WorkArena &Arena)
    : Settings_(Settings), Network_(Network), Arena_(Arena) {}

void SuspectSpread::attach(const MemberView &Members,
                           SuspectRegistry &Registry) {
  Members_ = &Members;
  Registry_ = &Registry;
}

std::vector<std::string> SuspectSpread::choosePeers() const {
  std::vector<std::string> Peers;
  const std::string Self = Members_->self().Host_;
  for (const protocol::Member &Host : Members_->members())
    if (Host.Host_ != Self && Host.Status_ != protocol::MemberStatus::Dead)
      Peers.push_back(Host.PeerAddress_);
  std::shuffle(Peers.begin(), Peers.end(),
               std::mt19937_64(std::random_device{}()));
  if (Peers.size() > Settings_.FanOut_)
    Peers.resize(Settings_.FanOut_);
  return Peers;
}

void SuspectSpread::onSuspectChanged(const protocol::SuspectInput &Suspect) {
  assert(Members_ && "attach() must be called before the first request");
  LogEvent(LogLevel::Warn, "suspect_input")
      .field("digest", Suspect.Digest_)
      .field("crashed_targets", Suspect.CrashedTargets_.size())
      .field("cleared", Suspect.Cleared_ ? "true" : "false");
  for (const std::string &Peer : choosePeers())
    Arena_.enqueue([this, Peer, Suspect] {
      // A peer that this call does not reach receives the report by gossip.
      (void)capture([&] {
        return Network_.reportSuspect(Peer, Suspect, Settings_.CallTimeout_);
      });
    });
}

void SuspectSpread::contribute(protocol::Gossip &Outgoing) {
  if (Registry_)
    Outgoing.Suspects_ = Registry_->recentLocalSuspects(Settings_.MaxGossip_);
}

void SuspectSpread::receive(const protocol::Gossip &FromPeer) {
  if (!Registry_)
    return;
  for (const protocol::SuspectInput &Suspect : FromPeer.Suspects_)
    Registry_->merge(Suspect);
}

} // namespace amaranth::coordination
