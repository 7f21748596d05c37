/// \file
/// Calls from this daemon to its peers.
#ifndef AMARANTH_PROTOCOL_PEERNETWORK_H
#define AMARANTH_PROTOCOL_PEERNETWORK_H

#include "Protocol/PeerMessages.h"
#include "Support/Error.h"

#include <string>
#include <vector>

namespace amaranth::protocol {

/// Calls to peers by RPC address. Each call blocks up to its timeout. Error
/// codes: Unavailable, the peer was not reached and the call was not sent;
/// Ambiguous, no reply arrived in time or the connection broke;
/// Unauthenticated. Thread-safe. An interface, so that coordination is tested
/// without sockets.
class PeerNetwork {
public:
  virtual ~PeerNetwork() = default;

  virtual Result<Gossip> probe(const std::string &PeerAddress,
                               const Gossip &OwnGossip,
                               Milliseconds Timeout) = 0;
  virtual Result<bool> probeIndirect(const std::string &ViaAddress,
                                     const std::string &PeerAddress,
                                     Milliseconds Timeout) = 0;
  virtual Result<RequestOutcome> forward(const std::string &PeerAddress,
                                         const ForwardedRequest &Request) = 0;
  virtual Result<RequestOutcome> lookUp(const std::string &PeerAddress,
                                        const std::string &IdempotencyKey,
                                        Milliseconds Timeout) = 0;
  virtual Result<std::vector<ServiceRevision>>
  revisions(const std::string &PeerAddress, Milliseconds Timeout) = 0;
  virtual Result<std::vector<state::StoredDocument>>
  documents(const std::string &PeerAddress,
            const std::vector<std::string> &Names, Milliseconds Timeout) = 0;
  virtual Result<void> pushDocument(const std::string &PeerAddress,
                                    const state::StoredDocument &Document,
                                    Milliseconds Timeout) = 0;
  virtual Result<void> reportSuspect(const std::string &PeerAddress,
                                     const SuspectInput &Suspect,
                                     Milliseconds Timeout) = 0;
};

} // namespace amaranth::protocol

#endif
