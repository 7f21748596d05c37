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
  /// A peer that has not answered for this long is not live.
  Milliseconds Silence_{1000};
  Milliseconds ConnectTimeout_{500};
  /// Wait between attempts to reach a host that does not answer.
  Milliseconds Reconnect_{500};
  /// A peer that takes no bytes is cut off when this much waits for it.
  std::size_t MaxOutbox_ = 4 * 1024 * 1024;
  std::size_t MaxMessage_ = 8 * 1024 * 1024;
};

/// Told about messages and lost peers, and asked for this host's own state.
class PeerListener {
public:
  virtual ~PeerListener() = default;
  virtual protocol::HostState ownState() = 0;
  virtual void onPeerState(const protocol::HostState &State) = 0;
  virtual void onPeerMessage(const std::string &Host,
                             const protocol::FleetMessage &Message) = 0;
  /// The peer does not answer, stops serving, or has started anew: it knows
  /// nothing of what it was sent.
  virtual void onPeerLost(const std::string &Host) = 0;
};

/// Keeps one outgoing connection to each known host and probes it. Whether a
/// host is live is decided by its own answers, so that it needs no store.
class PeerMesh final {
public:
  PeerMesh(transport::Loop &Executor, PeerMeshSettings Settings,
           PeerListener &Listener);

  /// Listens and accepts peers. False if the address cannot be used.
  bool start();
  /// A host exists at \p Address; connects to it until forgotten.
  void know(const std::string &Host, const std::string &Address);
  /// The store no longer lists the host; it is dropped when it is silent.
  void unlist(const std::string &Host);

  /// False if no connection to the host is up.
  bool send(const std::string &Host, const protocol::FleetMessage &Message);
  void broadcast(const protocol::FleetMessage &Message);

  /// Peers that answered lately and take requests.
  std::vector<protocol::HostState> serving() const;
  bool isServing(const std::string &Host) const;
  /// The last state of a peer that answers, or null.
  const protocol::HostState *find(const std::string &Host) const;
  std::size_t known() const { return Peers_.size(); }

private:
  /// One connection, used in both directions.
  struct Session {
    explicit Session(std::shared_ptr<transport::TcpLink> Over)
        : Link_(std::move(Over)), Pending_(Link_->loop()) {}
    std::shared_ptr<transport::TcpLink> Link_;
    std::string Host_; ///< At the other end; empty until it is known.
    transport::Wakeup Pending_;
    std::string Outbox_;
    bool Open_ = true;
  };
  using SessionPtr = std::shared_ptr<Session>;

  struct Peer {
    std::string Host_;
    std::string Address_;
    bool Listed_ = true;
    protocol::HostState State_;
    SteadyTime LastHeard_{};
    bool Live_ = false;
    SessionPtr Session_;
  };
  using PeerPtr = std::shared_ptr<Peer>;

  transport::Awaitable<void>
  acceptPeers(std::shared_ptr<boost::asio::ip::tcp::acceptor> Acceptor);
  transport::Awaitable<void> serveAccepted(SessionPtr Over);
  transport::Awaitable<void> keepConnected(PeerPtr To);
  transport::Awaitable<void> ping(PeerPtr To, SessionPtr Over);
  transport::Awaitable<void> writeOut(SessionPtr Over);
  transport::Awaitable<void> readFrom(SessionPtr Over);
  void take(const SessionPtr &Over, const protocol::FleetMessage &Message);
  void heard(const protocol::HostState &State);
  void checkSilence(const PeerPtr &Of);
  void lose(const PeerPtr &Of, const char *Reason);
  bool enqueue(const SessionPtr &Over, const protocol::FleetMessage &Message);
  static void closeSession(const SessionPtr &Over);

  transport::Loop &Loop_;
  PeerMeshSettings Settings_;
  PeerListener &Listener_;
  std::map<std::string, PeerPtr> Peers_;
};

} // namespace amaranth::serving

#endif
