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

/// How a caller may try again.
enum class RetryWith {
  None,        ///< Trying again does not help.
  SameRequest, ///< Send the same request, with the same idempotency key.
  NewKey,      ///< The key is spent; take a new ticket and a new key.
};

/// An application/problem+json body (RFC 7807) with the fields of
/// docs/api.md.
struct Problem {
  int Status_ = 500;
  std::string Type_;  ///< Short name, stable across versions.
  std::string Title_; ///< For people.
  std::string Detail_;
  /// What became of the request; absent for operator calls and look-ups.
  std::optional<OutcomeKind> Outcome_;
  RetryWith RetryWith_ = RetryWith::None;
  Milliseconds RetryAfter_{0}; ///< 0 sends no Retry-After header.
  std::string HomeAddress_;    ///< Caller address of the key's home, if known.
  std::string RequestId_;
};

/// The JSON text of \p Source.
std::string toJson(const Problem &Source);

/// The reply that carries \p Source.
transport::HttpReply toReply(const Problem &Source);

} // namespace amaranth::protocol

#endif
