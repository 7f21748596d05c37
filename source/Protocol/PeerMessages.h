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

/// One host as membership knows it.
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

/// Demand of one client account at one host.
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
  /// How long the input had run at most when one of the targets crashed.
  Milliseconds LongestRun_{0};
};

/// What one daemon tells another at each probe, in both directions.
struct Gossip {
  Member Sender_;
  std::vector<Member> Updates_; ///< Bounded number.
  std::string ConfigurationDigest_;
  std::vector<AccountUsage> Usage_;
  std::vector<SuspectInput> Suspects_;
};

/// A keyed request on its way to its home.
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

/// Outcome of a keyed request; crosses threads and daemons as a value.
enum class OutcomeKind : std::uint8_t {
  Completed, ///< Status_ and Body_ are the target's answer.
  NotRun,    ///< It did not run, and under this key it never will.
  Unknown,   ///< It may have run.
  Failed,    ///< It ran and the target reported a failure.
  Running,   ///< It is running now.
};

/// The name of \p Kind in the caller interface ("not_run" and so on).
const char *toString(OutcomeKind Kind);

/// Outcome with its content.
struct RequestOutcome {
  OutcomeKind Kind_ = OutcomeKind::Unknown;
  int Status_ = 0;
  std::string Body_;        ///< JSON.
  std::string Detail_;      ///< For people.
  std::string HomeAddress_; ///< Caller address of the home, if known.
  /// Time after which asking again can help; zero if it cannot.
  Milliseconds RetryAfter_{0};
};

} // namespace amaranth::protocol

#endif
