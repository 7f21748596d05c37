#include "Integration/RawConnection.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace amaranth::integration {

namespace {

constexpr std::string_view StatusLine = "HTTP/1.1 ";

/// Time without a byte after which a reply is taken as complete.
constexpr Milliseconds ReplySilenceTimeout{50};

/// Time that the server then has to close the connection.
constexpr Seconds CloseTimeout{20};

int connectTo(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  sockaddr_in Target{};
  Target.sin_family = AF_INET;
  Target.sin_port =
      htons(static_cast<std::uint16_t>(std::stoi(Address.substr(Colon + 1))));
  inet_pton(AF_INET, Address.substr(0, Colon).c_str(), &Target.sin_addr);
  int Socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (Socket < 0 || connect(Socket, reinterpret_cast<sockaddr *>(&Target),
                            sizeof(Target)) != 0) {
    close(Socket);
    throw std::runtime_error("cannot connect to " + Address);
  }
  return Socket;
}

} // namespace

std::optional<int> RawReply::status() const {
  if (!Bytes_.starts_with(StatusLine) || Bytes_.size() < StatusLine.size() + 3)
    return std::nullopt;
  return std::stoi(Bytes_.substr(StatusLine.size(), 3));
}

RawReply exchangeRaw(const std::string &Address, const std::string &Bytes,
                     Milliseconds SilenceTimeout) {
  int Socket = connectTo(Address);
  const SteadyTime Deadline =
      SteadyClock::now() + SilenceTimeout + CloseTimeout;
  RawReply Reply;
  std::size_t Sent = 0;
  bool WriteSideOpen = true;
  while (!Reply.Closed_ && SteadyClock::now() < Deadline) {
    const bool Writing = WriteSideOpen && Sent < Bytes.size();
    pollfd Poll{Socket, static_cast<short>(Writing ? POLLIN | POLLOUT : POLLIN),
                0};
    const Milliseconds MaxSilence =
        Reply.Bytes_.empty() ? SilenceTimeout : ReplySilenceTimeout;
    const Milliseconds PollTimeout =
        WriteSideOpen && !Writing ? MaxSilence : remaining(Deadline);
    int Ready = poll(&Poll, 1, static_cast<int>(PollTimeout.count()));
    if (Ready == 0 && WriteSideOpen) {
      shutdown(Socket, SHUT_WR);
      WriteSideOpen = false;
    }
    if (Poll.revents & POLLOUT) {
      ssize_t Size = send(Socket, Bytes.data() + Sent, Bytes.size() - Sent,
                          MSG_NOSIGNAL | MSG_DONTWAIT);
      // A server may refuse a request and close before it has read all of it.
      Sent = Size > 0 ? Sent + static_cast<std::size_t>(Size) : Bytes.size();
    }
    if (Poll.revents & (POLLIN | POLLHUP | POLLERR)) {
      std::array<char, 4096> Buffer{};
      ssize_t Size = recv(Socket, Buffer.data(), Buffer.size(), MSG_DONTWAIT);
      if (Size > 0)
        Reply.Bytes_.append(Buffer.data(), static_cast<std::size_t>(Size));
      else
        Reply.Closed_ = true;
    }
  }
  close(Socket);
  return Reply;
}

} // namespace amaranth::integration
