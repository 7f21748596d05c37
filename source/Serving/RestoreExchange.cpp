#include "Serving/RestoreExchange.h"

#include "Coordination/HostElection.h"
#include "Support/Log.h"

namespace amaranth::serving {

using protocol::FleetMessage;
using protocol::HostState;

void RestoreExchange::onStoreRestored(SteadyTime Now) {
  TellUntil_ = Now + OperatorRecords::RewriteTime;
  InformedPeers_.clear();
}

bool RestoreExchange::isElectedFor(const std::string &Host) const {
  std::vector<coordination::ElectionCandidate> Candidates{
      {Context_.Settings_.Host_, Context_.Settings_.LinkMegabits_}};
  Peers_.forEachServing([&](const HostState &Peer) {
    if (Peer.Host_ != Host)
      Candidates.push_back({Peer.Host_, Peer.LinkMegabits_});
  });
  return coordination::electHost(Host, Candidates) == Context_.Settings_.Host_;
}

void RestoreExchange::onPeerState(const HostState &State) {
  SteadyTime Now = SteadyClock::now();
  if (Now >= TellUntil_)
    return;
  auto Informed = InformedPeers_.find(State.Host_);
  bool IsInformed = Informed != InformedPeers_.end() &&
                    Informed->second == State.Incarnation_;
  if (IsInformed || !isElectedFor(State.Host_))
    return;
  protocol::StoreRecords InForce;
  InForce.Prefix_ = InForcePrefix;
  InForce.Items_ = Operators_.inForce();
  if (!Peers_.send(State.Host_, FleetMessage(std::move(InForce))))
    return;
  for (const state::TargetRecord &Target : Context_.Targets_.leaving()) {
    protocol::TargetNotice Notice = Context_.Notices_.peerNotice(Target, Now);
    Notice.IsLeaving_ = true;
    Peers_.send(State.Host_, FleetMessage(std::move(Notice)));
  }
  InformedPeers_[State.Host_] = State.Incarnation_;
}

void RestoreExchange::merge(const protocol::StoreRecords &InForce) {
  Operators_.mergeInForce(InForce.Items_, SteadyClock::now());
}

} // namespace amaranth::serving
