/// \file
/// Error replies of the caller and operator interfaces.
#ifndef AMARANTH_PROTOCOL_PROBLEM_H
#define AMARANTH_PROTOCOL_PROBLEM_H

#include "Protocol/PeerMessages.h"
#include "Support/Time.h"
#include "Transport/HttpMessage.h"

#include <optional>
#include <string>

namespace amaranth::protocol {

/// How a caller can retry.
enum class RetryWith {
  None,        ///< A retry does not help.
  SameRequest, ///< Send the same request, with the same idempotency key.
  /// The key cannot be used again; get a new ticket (a signed text that binds
  /// an idempotency key to its home) and make a new key.
  NewKey,
};

/// An application/problem+json body (RFC 7807) with the fields of
/// docs/api.md.
struct Problem {
  int Status_ = 500;
  std::string Type_;  ///< Short name, stable across versions.
  std::string Title_; ///< Human-readable.
  std::string Detail_;
  /// Outcome of the request; absent for operator calls and look-ups.
  std::optional<OutcomeKind> Outcome_;
  RetryWith RetryWith_ = RetryWith::None;
  Milliseconds RetryAfter_{0}; ///< 0 sends no Retry-After header.
  /// Caller address, if known, of the key's home: the daemon incarnation that
  /// alone may run requests with the key.
  std::string HomeAddress_;
  std::string RequestId_;
};

/// The JSON text of \p Source.
std::string toJson(const Problem &Source);

/// The reply that carries \p Source.
transport::HttpReply toReply(const Problem &Source);

} // namespace amaranth::protocol

#endif
