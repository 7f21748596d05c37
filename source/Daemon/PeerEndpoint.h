/// \file
/// Answers the calls of peers.
#ifndef AMARANTH_DAEMON_PEERENDPOINT_H
#define AMARANTH_DAEMON_PEERENDPOINT_H

#include "Coordination/ConfigurationSync.h"
#include "Coordination/Membership.h"
#include "Coordination/OnceRunner.h"
#include "Coordination/SuspectRegistry.h"
#include "Protocol/PeerHandler.h"
#include "State/DocumentStore.h"

namespace amaranth::daemon {

/// What the peer interface works with; all must outlive it.
struct PeerParts {
  coordination::Membership &Membership_;
  coordination::ConfigurationSync &Configuration_;
  coordination::OnceRunner &Once_;
  coordination::SuspectRegistry &Suspects_;
  state::DocumentStore &Documents_;
};

/// Passes each call to the component that owns the state.
class PeerEndpoint final : public protocol::PeerHandler {
public:
  explicit PeerEndpoint(const PeerParts &Parts);

  protocol::Gossip onProbe(const protocol::Gossip &FromPeer) override;
  bool onProbeIndirect(const std::string &PeerAddress) override;
  protocol::RequestOutcome
  onForward(const protocol::ForwardedRequest &Request) override;
  protocol::RequestOutcome onLookUp(const std::string &IdempotencyKey) override;
  std::vector<protocol::ServiceRevision> onRevisions() override;
  std::vector<state::StoredDocument>
  onDocuments(const std::vector<std::string> &Names) override;
  void onPushDocument(const state::StoredDocument &Document) override;
  void onSuspect(const protocol::SuspectInput &Suspect) override;

private:
  PeerParts Parts_;
};

} // namespace amaranth::daemon

#endif
