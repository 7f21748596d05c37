/// \file
/// Messages between daemons; Peer.capnp defines their encoding.
#ifndef AMARANTH_PROTOCOL_PEERMESSAGES_H
#define AMARANTH_PROTOCOL_PEERMESSAGES_H

#include "State/ServiceDocument.h"
#include "Support/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace amaranth::protocol {

/// Membership state of a host; later values override earlier ones of the same
/// incarnation.
enum class MemberStatus : std::uint8_t { Alive, Suspect, Draining, Dead };

/// One host in the membership list.
struct Member {
  std::string Host_;
  std::string DataCentre_;
  std::string CallerAddress_; ///< "ip:port" of its HTTP listener.
  std::string PeerAddress_;   ///< "ip:port" of its RPC listener.
  /// Chosen at each start; higher is newer (milliseconds since the epoch).
  std::uint64_t Incarnation_ = 0;
  /// Raised by the host itself to refute a suspicion.
  std::uint32_t Refutation_ = 0;
  MemberStatus Status_ = MemberStatus::Alive;
  double Load_ = 0; ///< In-flight requests / limit.
};

/// A service and its revision in force at a host.
struct ServiceRevision {
  std::string Name_;
  std::uint64_t Revision_ = 0;
};

/// Request rate of one client account at one host.
struct AccountUsage {
  std::string Service_;
  std::string Account_;
  double RequestsPerSecond_ = 0;
};

/// An input that was running when a target's connection was reset.
struct SuspectInput {
  std::string Digest_;
  std::vector<std::string> CrashedTargets_; ///< Names, without repeats.
  bool Cleared_ = false;                    ///< The input completed elsewhere.
  /// Longest time that the input had run when one of the targets crashed.
  Milliseconds LongestRun_{0};
};

/// State that two daemons send each other at each probe.
struct Gossip {
  Member Sender_;
  std::vector<Member> Updates_; ///< Member states to spread; bounded number.
  std::string ConfigurationDigest_;
  std::vector<AccountUsage> Usage_;
  std::vector<SuspectInput> Suspects_;
};

/// A request with an idempotency key, forwarded to its home: the daemon
/// incarnation that alone may run requests whose key names it.
struct ForwardedRequest {
  std::string Service_;
  std::string Account_;
  std::string Call_;
  std::string IdempotencyKey_;
  std::string RequestId_;
  std::string TraceParent_;
  std::string Body_; ///< JSON text of the call's body.
  Milliseconds Timeout_{0};
};

/// Outcome of a request with an idempotency key; passed between threads and
/// daemons by value.
enum class OutcomeKind : std::uint8_t {
  Completed, ///< Status_ and Body_ are the target's answer.
  NotRun,    ///< It did not run, and under this key it never will.
  Unknown,   ///< It may have run.
  Failed,    ///< It ran and the target reported a failure.
  Running,   ///< It is running now.
};

/// The name of \p Kind in the caller interface ("not_run" and so on).
const char *toString(OutcomeKind Kind);

/// Outcome with the answer or the reason.
struct RequestOutcome {
  OutcomeKind Kind_ = OutcomeKind::Unknown;
  int Status_ = 0;
  std::string Body_;        ///< JSON.
  std::string Detail_;      ///< Human-readable.
  std::string HomeAddress_; ///< Caller address of the home, if known.
  /// Time after which a repeated call can bring another outcome; zero if it
  /// cannot.
  Milliseconds RetryAfter_{0};
};

} // namespace amaranth::protocol

#endif
