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

void appendFrame(std::string &Buffer, const std::string &Bytes) {
  auto Length = static_cast<std::uint32_t>(Bytes.size());
  for (int Shift = 24; Shift >= 0; Shift -= 8)
    Buffer.push_back(static_cast<char>(Length >> Shift));
  Buffer.append(Bytes);
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

bool PeerMesh::addOrUpdatePeer(const std::string &Host,
                               const std::string &Address) {
  if (!transport::parseEndpoint(Address))
    return false;
  auto Found = Peers_.find(Host);
  if (Found != Peers_.end()) {
    Found->second->Listed_ = true;
    Found->second->Address_ = Address;
    return true;
  }
  auto NewPeer = std::make_shared<Peer>();
  NewPeer->Host_ = Host;
  NewPeer->Address_ = Address;
  Peers_[Host] = NewPeer;
  transport::startTask(Loop_, keepConnected(NewPeer));
  return true;
}

void PeerMesh::markUnlisted(const std::string &Host) {
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
    auto PeerSession = std::make_shared<Session>(Link);
    transport::startTask(Loop_, serveAccepted(PeerSession));
  }
}

Awaitable<void> PeerMesh::serveAccepted(SessionPtr PeerSession) {
  transport::startTask(Loop_, writeOutbox(PeerSession));
  co_await readMessages(PeerSession);
  closeSession(PeerSession);
}

Awaitable<void> PeerMesh::keepConnected(PeerPtr Remote) {
  while (Remote->Listed_ || Remote->Live_) {
    auto Endpoint = transport::parseEndpoint(Remote->Address_);
    if (!Endpoint)
      break;
    auto Link = std::make_shared<TcpLink>(Loop_);
    Link->setDeadline(SteadyClock::now() + Settings_.ConnectTimeout_);
    tcp::endpoint Address = *Endpoint;
    bool Connected = co_await Link->connect(Address);
    if (Connected) {
      Link->clearDeadline();
      auto PeerSession = std::make_shared<Session>(Link);
      PeerSession->Host_ = Remote->Host_;
      Remote->Session_ = PeerSession;
      transport::startTask(Loop_, writeOutbox(PeerSession));
      transport::startTask(Loop_, sendPings(Remote, PeerSession));
      co_await readMessages(PeerSession);
      closeSession(PeerSession);
      Remote->Session_ = nullptr;
      if (Remote->Live_)
        markLost(Remote, "connection_closed");
    }
    checkSilence(Remote);
    co_await transport::pause(Loop_, Settings_.ReconnectDelay_);
  }
  LogEvent(LogLevel::Info, "peer_forgotten").field("host", Remote->Host_);
  auto Found = Peers_.find(Remote->Host_);
  if (Found != Peers_.end() && Found->second == Remote)
    Peers_.erase(Found);
}

Awaitable<void> PeerMesh::sendPings(PeerPtr Remote, SessionPtr PeerSession) {
  SteadyTime OpenedAt = SteadyClock::now();
  while (PeerSession->Open_) {
    protocol::Ping OwnPing{Listener_.ownState()};
    FleetMessage Message = std::move(OwnPing);
    enqueue(PeerSession, Message);
    co_await transport::pause(Loop_, Settings_.PingPeriod_);
    checkSilence(Remote);
    // Closes a connection on which no answer arrives, so that keepConnected()
    // opens a new one.
    SteadyTime LastActivity = std::max(Remote->LastPongAt_, OpenedAt);
    if (SteadyClock::now() - LastActivity > Settings_.SilenceLimit_)
      closeSession(PeerSession);
  }
}

Awaitable<void> PeerMesh::writeOutbox(SessionPtr PeerSession) {
  while (PeerSession->Open_) {
    if (PeerSession->Outbox_.empty()) {
      SteadyTime WaitUntil = SteadyClock::now() + Seconds(60);
      co_await PeerSession->OutboxChanged_.wait(WaitUntil);
      continue;
    }
    std::string Bytes = std::move(PeerSession->Outbox_);
    PeerSession->Outbox_.clear();
    LinkStatus Status = co_await PeerSession->Link_->write(Bytes);
    if (Status != LinkStatus::Ok)
      closeSession(PeerSession);
  }
}

Awaitable<void> PeerMesh::readMessages(SessionPtr PeerSession) {
  std::string &Input = PeerSession->Link_->input();
  while (PeerSession->Open_) {
    LinkStatus Status = co_await PeerSession->Link_->readSome();
    if (Status != LinkStatus::Ok)
      co_return;
    std::size_t Consumed = 0;
    while (Input.size() - Consumed >= LengthBytes) {
      std::uint32_t Length = frameLength(Input.substr(Consumed, LengthBytes));
      if (Length > Settings_.MaxMessageBytes_) {
        LogEvent(LogLevel::Warn, "peer_message_too_large")
            .field("bytes", Length);
        co_return;
      }
      if (Input.size() - Consumed - LengthBytes < Length)
        break;
      std::string Bytes = Input.substr(Consumed + LengthBytes, Length);
      Consumed += LengthBytes + Length;
      std::optional<FleetMessage> Message = protocol::decodeFleetMessage(Bytes);
      if (!Message) {
        LogEvent(LogLevel::Warn, "peer_message_malformed")
            .field("host", PeerSession->Host_);
        co_return;
      }
      handleMessage(PeerSession, *Message);
    }
    Input.erase(0, Consumed);
  }
}

