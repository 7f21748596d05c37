/// \file
/// Serves the calls of peers over Cap'n Proto RPC.
#ifndef AMARANTH_PROTOCOL_PEERSERVER_H
#define AMARANTH_PROTOCOL_PEERSERVER_H

#include "Protocol/PeerEncoding.h"
#include "Protocol/PeerHandler.h"
#include "Support/Error.h"
#include "Transport/RpcLoop.h"
#include "Transport/WorkArena.h"

#include <memory>
#include <string>

namespace amaranth::protocol {

/// Settings of PeerServer.
struct PeerServerSettings {
  /// Numeric; port 0 lets the system choose a free port.
  std::string Address_ = "127.0.0.1:0";
  std::string FleetSecret_;
  /// Connections beyond this number are closed at once.
  std::size_t MaxConnections_ = 512;
  /// Connections that have not authenticated yet; each can make this process
  /// hold one message of the greatest size.
  std::size_t MaxUnauthenticated_ = 32;
  Milliseconds AuthenticationTimeout_{2000};
  /// A connection without calls for this long is closed. Longer than the idle
  /// lifetime of clients, so that a running client closes first.
  Milliseconds IdleLifetime_{30000};
  /// Forwarded requests at a time; further ones are refused, so that probes
  /// find a free worker. The arena must allow more tasks than this.
  std::size_t MaxForwards_ = 128;
  /// Calls of any kind at a time; further ones are refused.
  std::size_t MaxCalls_ = 512;
  PeerLimits Limits_;
};

/// Accepts connections and gives the Peer capability to those that prove
/// knowledge of the fleet secret. Handler calls run as tasks of the arena, so
/// that a blocking handler does not block the loop.
class PeerServer final {
public:
  PeerServer(const PeerServerSettings &Settings, transport::RpcLoop &Loop,
             transport::WorkArena &Arena, PeerHandler &Handler);
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  /// Binds and accepts. InvalidArgument for a bad address or an empty secret,
  /// Unavailable if the address cannot be bound.
  Result<void> start();

  /// The port in use, after start().
  int port() const { return Port_; }

  /// Closes all connections and waits for the handler calls in progress.
  void stop();

  /// Connections open now.
  std::size_t connectionCount();

private:
  struct State;

  PeerServerSettings Settings_;
  transport::RpcLoop &Loop_;
  transport::WorkArena &Arena_;
  PeerHandler &Handler_;
  std::unique_ptr<State> State_; ///< Belongs to the loop's thread.
  int Port_ = 0;
};

} // namespace amaranth::protocol

#endif
