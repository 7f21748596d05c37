#include "Transport/ClientConnection.h"

#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>

namespace amaranth::transport::detail {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Bytes read from the socket in one call.
constexpr std::size_t ReadSize = 16 * 1024;

SteadyTime earlier(SteadyTime Until, Milliseconds Timeout) {
  return std::min(Until, SteadyClock::now() + Timeout);
}

} // namespace

ClientConnection::ClientConnection(Loop &Executor) : Socket_(Executor) {}

bool ClientConnection::waitFor(short Events, SteadyTime Until) {
  pollfd Wanted{Socket_.native_handle(), Events, 0};
  for (;;) {
    auto Left =
        std::chrono::ceil<Milliseconds>(Until - SteadyClock::now()).count();
    if (Left <= 0)
      return false;
    int Ready = poll(&Wanted, 1, static_cast<int>(std::min<long>(Left, 60000)));
    if (Ready > 0 || (Ready < 0 && errno != EINTR))
      return true;
  }
}

bool ClientConnection::connect(const std::string &Address, SteadyTime Until) {
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return false;
  error_code Failure;
  tcp::resolver Resolver(Socket_.get_executor());
  auto Found = Resolver.resolve(Address.substr(0, Colon),
                                Address.substr(Colon + 1), Failure);
  if (Failure || Found.empty())
    return false;
  tcp::endpoint Peer = *Found.begin();
  Socket_.open(Peer.protocol(), Failure);
  if (Failure)
    return false;
  Socket_.set_option(tcp::no_delay(true), Failure);
  Socket_.non_blocking(true, Failure);
  // Asio's own connect() waits without a limit.
  auto Length = static_cast<socklen_t>(Peer.size());
  if (::connect(Socket_.native_handle(), Peer.data(), Length) == 0)
    return true;
  if (errno != EINPROGRESS || !waitFor(POLLOUT, Until))
    return false;
  int Error = 0;
  socklen_t Size = sizeof Error;
  getsockopt(Socket_.native_handle(), SOL_SOCKET, SO_ERROR, &Error, &Size);
  return Error == 0;
}

LinkStatus ClientConnection::write(std::string_view Bytes,
                                   Milliseconds ProgressTimeout,
                                   SteadyTime Until) {
  while (!Bytes.empty()) {
    error_code Failure;
    std::size_t Count =
        Socket_.write_some(asio::buffer(Bytes.data(), Bytes.size()), Failure);
    Bytes.remove_prefix(Count);
    if (Failure == asio::error::would_block) {
      if (!waitFor(POLLOUT, earlier(Until, ProgressTimeout)))
        return LinkStatus::TimedOut;
    } else if (Failure) {
      return LinkStatus::Reset;
    }
  }
  return LinkStatus::Ok;
}

LinkStatus ClientConnection::readSome(Milliseconds ProgressTimeout,
                                      SteadyTime Until) {
  if (!waitFor(POLLIN, earlier(Until, ProgressTimeout)))
    return LinkStatus::TimedOut;
  std::size_t Size = Input_.size();
  Input_.resize(Size + ReadSize);
  error_code Failure;
  std::size_t Count =
      Socket_.read_some(asio::buffer(Input_.data() + Size, ReadSize), Failure);
  Input_.resize(Size + Count);
  if (Failure == asio::error::eof)
    return LinkStatus::End;
  return Failure ? LinkStatus::Reset : LinkStatus::Ok;
}

bool ClientConnection::isReusable() {
  char Byte = 0;
  ssize_t Peeked = recv(Socket_.native_handle(), &Byte, sizeof Byte,
                        MSG_PEEK | MSG_DONTWAIT);
  return Peeked < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ClientConnection::interrupt() {
  shutdown(Socket_.native_handle(), SHUT_RDWR);
}

} // namespace amaranth::transport::detail
