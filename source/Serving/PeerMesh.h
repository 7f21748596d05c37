/// \file
/// Connections between the entry hosts of a fleet.
#ifndef AMARANTH_SERVING_PEERMESH_H
#define AMARANTH_SERVING_PEERMESH_H

#include "Protocol/FleetMessages.h"
#include "Transport/TcpLink.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace amaranth::serving {

/// Settings of PeerMesh.
struct PeerMeshSettings {
  std::string ListenAddress_;
  Milliseconds PingPeriod_{250};
  /// A peer that has not answered a ping for this long is not live.
  Milliseconds SilenceLimit_{1000};
  Milliseconds ConnectTimeout_{500};
  /// Delay between attempts to connect to a host.
  Milliseconds ReconnectDelay_{500};
  /// The connection to a peer that reads too slowly is closed when more than
  /// this many bytes are queued for it.
  std::size_t MaxOutboxBytes_ = 4 * 1024 * 1024;
  std::size_t MaxMessageBytes_ = 8 * 1024 * 1024;
};

/// Receives the states and messages of peers, and supplies this host's state.
class PeerListener {
public:
  virtual ~PeerListener() = default;
  virtual protocol::HostState ownState() = 0;
  virtual void onPeerState(const protocol::HostState &State) = 0;
  virtual void onPeerMessage(const std::string &Host,
                             const protocol::FleetMessage &Message) = 0;
  /// The peer stopped answering, restarted or closed its connection. Messages
  /// that were sent to it before may be lost.
  virtual void onPeerLost(const std::string &Host) = 0;
};

/// Keeps one outgoing connection to each known host and pings it. A host is
/// live while it answers, so that this does not depend on the store.
class PeerMesh final {
public:
  PeerMesh(transport::Loop &Executor, PeerMeshSettings Settings,
           PeerListener &Listener);

  /// Starts accepting peers. False if the address cannot be used.
  bool start();
  /// Adds a host, or changes its address, and stays connected to it. Returns
  /// false, and changes nothing, if \p Address is not IP:PORT.
  bool addOrUpdatePeer(const std::string &Host, const std::string &Address);
  /// The store no longer lists the host. It is removed once it stops answering.
  void markUnlisted(const std::string &Host);

  /// Queues a message. False if there is no connection to the host.
  bool send(const std::string &Host, const protocol::FleetMessage &Message);
  void broadcast(const protocol::FleetMessage &Message);

  /// States of the live peers that serve requests.
  std::vector<protocol::HostState> servingPeers() const;
  /// The same without copies.
  void forEachServing(
      const std::function<void(const protocol::HostState &)> &Visit) const;
  bool isServing(const std::string &Host) const;
  /// Last state received from a live peer, or null.
  const protocol::HostState *findState(const std::string &Host) const;
  std::size_t peerCount() const { return Peers_.size(); }

private:
  /// One connection, used in both directions.
  struct Session {
    explicit Session(std::shared_ptr<transport::TcpLink> Link)
        : Link_(std::move(Link)), OutboxChanged_(Link_->loop()) {}
    std::shared_ptr<transport::TcpLink> Link_;
    std::string Host_; ///< The peer's name; empty until its first ping.
    transport::Wakeup OutboxChanged_;
    std::string Outbox_;
    bool Open_ = true;
  };
  using SessionPtr = std::shared_ptr<Session>;

  struct Peer {
    std::string Host_;
    std::string Address_;
    bool Listed_ = true;
    protocol::HostState State_;
    SteadyTime LastPongAt_{};
    bool Live_ = false;
    SessionPtr Session_;
  };
  using PeerPtr = std::shared_ptr<Peer>;

  transport::Awaitable<void>
  acceptPeers(std::shared_ptr<boost::asio::ip::tcp::acceptor> Acceptor);
  transport::Awaitable<void> serveAccepted(SessionPtr PeerSession);
  transport::Awaitable<void> keepConnected(PeerPtr Remote);
  transport::Awaitable<void> sendPings(PeerPtr Remote, SessionPtr PeerSession);
  transport::Awaitable<void> writeOutbox(SessionPtr PeerSession);
  transport::Awaitable<void> readMessages(SessionPtr PeerSession);
  void handleMessage(const SessionPtr &PeerSession,
                     const protocol::FleetMessage &Message);
  void updatePeerState(const protocol::HostState &State);
  void checkSilence(const PeerPtr &Remote);
  void markLost(const PeerPtr &Remote, const char *Reason);
  bool enqueue(const SessionPtr &PeerSession,
               const protocol::FleetMessage &Message);
  static void closeSession(const SessionPtr &PeerSession);

  transport::Loop &Loop_;
  PeerMeshSettings Settings_;
  PeerListener &Listener_;
  std::map<std::string, PeerPtr> Peers_;
};

} // namespace amaranth::serving

#endif
