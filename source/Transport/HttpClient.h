/// \file
/// Blocking HTTP client with persistent connections.
#ifndef AMARANTH_TRANSPORT_HTTPCLIENT_H
#define AMARANTH_TRANSPORT_HTTPCLIENT_H

#include "Transport/HttpMessage.h"
#include "Transport/Loop.h"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace amaranth::transport {

namespace detail {
class ClientConnection;
}

/// Settings of HttpClient.
struct HttpClientSettings {
  Milliseconds ConnectTimeout_{500};
  /// Idle connections kept for each address.
  std::size_t MaxIdlePerAddress_ = 64;
  /// An idle connection older than this is closed instead of reused.
  Milliseconds IdleLifetime_{5000};
  /// A call whose reply's body is larger fails, unless the body is received in
  /// chunks.
  std::size_t MaxReplyBytes_ = 32 * 1024 * 1024;
};

/// Cancels a call from another thread by closing its connection.
class CancelToken final {
public:
  /// Cancels the call in progress and every later call with this token.
  void cancel();
  bool cancelled() const;

private:
  friend class HttpClient;
  /// Sets the connection that cancel() ends; null for none. False if the token
  /// is cancelled.
  bool attach(detail::ClientConnection *Connection);

  mutable std::mutex Mutex_;
  bool Cancelled_ = false;
  detail::ClientConnection *Active_ = nullptr;
};

/// One client call.
struct HttpCall {
  std::string Address_; ///< "ip:port".
  std::string Method_ = "POST";
  std::string Path_;
  HttpHeaders Headers_;
  std::string ContentType_ = "application/json";
  std::string Body_;
  SteadyTime Deadline_;
  /// Longest time without a byte from the other side.
  Milliseconds ProgressTimeout_{2000};
  /// Opens a new connection; for retries and for calls that must not be
  /// repeated, because an idle connection may be broken already.
  bool FreshConnection_ = false;
  CancelToken *Cancel_ = nullptr;
  /// Receives the status and headers of the reply before its body; returning
  /// false ends the call as Mismatched, before any chunk is delivered.
  std::function<bool(const HttpReply &)> OnHead_;
  /// Receives body chunks as they arrive, for replies with status 200;
  /// returning false ends the call as Cancelled.
  std::function<bool(std::string_view)> OnChunk_;
};

/// Result of a call: the reply, or the failure. With OnChunk_, a call can fail
/// after chunks were delivered.
struct HttpOutcome {
  bool Ok_ = false;
  HttpReply Reply_;
  CallFailure Failure_ = CallFailure::NotSent;
};

/// Makes calls on persistent connections, one call at a time on each.
/// Thread-safe.
class HttpClient final {
public:
  explicit HttpClient(const HttpClientSettings &Settings);
  ~HttpClient();
  HttpClient(const HttpClient &) = delete;
  HttpClient &operator=(const HttpClient &) = delete;

  /// Makes the call and blocks until its end.
  HttpOutcome call(const HttpCall &Call);

  /// Closes the idle connections to \p Address; called after one of them became
  /// unresponsive.
  void dropIdle(const std::string &Address);

private:
  using Connection = std::unique_ptr<detail::ClientConnection>;

  Connection takeIdle(const std::string &Address);
  /// An idle connection or a new one; null if none can be opened.
  Connection acquire(const HttpCall &Call);
  void release(const std::string &Address, Connection Released);

  HttpClientSettings Settings_;
  std::unique_ptr<Loop> Loop_; ///< Creates the sockets; is not run.
  std::mutex Mutex_;
  std::map<std::string, std::vector<Connection>> Idle_;
};

} // namespace amaranth::transport

#endif
