/// \file
/// Calls to peers over Cap'n Proto RPC.
#ifndef AMARANTH_PROTOCOL_PEERCLIENT_H
#define AMARANTH_PROTOCOL_PEERCLIENT_H

#include "Protocol/PeerEncoding.h"
#include "Protocol/PeerNetwork.h"
#include "Transport/RpcLoop.h"

#include <functional>
#include <memory>

namespace amaranth::protocol {

/// Settings of PeerClient.
struct PeerClientSettings {
  std::string FleetSecret_;
  /// Limit for connecting and authenticating, below the call's own timeout.
  Milliseconds ConnectTimeout_{1000};
  /// An unused connection is closed after this time, so that the number of open
  /// ones follows the probe rate and not the size of the fleet.
  Milliseconds IdleLifetime_{10000};
  PeerLimits Limits_;
};

/// Keeps one connection for each peer in use, opened by the first call. A
/// connection on which a call failed or stayed without reply gets no further
/// calls; it is closed when the calls in progress on it have ended, so that a
/// slow probe does not break off a forwarded request.
class PeerClient final : public PeerNetwork {
public:
  PeerClient(const PeerClientSettings &Settings, transport::RpcLoop &Loop);
  /// No call may be in progress.
  ~PeerClient() override;
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  Result<Gossip> probe(const std::string &PeerAddress, const Gossip &OwnGossip,
                       Milliseconds Timeout) override;
  Result<bool> probeIndirect(const std::string &ViaAddress,
                             const std::string &PeerAddress,
                             Milliseconds Timeout) override;
  Result<RequestOutcome> forward(const std::string &PeerAddress,
                                 const ForwardedRequest &Request) override;
  Result<RequestOutcome> lookUp(const std::string &PeerAddress,
                                const std::string &IdempotencyKey,
                                Milliseconds Timeout) override;
  Result<std::vector<ServiceRevision>> revisions(const std::string &PeerAddress,
                                                 Milliseconds Timeout) override;
  Result<std::vector<state::StoredDocument>>
  documents(const std::string &PeerAddress,
            const std::vector<std::string> &Names,
            Milliseconds Timeout) override;
  Result<void> pushDocument(const std::string &PeerAddress,
                            const state::StoredDocument &Document,
                            Milliseconds Timeout) override;
  Result<void> reportSuspect(const std::string &PeerAddress,
                             const SuspectInput &Suspect,
                             Milliseconds Timeout) override;

  /// Connections open for further calls.
  std::size_t connectionCount();

private:
  struct State;
  template <typename T>
  using Sender = std::function<kj::Promise<T>(wire::Peer::Client &)>;

  template <typename T>
  Result<T> call(const std::string &Address, Milliseconds Timeout,
                 Sender<T> Send);

  PeerClientSettings Settings_;
  transport::RpcLoop &Loop_;
  std::unique_ptr<State> State_; ///< Belongs to the loop's thread.
};

} // namespace amaranth::protocol

#endif
