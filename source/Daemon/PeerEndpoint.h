/// \file
/// Handles the RPC calls of peers.
#ifndef AMARANTH_DAEMON_PEERENDPOINT_H
#define AMARANTH_DAEMON_PEERENDPOINT_H

#include "Coordination/ConfigurationSync.h"
#include "Coordination/Membership.h"
#include "Coordination/OnceRunner.h"
#include "Coordination/SuspectRegistry.h"
#include "Protocol/PeerHandler.h"
#include "State/DocumentStore.h"

#include <condition_variable>
#include <mutex>

namespace amaranth::daemon {

/// Objects that PeerEndpoint passes calls to. Each must outlive the last call.
struct PeerDependencies {
  coordination::Membership *Membership_ = nullptr;
  coordination::ConfigurationSync *ConfigurationSync_ = nullptr;
  coordination::OnceRunner *OnceRunner_ = nullptr;
  coordination::SuspectRegistry *Suspects_ = nullptr;
  state::DocumentStore *Documents_ = nullptr;
};

/// Passes each call to the component that handles it. Those components are
/// created after the RPC server was started, because they need its port; calls
/// that arrive before attach() wait for it. Thread-safe.
class PeerEndpoint final : public protocol::PeerHandler {
public:
  /// Passes waiting and later calls to \p Dependencies.
  void attach(const PeerDependencies &Dependencies);

  /// Gives empty answers to waiting and later calls. Called when the daemon is
  /// destroyed, in case its start failed before attach().
  void abandon();

  protocol::Gossip onProbe(const protocol::Gossip &PeerGossip) override;
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
  /// Waits for attach() and returns its argument; null after abandon().
  const PeerDependencies *waitForDependencies();

  std::mutex Mutex_;
  std::condition_variable StateChanged_;
  bool Attached_ = false;
  bool Abandoned_ = false;
  PeerDependencies Dependencies_;
};

} // namespace amaranth::daemon

#endif
