#include "Integration/Platform/RawServer.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
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

int listenAt(int Port, int &Bound) {
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in Address = loopback(Port);
  socklen_t Length = sizeof Address;
  auto *Generic = reinterpret_cast<sockaddr *>(&Address);
  if (Socket < 0 || bind(Socket, Generic, Length) != 0 ||
      listen(Socket, 256) != 0 || getsockname(Socket, Generic, &Length) != 0)
    throw std::runtime_error("cannot listen on a loopback port");
  Bound = ntohs(Address.sin_port);
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

std::string RawRequest::query(const std::string &Name) const {
  std::string Rest =
      "&" +
      Head_.Target_.substr(
          std::min(Head_.Target_.find('?'), Head_.Target_.size() - 1) + 1);
  std::size_t At = Rest.find("&" + Name + "=");
  if (At == std::string::npos)
    return "";
  At += Name.size() + 2;
  return Rest.substr(At, Rest.find('&', At) - At);
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
  std::size_t Done = 0;
  while (Done < Bytes.size()) {
    ssize_t Count =
        send(Socket_, Bytes.data() + Done, Bytes.size() - Done, MSG_NOSIGNAL);
    if (Count <= 0)
      return;
    Done += static_cast<std::size_t>(Count);
  }
}

void RawServerConnection::reset() {
  linger Abrupt{1, 0};
  setsockopt(Socket_, SOL_SOCKET, SO_LINGER, &Abrupt, sizeof Abrupt);
}

bool RawServerConnection::waitForClose(int LimitMs) {
  pollfd Watched{Socket_, POLLIN, 0};
  if (poll(&Watched, 1, LimitMs) <= 0)
    return false;
  char Byte = 0;
  return recv(Socket_, &Byte, 1, MSG_PEEK) <= 0;
}

RawServer::RawServer(Handler Handle) : Handle_(std::move(Handle)) {
  Listener_ = listenAt(0, Port_);
  Acceptor_ = std::thread([this] { accept(); });
}

RawServer::~RawServer() {
  {
    std::lock_guard Lock(Mutex_);
    Stopping_ = true;
    for (int Socket : Open_)
      shutdown(Socket, SHUT_RDWR);
  }
  shutdown(Listener_, SHUT_RDWR);
  Acceptor_.join();
  for (std::thread &One : Threads_)
    One.join();
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
    Open_.push_back(Socket);
    Threads_.emplace_back([this, Socket] { serve(Socket); });
  }
}

void RawServer::serve(int Socket) {
  RawServerConnection Connection(Socket);
  while (std::optional<RawRequest> Request = Connection.read())
    if (!Handle_(Connection, *Request))
      break;
  std::lock_guard Lock(Mutex_);
  Open_.remove(Socket);
  close(Socket);
}

std::string rawAnswer(int Status, const std::string &Fields,
                      const std::string &Body) {
  return transport::statusLine(Status) + Fields +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

int freePort() {
  int Port = 0;
  close(listenAt(0, Port));
  return Port;
}

} // namespace amaranth::integration
