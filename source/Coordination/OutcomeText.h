/// \file
/// Outcomes that a daemon creates without an answer of a target.
#ifndef AMARANTH_COORDINATION_OUTCOMETEXT_H
#define AMARANTH_COORDINATION_OUTCOMETEXT_H

#include "Protocol/PeerMessages.h"
#include "Support/Time.h"

#include <string>

namespace amaranth::coordination {

/// HTTP status of an idempotency key that is not allowed.
inline constexpr int StatusBadKey = 400;
/// HTTP status of a key that was used with different content.
inline constexpr int StatusConflict = 409;

/// The request did not run and, with a ticketed key, never will.
protocol::RequestOutcome makeNotRun(std::string Detail);

/// The request may have run or may still run.
protocol::RequestOutcome makeUnknown(std::string Detail,
                                     Milliseconds RetryAfter);

/// The key was used with different content. The kind is Unknown, because the
/// key may have run with that other content.
protocol::RequestOutcome makeConflict();

} // namespace amaranth::coordination

#endif
