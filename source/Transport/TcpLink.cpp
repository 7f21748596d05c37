#include "Transport/TcpLink.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <charconv>

namespace amaranth::transport {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

/// Bytes read from the socket in one call.
constexpr std::size_t ReadSize = 16 * 1024;
/// Limit for bytes that a peer sends while its request is processed. Each of
/// some thousand connections may hold as many.
constexpr std::size_t MaxWatchedInput = 8 * 1024;
/// A connection that this process opened is broken if the peer acknowledges
/// nothing, or takes no bytes, for this long; connections can stall without a
/// reset.
constexpr int UserTimeoutMs = 3000;
/// Probes of an accepted connection on which nothing arrives: after this many
/// seconds, then at this interval, and it is broken when this many are not
/// answered.
constexpr int KeepAliveIdleSeconds = 10;
constexpr int KeepAliveIntervalSeconds = 2;
constexpr int KeepAliveProbes = 3;
/// Bytes not yet sent that the socket of an accepted connection holds. The
/// default is over 1 MB for each peer that reads slowly, which no budget of
/// this process counts.
constexpr int MaxUnsentBytes = 16 * 1024;

} // namespace

const char *toString(LinkStatus Status) {
  switch (Status) {
  case LinkStatus::Ok:
    return "ok";
  case LinkStatus::End:
    return "ended";
  case LinkStatus::Reset:
    return "reset";
  case LinkStatus::TimedOut:
    return "timed_out";
  case LinkStatus::Closed:
    return "closed";
  }
  return "unknown";
}

std::optional<tcp::endpoint> parseEndpoint(const std::string &Address) {
  std::size_t Colon = Address.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  error_code Failure;
  auto Ip = asio::ip::make_address_v4(Address.substr(0, Colon), Failure);
  std::uint16_t Port = 0;
  const char *End = Address.data() + Address.size();
  auto Parsed = std::from_chars(Address.data() + Colon + 1, End, Port);
  if (Failure || Parsed.ec != std::errc() || Parsed.ptr != End)
    return std::nullopt;
  return tcp::endpoint(Ip, Port);
}

TcpLink::TcpLink(Loop &Executor)
    : Loop_(Executor), Socket_(Executor), Timer_(Executor) {}

