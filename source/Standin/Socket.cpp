#include "Standin/Socket.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <charconv>
#include <utility>

namespace amaranth::standin {

namespace {

constexpr int Backlog = 1024;
constexpr int MaxPort = 65535;

sockaddr_in toNative(const SocketAddress &Address) {
  sockaddr_in Native{};
  Native.sin_family = AF_INET;
  Native.sin_port = htons(static_cast<std::uint16_t>(Address.Port_));
  inet_pton(AF_INET, Address.Ip_.c_str(), &Native.sin_addr);
  return Native;
}

std::string toText(const SocketAddress &Address) {
  return Address.Ip_ + ":" + std::to_string(Address.Port_);
}

void enableOption(int Descriptor, int Level, int Name) {
  int Enabled = 1;
  setsockopt(Descriptor, Level, Name, &Enabled, sizeof(Enabled));
}

} // namespace

Result<SocketAddress> parseLoopback(std::string_view Text) {
  std::size_t Colon = Text.find(':');
  SocketAddress Address;
  Address.Ip_ = std::string(Text.substr(0, Colon));
  in_addr ParsedIp{};
  const char *End = Text.data() + Text.size();
  const char *PortText =
      Colon == std::string_view::npos ? End : Text.data() + Colon + 1;
  auto ParsedPort = std::from_chars(PortText, End, Address.Port_);
  bool Valid = ParsedPort.ec == std::errc() && ParsedPort.ptr == End &&
               Address.Port_ >= 0 && Address.Port_ <= MaxPort &&
               inet_pton(AF_INET, Address.Ip_.c_str(), &ParsedIp) == 1 &&
               ntohl(ParsedIp.s_addr) >> 24 == IN_LOOPBACKNET;
  if (!Valid)
    return fail(ErrorCode::InvalidArgument,
                "expected IP:PORT with a loopback IP, got: " +
                    std::string(Text));
  return Address;
}

Socket::Socket(Socket &&Other) noexcept
    : Descriptor_(std::exchange(Other.Descriptor_, -1)) {}

Socket &Socket::operator=(Socket &&Other) noexcept {
  std::swap(Descriptor_, Other.Descriptor_);
  return *this;
}

Socket::~Socket() {
  if (Descriptor_ >= 0)
    close(Descriptor_);
}

Result<Socket> Socket::bindTo(const SocketAddress &Address) {
  Socket NewSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  enableOption(NewSocket.Descriptor_, SOL_SOCKET, SO_REUSEADDR);
  sockaddr_in Native = toNative(Address);
  if (bind(NewSocket.Descriptor_, reinterpret_cast<sockaddr *>(&Native),
           sizeof(Native)) != 0)
    return fail(ErrorCode::Unavailable, "cannot bind " + toText(Address));
  return NewSocket;
}

Result<Socket> Socket::listenOn(const SocketAddress &Address) {
  BOOST_LEAF_AUTO(NewSocket, bindTo(Address));
  // The kernel keeps a port bound after shutdown() only if it was bound by
  // number, so a port that the system chose is bound again by its number.
  if (Address.Port_ == 0) {
    BOOST_LEAF_ASSIGN(NewSocket, bindTo({Address.Ip_, NewSocket.localPort()}));
  }
  if (!NewSocket.startListening())
    return fail(ErrorCode::Unavailable, "cannot listen on " + toText(Address));
  return NewSocket;
}

Result<Socket> Socket::connectTo(const SocketAddress &Address) {
  Socket NewSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  enableOption(NewSocket.Descriptor_, IPPROTO_TCP, TCP_NODELAY);
  sockaddr_in Native = toNative(Address);
  if (connect(NewSocket.Descriptor_, reinterpret_cast<sockaddr *>(&Native),
              sizeof(Native)) != 0)
    return fail(ErrorCode::Unavailable, "cannot connect to " + toText(Address));
  return NewSocket;
}

int Socket::localPort() const {
  sockaddr_in Native{};
  socklen_t Size = sizeof(Native);
  getsockname(Descriptor_, reinterpret_cast<sockaddr *>(&Native), &Size);
  return ntohs(Native.sin_port);
}

Socket Socket::accept() const {
  Socket Accepted(accept4(Descriptor_, nullptr, nullptr, SOCK_CLOEXEC));
  if (Accepted.valid())
    enableOption(Accepted.Descriptor_, IPPROTO_TCP, TCP_NODELAY);
  return Accepted;
}

bool Socket::startListening() const {
  return listen(Descriptor_, Backlog) == 0;
}

bool Socket::waitReadable(Milliseconds Timeout) const {
  pollfd Poll{Descriptor_, POLLIN, 0};
  return poll(&Poll, 1, static_cast<int>(Timeout.count())) > 0;
}

void Socket::waitReadable() const {
  pollfd Poll{Descriptor_, POLLIN, 0};
  poll(&Poll, 1, -1);
}

std::ptrdiff_t Socket::read(char *Buffer, std::size_t Size) const {
  return recv(Descriptor_, Buffer, Size, 0);
}

bool Socket::writeAll(std::string_view Data) const {
  while (!Data.empty()) {
    ssize_t Sent = send(Descriptor_, Data.data(), Data.size(), MSG_NOSIGNAL);
    if (Sent <= 0)
      return false;
    Data.remove_prefix(static_cast<std::size_t>(Sent));
  }
  return true;
}

void Socket::shutdownWrite() const { shutdown(Descriptor_, SHUT_WR); }

void Socket::shutdownBoth() const { shutdown(Descriptor_, SHUT_RDWR); }

} // namespace amaranth::standin
