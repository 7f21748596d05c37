/// \file
/// Interface for the calls that a daemon serves to its peers.
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

  /// Processes the gossip of a peer and returns this host's own.
  virtual Gossip onProbe(const Gossip &PeerGossip) = 0;
  /// Probes \p PeerAddress for the calling peer; true if it answered.
  virtual bool onProbeIndirect(const std::string &PeerAddress) = 0;
  /// Runs a request with an idempotency key whose home is this host.
  virtual RequestOutcome onForward(const ForwardedRequest &Request) = 0;
  /// The outcome so far of the request with a key whose home is this host.
  virtual RequestOutcome onLookUp(const std::string &IdempotencyKey) = 0;
  /// Revisions of the services in force here, including those of deleted
  /// services.
  virtual std::vector<ServiceRevision> onRevisions() = 0;
  /// The service documents of these names.
  virtual std::vector<state::StoredDocument>
  onDocuments(const std::vector<std::string> &Names) = 0;
  /// Receives a service document that may be newer than this host's.
  virtual void onPushDocument(const state::StoredDocument &Document) = 0;
  /// Receives an input that was running when targets crashed, as seen by a
  /// peer.
  virtual void onSuspect(const SuspectInput &Suspect) = 0;
};

} // namespace amaranth::protocol

#endif