void PeerMesh::handleMessage(const SessionPtr &PeerSession,
                             const FleetMessage &Message) {
  if (const auto *Ping = std::get_if<protocol::Ping>(&Message)) {
    bool IsFirst = PeerSession->Host_.empty();
    PeerSession->Host_ = Ping->State_.Host_;
    if (!addOrUpdatePeer(Ping->State_.Host_, Ping->State_.PeerAddress_) &&
        IsFirst)
      LogEvent(LogLevel::Warn, "peer_address_invalid")
          .field("host", Ping->State_.Host_)
          .field("address", Ping->State_.PeerAddress_);
    protocol::Pong OwnPong{Listener_.ownState()};
    enqueue(PeerSession, FleetMessage(std::move(OwnPong)));
    Listener_.onPeerState(Ping->State_);
    return;
  }
  if (const auto *Pong = std::get_if<protocol::Pong>(&Message)) {
    updatePeerState(Pong->State_);
    return;
  }
  if (!PeerSession->Host_.empty())
    Listener_.onPeerMessage(PeerSession->Host_, Message);
}

void PeerMesh::updatePeerState(const HostState &State) {
  auto Found = Peers_.find(State.Host_);
  if (Found == Peers_.end())
    return;
  PeerPtr Remote = Found->second;
  bool Restarted = Remote->State_.Incarnation_ != 0 &&
                   Remote->State_.Incarnation_ != State.Incarnation_;
  if (Restarted && Remote->Live_)
    markLost(Remote, "restarted");
  bool StoppedServing =
      Remote->Live_ && Remote->State_.Serving_ && !State.Serving_;
  Remote->State_ = State;
  Remote->LastPongAt_ = SteadyClock::now();
  if (!Remote->Live_) {
    Remote->Live_ = true;
    LogEvent(LogLevel::Info, "peer_live")
        .field("host", State.Host_)
        .field("serving", State.Serving_ ? 1 : 0);
  }
  if (StoppedServing)
    LogEvent(LogLevel::Info, "peer_draining").field("host", State.Host_);
  Listener_.onPeerState(State);
}

void PeerMesh::checkSilence(const PeerPtr &Remote) {
  if (Remote->Live_ &&
      SteadyClock::now() - Remote->LastPongAt_ > Settings_.SilenceLimit_)
    markLost(Remote, "silent");
}

void PeerMesh::markLost(const PeerPtr &Remote, const char *Reason) {
  Remote->Live_ = false;
  LogEvent(LogLevel::Warn, "peer_lost")
      .field("host", Remote->Host_)
      .field("reason", Reason);
  Listener_.onPeerLost(Remote->Host_);
}

bool PeerMesh::enqueue(const SessionPtr &PeerSession,
                       const FleetMessage &Message) {
  if (!PeerSession->Open_)
    return false;
  if (PeerSession->Outbox_.size() > Settings_.MaxOutboxBytes_) {
    LogEvent(LogLevel::Warn, "peer_takes_no_bytes")
        .field("host", PeerSession->Host_);
    closeSession(PeerSession);
    return false;
  }
  std::string Bytes = protocol::encodeFleetMessage(Message);
  appendFrame(PeerSession->Outbox_, Bytes);
  PeerSession->OutboxChanged_.notify();
  return true;
}

void PeerMesh::closeSession(const SessionPtr &PeerSession) {
  PeerSession->Open_ = false;
  PeerSession->Link_->close();
  PeerSession->OutboxChanged_.notify();
}

bool PeerMesh::send(const std::string &Host, const FleetMessage &Message) {
  auto Found = Peers_.find(Host);
  if (Found == Peers_.end() || !Found->second->Session_)
    return false;
  return enqueue(Found->second->Session_, Message);
}

void PeerMesh::broadcast(const FleetMessage &Message) {
  for (const auto &[Host, Remote] : Peers_)
    if (Remote->Session_)
      enqueue(Remote->Session_, Message);
}

std::vector<HostState> PeerMesh::servingPeers() const {
  std::vector<HostState> States;
  for (const auto &[Host, Remote] : Peers_)
    if (Remote->Live_ && Remote->State_.Serving_)
      States.push_back(Remote->State_);
  return States;
}

void PeerMesh::forEachServing(
    const std::function<void(const HostState &)> &Visit) const {
  for (const auto &[Host, Remote] : Peers_)
    if (Remote->Live_ && Remote->State_.Serving_)
      Visit(Remote->State_);
}

bool PeerMesh::isServing(const std::string &Host) const {
  const HostState *State = findState(Host);
  return State && State->Serving_;
}

const HostState *PeerMesh::findState(const std::string &Host) const {
  auto Found = Peers_.find(Host);
  if (Found == Peers_.end() || !Found->second->Live_)
    return nullptr;
  return &Found->second->State_;
}

} // namespace amaranth::serving
