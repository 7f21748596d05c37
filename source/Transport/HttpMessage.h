/// \file
/// HTTP messages, independent of the HTTP library.
#ifndef AMARANTH_TRANSPORT_HTTPMESSAGE_H
#define AMARANTH_TRANSPORT_HTTPMESSAGE_H

#include "Support/Time.h"

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amaranth::transport {

/// Header fields in order; names compare without regard to case.
class HttpHeaders final {
public:
  void add(std::string Name, std::string Value);

  /// The first value of \p Name, or an empty string.
  std::string get(std::string_view Name) const;
  bool has(std::string_view Name) const;

  auto begin() const { return Fields_.begin(); }
  auto end() const { return Fields_.end(); }

private:
  std::vector<std::pair<std::string, std::string>> Fields_;
};

/// A request as a server receives it.
struct HttpRequest {
  std::string Method_;
  std::string Path_;
  HttpHeaders Headers_;
  std::vector<std::string> PathParameters_; ///< Groups of the route pattern.
  std::string Body_;
};

/// Receives the chunks of a streamed reply.
class ChunkSink {
public:
  virtual ~ChunkSink() = default;
  /// Sends \p Chunk; false if the client has disconnected.
  virtual bool write(std::string_view Chunk) = 0;
};

/// A reply, as a server sends it or a client receives it.
struct HttpReply {
  int Status_ = 200;
  std::string ContentType_ = "application/json";
  HttpHeaders Headers_;
  std::string Body_;
  /// On a server: when set, writes the body instead of Body_.
  std::function<void(ChunkSink &)> StreamBody_;
};

/// Why a client call got no complete reply. Determines whether the other side
/// may have acted on the request.
enum class CallFailure {
  NotSent,          ///< No connection; nothing was sent.
  Reset,            ///< The connection ended after the request was sent.
  Silent,           ///< No progress within the progress timeout.
  DeadlineExceeded, ///< The call's deadline passed after sending.
  Cancelled,        ///< The caller cancelled.
  Mismatched,       ///< The reply belongs to another request.
};

/// The name of \p Failure in logs and metrics.
const char *toString(CallFailure Failure);

} // namespace amaranth::transport

#endif
