/// \file
/// TCP connection of the event loop.
#ifndef AMARANTH_TRANSPORT_TCPLINK_H
#define AMARANTH_TRANSPORT_TCPLINK_H

#include "Transport/Loop.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace amaranth::transport {

/// How a read or write ended.
enum class LinkStatus {
  Ok,
  /// The peer closed its side in order. Not reported after a failed write.
  End,
  Reset,    ///< The connection broke.
  TimedOut, ///< The link's deadline passed; see AtDeadline.
  Closed,   ///< Closed by this process.
};

const char *toString(LinkStatus Status);

/// Reads "IP:PORT"; no name look-ups.
std::optional<boost::asio::ip::tcp::endpoint>
parseEndpoint(const std::string &Address);

/// A TCP connection with one deadline for all its operations. Used by one
/// task; close() and watchForEnd() may be called by others on the loop.
class TcpLink final : public std::enable_shared_from_this<TcpLink> {
public:
  /// For a connection that this process opens; see connect().
  explicit TcpLink(Loop &Executor);
  /// For an accepted connection. It may make no progress until its deadline,
  /// because a sound peer may pause for seconds between reads.
  explicit TcpLink(boost::asio::ip::tcp::socket Accepted);
  ~TcpLink();

  /// What happens to the connection at its deadline.
  enum class AtDeadline {
    Close,
    Abort,     ///< Like Close, with a reset; see abort().
    Interrupt, ///< Operations end as TimedOut; the connection stays open.
  };

  /// Operations in progress end as TimedOut at \p Deadline.
  void setDeadline(SteadyTime Deadline, AtDeadline Action = AtDeadline::Close);
  /// Removes the deadline; later operations do not end as TimedOut if it has
  /// passed.
  void clearDeadline();

  Awaitable<bool> connect(boost::asio::ip::tcp::endpoint Peer);
  /// Waits for bytes and appends them to input(). Lets other tasks run between
  /// two reads that find bytes at once, so that a peer that sends without end
  /// does not occupy the loop.
  Awaitable<LinkStatus> readSome();
  /// Writes all of \p Bytes, which must live until the end of the call.
  Awaitable<LinkStatus> write(const std::string &Bytes);

  /// Writes the part of \p Bytes that the socket takes without waiting, and
  /// sets \p Count to its length.
  LinkStatus writeNow(std::string_view Bytes, std::size_t &Count);
  /// Calls \p Callback once when the socket may take bytes or has failed.
  void whenWritable(std::function<void()> Callback);
  /// Bytes written that the peer's system has not acknowledged; it acknowledges
  /// no more than it can hold until the peer reads.
  std::size_t unacknowledgedBytes();

  /// Calls \p OnEnd once when the peer closes or resets the connection while no
  /// read is in progress. Bytes that arrive are appended to input(); the watch
  /// stops when these reach a limit.
  void watchForEnd(std::function<void()> OnEnd);
  void stopWatching();

  /// True if an idle connection cannot be reused: it is closed, or bytes have
  /// arrived on it.
  bool closedOrReadable();

  /// True if the peer has closed or reset the connection, also if the watch has
  /// not reported it yet because the loop is busy.
  bool hasEnded();

  void close();
  /// Closes with a reset, so that the peer cannot mistake a truncated message
  /// for a complete one, and does not get bytes that are still on their way.
  void abort();
  bool isOpen() const { return Socket_.is_open(); }

  /// Bytes received and not yet consumed; the user erases what it consumes.
  std::string &input() { return Input_; }
  std::string peerAddress() const;
  Loop &loop() { return Loop_; }

private:
  /// What the socket holds for the next read.
  enum class Peeked { Nothing, Bytes, End };

  Peeked peek();
  /// Reads what the socket holds now and appends it to input().
  boost::system::error_code readNow();
  void configure();
  void setOption(int Level, int Name, int Value);
  void armWatch();
  void onReadable();
  LinkStatus statusOf(const boost::system::error_code &Failure) const;

  Loop &Loop_;
  boost::asio::ip::tcp::socket Socket_;
  boost::asio::steady_timer Timer_;
  std::optional<SteadyTime> Deadline_;
  std::string Input_;
  std::function<void()> OnEnd_;
  std::uint64_t WatchGeneration_ = 0;
  AtDeadline DeadlineAction_ = AtDeadline::Close;
  bool TimedOut_ = false;
  bool HasWriteFailed_ = false;
  bool HasReadAtOnce_ = false; ///< The last read did not wait.
};

} // namespace amaranth::transport

#endif
