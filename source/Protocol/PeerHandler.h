/// \file
/// What a daemon answers to its peers.
#ifndef AMARANTH_PROTOCOL_PEERHANDLER_H
#define AMARANTH_PROTOCOL_PEERHANDLER_H

#include "Protocol/PeerMessages.h"

#include <vector>

namespace amaranth::protocol {

/// Answers the calls of authenticated peers. Each method runs as a task of a
/// WorkArena and may block. Thread-safe.
class PeerHandler {
public:
  virtual ~PeerHandler() = default;

  /// Exchanges gossip; the reply is this host's own.
  virtual Gossip onProbe(const Gossip &FromPeer) = 0;
  /// Probes \p PeerAddress for the caller; true if it answered.
  virtual bool onProbeIndirect(const std::string &PeerAddress) = 0;
  /// Runs a keyed request whose home is this host.
  virtual RequestOutcome onForward(const ForwardedRequest &Request) = 0;
  /// The outcome so far of a key whose home is this host.
  virtual RequestOutcome onLookUp(const std::string &IdempotencyKey) = 0;
  /// Revisions in force here, tombstones included.
  virtual std::vector<ServiceRevision> onRevisions() = 0;
  /// Documents by name.
  virtual std::vector<state::StoredDocument>
  onDocuments(const std::vector<std::string> &Names) = 0;
  /// A document newer than what this host may have.
  virtual void onPushDocument(const state::StoredDocument &Document) = 0;
  /// Crashes of targets seen at a peer.
  virtual void onSuspect(const SuspectInput &Suspect) = 0;
};

} // namespace amaranth::protocol

#endif
