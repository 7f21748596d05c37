/// \file
/// Blocking TCP connection of HttpClient.
#ifndef AMARANTH_TRANSPORT_CLIENTCONNECTION_H
#define AMARANTH_TRANSPORT_CLIENTCONNECTION_H

#include "Support/Time.h"
#include "Transport/TcpLink.h"

#include <string>
#include <string_view>

namespace amaranth::transport::detail {

/// A connection whose operations block the calling thread until a time that it
/// states. Used by one thread at a time; interrupt() by any.
class ClientConnection final {
public:
  /// \p Executor only creates the socket and is not run.
  explicit ClientConnection(Loop &Executor);

  /// Connects to "host:port". False if that fails or takes until \p Until.
  bool connect(const std::string &Address, SteadyTime Until);
  /// Writes all of \p Bytes. TimedOut after \p ProgressTimeout in which the
  /// peer takes nothing, or at \p Until.
  LinkStatus write(std::string_view Bytes, Milliseconds ProgressTimeout,
                   SteadyTime Until);
  /// Waits for bytes and appends them to input().
  LinkStatus readSome(Milliseconds ProgressTimeout, SteadyTime Until);
  /// Whether an idle connection is open and has nothing to read.
  bool isReusable();
  /// Ends the operation in progress and all later ones.
  void interrupt();

  std::string &input() { return Input_; }
  SteadyTime idleSince() const { return IdleSince_; }
  void setIdleSince(SteadyTime Now) { IdleSince_ = Now; }

private:
  /// Waits for \p Events of poll(). False at \p Until.
  bool waitFor(short Events, SteadyTime Until);

  boost::asio::ip::tcp::socket Socket_;
  std::string Input_;
  SteadyTime IdleSince_{};
};

} // namespace amaranth::transport::detail

#endif
