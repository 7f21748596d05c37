#include "Serving/PeerMesh.h"

#include "Support/Log.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace amaranth::serving {

namespace asio = boost::asio;
using asio::ip::tcp;
using protocol::FleetMessage;
using protocol::HostState;
using transport::Awaitable;
using transport::LinkStatus;
using transport::TcpLink;

namespace {

constexpr std::size_t LengthBytes = 4;

std::uint32_t frameLength(const std::string &Input) {
  std::uint32_t Length = 0;
  for (std::size_t I = 0; I < LengthBytes; ++I)
    Length = Length << 8 | static_cast<unsigned char>(Input[I]);
  return Length;
}

void appendFrame(std::string &Out, const std::string &Bytes) {
  auto Length = static_cast<std::uint32_t>(Bytes.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Out.push_back(static_cast<char>(Length >> Shift));
  Out.append(Bytes);
}

} // namespace

PeerMesh::PeerMesh(transport::Loop &Executor, PeerMeshSettings Settings,
                   PeerListener &Listener)
    : Loop_(Executor), Settings_(std::move(Settings)), Listener_(Listener) {}

bool PeerMesh::start() {
  auto Endpoint = transport::parseEndpoint(Settings_.ListenAddress_);
  if (!Endpoint)
    return false;
  auto Acceptor = std::make_shared<tcp::acceptor>(Loop_);
  boost::system::error_code Failure;
  Acceptor->open(tcp::v4(), Failure);
  Acceptor->set_option(asio::socket_base::reuse_address(true), Failure);
  Acceptor->bind(*Endpoint, Failure);
  if (!Failure)
    Acceptor->listen(asio::socket_base::max_listen_connections, Failure);
  if (Failure)
    return false;
  transport::startTask(Loop_, acceptPeers(Acceptor));
  return true;
}

void PeerMesh::know(const std::string &Host, const std::string &Address) {
  auto Found = Peers_.find(Host);
  if (Found != Peers_.end()) {
    Found->second->Listed_ = true;
    Found->second->Address_ = Address;
    return;
  }
  auto Added = std::make_shared<Peer>();
  Added->Host_ = Host;
  Added->Address_ = Address;
  Peers_[Host] = Added;
  transport::startTask(Loop_, keepConnected(Added));
}

void PeerMesh::unlist(const std::string &Host) {
  auto Found = Peers_.find(Host);
  if (Found != Peers_.end())
    Found->second->Listed_ = false;
}

Awaitable<void> PeerMesh::acceptPeers(std::shared_ptr<tcp::acceptor> Acceptor) {
  for (;;) {
    tcp::socket Accepted(Loop_);
    boost::system::error_code Failure;
    auto Token = asio::redirect_error(asio::use_awaitable, Failure);
    co_await Acceptor->async_accept(Accepted, Token);
    if (Failure) {
      co_await transport::pause(Loop_, Settings_.PingPeriod_);
      continue;
    }
    auto Link = std::make_shared<TcpLink>(std::move(Accepted));
    auto Over = std::make_shared<Session>(Link);
    transport::startTask(Loop_, serveAccepted(Over));
  }
}

Awaitable<void> PeerMesh::serveAccepted(SessionPtr Over) {
  transport::startTask(Loop_, writeOut(Over));
  co_await readFrom(Over);
  closeSession(Over);
}

Awaitable<void> PeerMesh::keepConnected(PeerPtr To) {
  while (To->Listed_ || To->Live_) {
    auto Endpoint = transport::parseEndpoint(To->Address_);
    if (!Endpoint)
      break;
    auto Link = std::make_shared<TcpLink>(Loop_);
    Link->setDeadline(SteadyClock::now() + Settings_.ConnectTimeout_);
    tcp::endpoint Address = *Endpoint;
    bool Connected = co_await Link->connect(Address);
    if (Connected) {
      Link->clearDeadline();
      auto Over = std::make_shared<Session>(Link);
      Over->Host_ = To->Host_;
      To->Session_ = Over;
      transport::startTask(Loop_, writeOut(Over));
      transport::startTask(Loop_, ping(To, Over));
      co_await readFrom(Over);
      closeSession(Over);
      To->Session_ = nullptr;
      if (To->Live_)
        lose(To, "connection_closed");
    }
    checkSilence(To);
    co_await transport::pause(Loop_, Settings_.Reconnect_);
  }
  LogEvent(LogLevel::Info, "peer_forgotten").field("host", To->Host_);
  auto Found = Peers_.find(To->Host_);
  if (Found != Peers_.end() && Found->second == To)
    Peers_.erase(Found);
}

Awaitable<void> PeerMesh::ping(PeerPtr To, SessionPtr Over) {
  SteadyTime Opened = SteadyClock::now();
  while (Over->Open_) {
    protocol::Ping Mine{Listener_.ownState()};
    FleetMessage Message = std::move(Mine);
    enqueue(Over, Message);
    co_await transport::pause(Loop_, Settings_.PingPeriod_);
    checkSilence(To);
    // A silent connection is replaced; others may still work.
    SteadyTime Heard = std::max(To->LastHeard_, Opened);
    if (SteadyClock::now() - Heard > Settings_.Silence_)
      closeSession(Over);
  }
}

Awaitable<void> PeerMesh::writeOut(SessionPtr Over) {
  while (Over->Open_) {
    if (Over->Outbox_.empty()) {
      SteadyTime Later = SteadyClock::now() + Seconds(60);
      co_await Over->Pending_.wait(Later);
      continue;
    }
    std::string Bytes = std::move(Over->Outbox_);
    Over->Outbox_.clear();
    LinkStatus Status = co_await Over->Link_->write(Bytes);
    if (Status != LinkStatus::Ok)
      closeSession(Over);
  }
}

Awaitable<void> PeerMesh::readFrom(SessionPtr Over) {
  std::string &Input = Over->Link_->input();
  while (Over->Open_) {
    LinkStatus Status = co_await Over->Link_->readSome();
    if (Status != LinkStatus::Ok)
      co_return;
    std::size_t Used = 0;
    while (Input.size() - Used >= LengthBytes) {
      std::uint32_t Length = frameLength(Input.substr(Used, LengthBytes));
      if (Length > Settings_.MaxMessage_) {
        LogEvent(LogLevel::Warn, "peer_message_too_large")
            .field("bytes", Length);
        co_return;
      }
      if (Input.size() - Used - LengthBytes < Length)
        break;
      std::string Bytes = Input.substr(Used + LengthBytes, Length);
      Used += LengthBytes + Length;
      std::optional<FleetMessage> Message = protocol::decodeFleetMessage(Bytes);
      if (!Message) {
        LogEvent(LogLevel::Warn, "peer_message_malformed")
            .field("host", Over->Host_);
        co_return;
      }
      take(Over, *Message);
    }
    Input.erase(0, Used);
  }
}

void PeerMesh::take(const SessionPtr &Over, const FleetMessage &Message) {
  if (const auto *Ping = std::get_if<protocol::Ping>(&Message)) {
    Over->Host_ = Ping->State_.Host_;
    know(Ping->State_.Host_, Ping->State_.PeerAddress_);
    protocol::Pong Mine{Listener_.ownState()};
    enqueue(Over, FleetMessage(std::move(Mine)));
    Listener_.onPeerState(Ping->State_);
    return;
  }
  if (const auto *Pong = std::get_if<protocol::Pong>(&Message)) {
    heard(Pong->State_);
    return;
  }
  if (!Over->Host_.empty())
    Listener_.onPeerMessage(Over->Host_, Message);
}

void PeerMesh::heard(const HostState &State) {
  auto Found = Peers_.find(State.Host_);
  if (Found == Peers_.end())
    return;
  PeerPtr Of = Found->second;
  bool Restarted = Of->State_.Incarnation_ != 0 &&
                   Of->State_.Incarnation_ != State.Incarnation_;
  if (Restarted && Of->Live_)
    lose(Of, "restarted");
  bool StoppedServing = Of->Live_ && Of->State_.Serving_ && !State.Serving_;
  Of->State_ = State;
  Of->LastHeard_ = SteadyClock::now();
  if (!Of->Live_) {
    Of->Live_ = true;
    LogEvent(LogLevel::Info, "peer_live")
        .field("host", State.Host_)
        .field("serving", State.Serving_ ? 1 : 0);
  }
  if (StoppedServing)
    LogEvent(LogLevel::Info, "peer_draining").field("host", State.Host_);
  Listener_.onPeerState(State);
}

void PeerMesh::checkSilence(const PeerPtr &Of) {
  if (Of->Live_ && SteadyClock::now() - Of->LastHeard_ > Settings_.Silence_)
    lose(Of, "silent");
}

void PeerMesh::lose(const PeerPtr &Of, const char *Reason) {
  Of->Live_ = false;
  LogEvent(LogLevel::Warn, "peer_lost")
      .field("host", Of->Host_)
      .field("reason", Reason);
  Listener_.onPeerLost(Of->Host_);
}

bool PeerMesh::enqueue(const SessionPtr &Over, const FleetMessage &Message) {
  if (!Over->Open_)
    return false;
  if (Over->Outbox_.size() > Settings_.MaxOutbox_) {
    LogEvent(LogLevel::Warn, "peer_takes_no_bytes").field("host", Over->Host_);
    closeSession(Over);
    return false;
  }
  std::string Bytes = protocol::encodeFleetMessage(Message);
  appendFrame(Over->Outbox_, Bytes);
  Over->Pending_.notify();
  return true;
}

void PeerMesh::closeSession(const SessionPtr &Over) {
  Over->Open_ = false;
  Over->Link_->close();
  Over->Pending_.notify();
}

bool PeerMesh::send(const std::string &Host, const FleetMessage &Message) {
  auto Found = Peers_.find(Host);
  if (Found == Peers_.end() || !Found->second->Session_)
    return false;
  return enqueue(Found->second->Session_, Message);
}

void PeerMesh::broadcast(const FleetMessage &Message) {
  for (const auto &[Host, Of] : Peers_)
    if (Of->Session_)
      enqueue(Of->Session_, Message);
}

std::vector<HostState> PeerMesh::serving() const {
  std::vector<HostState> Out;
  for (const auto &[Host, Of] : Peers_)
    if (Of->Live_ && Of->State_.Serving_)
      Out.push_back(Of->State_);
  return Out;
}

bool PeerMesh::isServing(const std::string &Host) const {
  const HostState *State = find(Host);
  return State && State->Serving_;
}

const HostState *PeerMesh::find(const std::string &Host) const {
  auto Found = Peers_.find(Host);
  if (Found == Peers_.end() || !Found->second->Live_)
    return nullptr;
  return &Found->second->State_;
}

} // namespace amaranth::serving