TcpLink::TcpLink(tcp::socket Accepted)
    : Loop_(static_cast<Loop &>(Accepted.get_executor().context())),
      Socket_(std::move(Accepted)), Timer_(Loop_) {
  configure();
  setOption(SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(IPPROTO_TCP, TCP_NOTSENT_LOWAT, MaxUnsentBytes);
}

TcpLink::~TcpLink() = default;

void TcpLink::configure() {
  error_code Ignored;
  Socket_.set_option(tcp::no_delay(true), Ignored);
  Socket_.non_blocking(true, Ignored);
}

void TcpLink::setOption(int Level, int Name, int Value) {
  setsockopt(Socket_.native_handle(), Level, Name, &Value, sizeof Value);
}

void TcpLink::setDeadline(SteadyTime Deadline, AtDeadline Action) {
  DeadlineAction_ = Action;
  if (Deadline_ == Deadline)
    return;
  Deadline_ = Deadline;
  Timer_.expires_at(Deadline);
  std::weak_ptr<TcpLink> Weak = weak_from_this();
  Timer_.async_wait([Weak](const error_code &Failure) {
    std::shared_ptr<TcpLink> Self = Weak.lock();
    if (Failure || !Self || !Self->Deadline_ ||
        SteadyClock::now() < *Self->Deadline_)
      return;
    Self->TimedOut_ = true;
    error_code Ignored;
    switch (Self->DeadlineAction_) {
    case AtDeadline::Close:
      Self->close();
      break;
    case AtDeadline::Abort:
      Self->abort();
      break;
    case AtDeadline::Interrupt:
      if (Self->Socket_.is_open())
        Self->Socket_.cancel(Ignored);
      break;
    }
  });
}

void TcpLink::clearDeadline() {
  TimedOut_ = false;
  if (!Deadline_)
    return;
  Deadline_.reset();
  Timer_.cancel();
}

LinkStatus TcpLink::statusOf(const error_code &Failure) const {
  if (TimedOut_)
    return LinkStatus::TimedOut;
  if (!Failure)
    return LinkStatus::Ok;
  if (Failure == asio::error::eof)
    return LinkStatus::End;
  if (Failure == asio::error::operation_aborted ||
      Failure == asio::error::bad_descriptor)
    return LinkStatus::Closed;
  return LinkStatus::Reset;
}

Awaitable<bool> TcpLink::connect(tcp::endpoint Peer) {
  error_code Failure;
  Socket_.open(tcp::v4(), Failure);
  if (Failure)
    co_return false;
  configure();
  setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  co_await Socket_.async_connect(Peer, Token);
  co_return !Failure && !TimedOut_;
}

Awaitable<LinkStatus> TcpLink::readSome() {
  if (HasReadAtOnce_)
    co_await yield(Loop_);
  error_code Failure = readNow();
  HasReadAtOnce_ = Failure != asio::error::would_block;
  // The deadline may have passed while the other tasks ran.
  while (Failure == asio::error::would_block && !TimedOut_) {
    Failure.clear();
    auto Token = asio::redirect_error(asio::use_awaitable, Failure);
    co_await Socket_.async_wait(tcp::socket::wait_read, Token);
    if (!Failure)
      Failure = readNow();
  }
  LinkStatus Status = statusOf(Failure);
  // The system reports a reset once. If a write got the report, reads see an
  // orderly end after the bytes that had arrived.
  if (Status == LinkStatus::End && HasWriteFailed_)
    Status = LinkStatus::Reset;
  co_return Status;
}

error_code TcpLink::readNow() {
  std::size_t OldSize = Input_.size();
  Input_.resize(OldSize + ReadSize);
  error_code Failure;
  std::size_t Count = Socket_.read_some(
      asio::buffer(Input_.data() + OldSize, ReadSize), Failure);
  Input_.resize(OldSize + Count);
  return Failure;
}

Awaitable<LinkStatus> TcpLink::write(const std::string &Bytes) {
  error_code Failure;
  // Most messages fit into the socket's buffer, so that waiting is rarely
  // needed.
  std::size_t Written = Socket_.write_some(asio::buffer(Bytes), Failure);
  if (Failure == asio::error::would_block || Failure == asio::error::try_again)
    Failure.clear();
  if (!Failure && Written < Bytes.size()) {
    auto Token = asio::redirect_error(asio::use_awaitable, Failure);
    auto Unwritten =
        asio::buffer(Bytes.data() + Written, Bytes.size() - Written);
    co_await asio::async_write(Socket_, Unwritten, Token);
  }
  HasWriteFailed_ = HasWriteFailed_ || Failure;
  co_return statusOf(Failure);
}

LinkStatus TcpLink::writeNow(std::string_view Bytes, std::size_t &Count) {
  error_code Failure;
  Count = Socket_.write_some(asio::buffer(Bytes.data(), Bytes.size()), Failure);
  if (Failure == asio::error::would_block || Failure == asio::error::try_again)
    Failure.clear();
  HasWriteFailed_ = HasWriteFailed_ || Failure;
  return statusOf(Failure);
}

void TcpLink::whenWritable(std::function<void()> Callback) {
  // The link lives until the callback, as in a task that awaits it.
  std::shared_ptr<TcpLink> Self = shared_from_this();
  Socket_.async_wait(tcp::socket::wait_write,
                     [Self, Callback = std::move(Callback)](
                         const error_code &) { Callback(); });
}

std::size_t TcpLink::unacknowledgedBytes() {
  int Bytes = 0;
  if (ioctl(Socket_.native_handle(), SIOCOUTQ, &Bytes) != 0 || Bytes < 0)
    return 0;
  return static_cast<std::size_t>(Bytes);
}

void TcpLink::watchForEnd(std::function<void()> OnEnd) {
  OnEnd_ = std::move(OnEnd);
  ++WatchGeneration_;
  armWatch();
}

void TcpLink::stopWatching() {
  OnEnd_ = nullptr;
  ++WatchGeneration_;
  error_code Ignored;
  if (Socket_.is_open())
    Socket_.cancel(Ignored);
}

void TcpLink::armWatch() {
  std::weak_ptr<TcpLink> Weak = weak_from_this();
  std::uint64_t Generation = WatchGeneration_;
  Socket_.async_wait(
      tcp::socket::wait_read, [Weak, Generation](const error_code &Failure) {
        std::shared_ptr<TcpLink> Self = Weak.lock();
        if (!Failure && Self && Self->WatchGeneration_ == Generation)
          Self->onReadable();
      });
}

void TcpLink::onReadable() {
  if (!OnEnd_)
    return;
  char Chunk[4096];
  error_code Failure;
  std::size_t Count = Socket_.read_some(asio::buffer(Chunk), Failure);
  if (Failure && Failure != asio::error::would_block) {
    std::function<void()> Callback = std::move(OnEnd_);
    OnEnd_ = nullptr;
    Callback();
    return;
  }
  Input_.append(Chunk, Count);
  if (Input_.size() < MaxWatchedInput)
    armWatch();
}

bool TcpLink::closedOrReadable() {
  if (!Socket_.is_open() || !Input_.empty())
    return true;
  return peek() != Peeked::Nothing;
}

bool TcpLink::hasEnded() { return !Socket_.is_open() || peek() == Peeked::End; }

TcpLink::Peeked TcpLink::peek() {
  char Byte = 0;
  ssize_t Count =
      recv(Socket_.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (Count > 0)
    return Peeked::Bytes;
  bool IsWaiting = Count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  return IsWaiting ? Peeked::Nothing : Peeked::End;
}

void TcpLink::close() {
  error_code Ignored;
  Timer_.cancel();
  Socket_.close(Ignored);
}

void TcpLink::abort() {
  error_code Ignored;
  if (Socket_.is_open())
    Socket_.set_option(asio::socket_base::linger(true, 0), Ignored);
  close();
}

std::string TcpLink::peerAddress() const {
  error_code Failure;
  tcp::endpoint Remote = Socket_.remote_endpoint(Failure);
  if (Failure)
    return "";
  return Remote.address().to_string() + ":" + std::to_string(Remote.port());
}

} // namespace amaranth::transport
