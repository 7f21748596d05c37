/// \file
/// Bytes to and from a server, below the HTTP library.
#ifndef AMARANTH_TESTS_INTEGRATION_RAWCONNECTION_H
#define AMARANTH_TESTS_INTEGRATION_RAWCONNECTION_H

#include "Support/Time.h"

#include <optional>
#include <string>

namespace amaranth::integration {

/// What a server did with the bytes of one connection.
struct RawReply {
  bool Closed_ = false; ///< The server closed the connection in time.
  std::string Bytes_;

  /// Status of the first reply; nothing if none arrived.
  std::optional<int> status() const;
};

/// Sends \p Bytes on a new connection and reads until the server closes it. The
/// write side is closed when the server has answered, or has been silent for
/// \p SilenceTimeout; earlier the server would take it for a caller that has
/// left. Throws std::runtime_error if the server cannot be reached.
RawReply exchangeRaw(const std::string &Address, const std::string &Bytes,
                     Milliseconds SilenceTimeout);

} // namespace amaranth::integration

#endif
