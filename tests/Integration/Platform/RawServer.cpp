#include "Integration/Platform/RawServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <stdexcept>

namespace amaranth::integration {

using transport::HttpReader;

namespace {

constexpr std::size_t MaxBody = 8 * 1024 * 1024;

sockaddr_in loopback(int Port) {
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_port = htons(static_cast<std::uint16_t>(Port));
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return Address;
}

/// Returns a socket bound to \p Port, or to any free port if it is 0; negative
/// if that fails.
int bindTo(int Port) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopback(Port);
  if (Socket >= 0 && bind(Socket, reinterpret_cast<sockaddr *>(&Address),
                          sizeof Address) != 0) {
    close(Socket);
    return -1;
  }
  return Socket;
}

int listenOn(int Port, int &BoundPort) {
  int Socket = bindTo(Port);
  sockaddr_in Address{};
  socklen_t Length = sizeof Address;
  if (Socket < 0 || listen(Socket, 256) != 0 ||
      getsockname(Socket, reinterpret_cast<sockaddr *>(&Address), &Length) != 0)
    throw std::runtime_error("cannot listen on a loopback port");
  BoundPort = ntohs(Address.sin_port);
  return Socket;
}

} // namespace

std::string RawRequest::field(const std::string &Name) const {
  const std::string *Value = Head_.find(Name);
  return Value ? *Value : "";
}

std::string RawRequest::path() const {
  return Head_.Target_.substr(0, Head_.Target_.find('?'));
}

std::string RawRequest::queryParameter(const std::string &Name) const {
  std::string Query =
      "&" +
      Head_.Target_.substr(
          std::min(Head_.Target_.find('?'), Head_.Target_.size() - 1) + 1);
  std::size_t Position = Query.find("&" + Name + "=");
  if (Position == std::string::npos)
    return "";
  Position += Name.size() + 2;
  return Query.substr(Position, Query.find('&', Position) - Position);
}

std::optional<RawRequest> RawServerConnection::read() {
  HttpReader Reader(HttpReader::Kind::Request, 64 * 1024, MaxBody);
  for (;;) {
    Reader.feed(Input_);
    if (Reader.state() == HttpReader::State::Complete)
      return RawRequest{Reader.head(), Reader.takeBody()};
    if (Reader.state() > HttpReader::State::Complete)
      return std::nullopt;
    char Chunk[16384];
    ssize_t Count = recv(Socket_, Chunk, sizeof Chunk, 0);
    if (Count <= 0)
      return std::nullopt;
    Input_.append(Chunk, static_cast<std::size_t>(Count));
  }
}

void RawServerConnection::write(const std::string &Bytes) {
  std::size_t Written = 0;
  while (Written < Bytes.size()) {
    ssize_t Count = send(Socket_, Bytes.data() + Written,
                         Bytes.size() - Written, MSG_NOSIGNAL);
    if (Count <= 0)
      return;
    Written += static_cast<std::size_t>(Count);
  }
}

void RawServerConnection::setSendBuffer(int Bytes) {
  setsockopt(Socket_, SOL_SOCKET, SO_SNDBUF, &Bytes, sizeof Bytes);
}

void RawServerConnection::resetOnClose() {
  linger ResetOnClose{1, 0};
  setsockopt(Socket_, SOL_SOCKET, SO_LINGER, &ResetOnClose,
             sizeof ResetOnClose);
}

bool RawServerConnection::waitForClose(int TimeoutMs) {
  pollfd Poll{Socket_, POLLIN, 0};
  if (poll(&Poll, 1, TimeoutMs) <= 0)
    return false;
  char Byte = 0;
  return recv(Socket_, &Byte, 1, MSG_PEEK) <= 0;
}

RawServer::RawServer(Handler Handle) : Handle_(std::move(Handle)) {
  Listener_ = listenOn(0, Port_);
  Acceptor_ = std::thread([this] { accept(); });
}

RawServer::~RawServer() {
  {
    std::lock_guard Lock(Mutex_);
    Stopping_ = true;
    for (int Socket : OpenSockets_)
      shutdown(Socket, SHUT_RDWR);
  }
  shutdown(Listener_, SHUT_RDWR);
  Acceptor_.join();
  for (std::thread &Thread : Threads_)
    Thread.join();
  close(Listener_);
}

std::string RawServer::address() const {
  return "127.0.0.1:" + std::to_string(Port_);
}

void RawServer::accept() {
  for (;;) {
    int Socket = accept4(Listener_, nullptr, nullptr, SOCK_CLOEXEC);
    std::lock_guard Lock(Mutex_);
    if (Stopping_ || Socket < 0) {
      if (Socket >= 0)
        close(Socket);
      return;
    }
    OpenSockets_.push_back(Socket);
    Threads_.emplace_back([this, Socket] { serve(Socket); });
  }
}

void RawServer::serve(int Socket) {
  RawServerConnection Connection(Socket);
  while (std::optional<RawRequest> Request = Connection.read())
    if (!Handle_(Connection, *Request))
      break;
  std::lock_guard Lock(Mutex_);
  OpenSockets_.remove(Socket);
  close(Socket);
}

std::string rawAnswer(int Status, const std::string &Fields,
                      const std::string &Body) {
  return transport::statusLine(Status) + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

int freePort() {
  // Below the range from which the kernel takes ports for connections and for
  // servers that ask for any port.
  constexpr int FirstPort = 20000;
  constexpr int PortCount = 12000;
  static std::atomic<int> NextOffset{getpid() * 64 % PortCount};
  for (int Attempt = 0; Attempt < PortCount; ++Attempt) {
    int Port = FirstPort + NextOffset++ % PortCount;
    int Socket = bindTo(Port);
    if (Socket < 0)
      continue;
    close(Socket);
    return Port;
  }
  throw std::runtime_error("no loopback port is free");
}

} // namespace amaranth::integration
