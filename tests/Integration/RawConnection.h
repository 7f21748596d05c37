/// \file
/// Raw exchange of bytes with a server, without the HTTP library.
#ifndef AMARANTH_TESTS_INTEGRATION_RAWCONNECTION_H
#define AMARANTH_TESTS_INTEGRATION_RAWCONNECTION_H

#include "Support/Time.h"

#include <optional>
#include <string>

namespace amaranth::integration {

/// Result of one raw exchange.
struct RawReply {
  bool Closed_ = false; ///< The server closed the connection in time.
  std::string Bytes_;

  /// Status of the first reply; std::nullopt if none arrived.
  std::optional<int> status() const;
};

/// Sends \p Bytes on a new connection and reads until the server closes it. The
/// write side is closed once the server has replied, or after \p SilenceTimeout
/// without a byte: a server takes an earlier close for a caller that
/// disconnected. Throws std::runtime_error if the server cannot be
/// reached.
RawReply exchangeRaw(const std::string &Address, const std::string &Bytes,
                     Milliseconds SilenceTimeout);

} // namespace amaranth::integration

#endif
