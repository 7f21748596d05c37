/// \file
/// Answers the calls of peers.
#ifndef AMARANTH_DAEMON_PEERENDPOINT_H
#define AMARANTH_DAEMON_PEERENDPOINT_H

#include "Coordination/Membership.h"
#include "Coordination/OnceRunner.h"
#include "Coordination/SuspectRegistry.h"
#include "Protocol/PeerHandler.h"
#include "State/DocumentStore.h"

#include <condition_variable>
#include <mutex>

namespace amaranth::daemon {

/// What the peer interface works with; all must outlive the endpoint's use.
struct PeerParts {
  coordination::Membership *Membership_ = nullptr;
  coordination::OnceRunner *Once_ = nullptr;
  coordination::SuspectRegistry *Suspects_ = nullptr;
  state::DocumentStore *Documents_ = nullptr;
};

/// Passes each call to the component that owns the state. The RPC port must be
/// known before those components exist, so calls that come earlier wait for
/// attach(). Thread-safe.
class PeerEndpoint final : public protocol::PeerHandler {
public:
  /// Lets calls through to \p Parts.
  void attach(const PeerParts &Parts);

  /// Gives waiting and further calls empty answers; the start failed.
  void abandon();

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
  /// Waits for attach(); null after abandon().
  const PeerParts *parts();

  std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Attached_ = false;
  bool Abandoned_ = false;
  PeerParts Parts_;
};

} // namespace amaranth::daemon

#endif
