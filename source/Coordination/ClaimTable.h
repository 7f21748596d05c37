/// \file
/// Claims of plain idempotency keys, which have no ticket.
#ifndef AMARANTH_COORDINATION_CLAIMTABLE_H
#define AMARANTH_COORDINATION_CLAIMTABLE_H

#include "Coordination/MemberView.h"
#include "Protocol/KeyValueStore.h"
#include "Support/Time.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

namespace amaranth::coordination {

/// The process that alone may run a plain key.
struct Claim {
  std::string Host_;
  std::uint64_t Incarnation_ = 0;
  std::string Instance_; ///< TicketAuthority::instance() of that process.
  std::string PeerAddress_;
  std::string CallerAddress_;
  std::string ContentDigest_;
  Milliseconds Expiry_{0}; ///< On the ticket clock of that process.
};

/// Result status of creating or reading a claim.
enum class ClaimStatus {
  Created,     ///< This call created it.
  Found,       ///< It already existed; see Claim_.
  Absent,      ///< It does not exist; claim() had no write budget to create it.
  Unavailable, ///< No answer of the key-value service; the claim may exist.
};

/// Result of creating or reading a claim.
struct ClaimResult {
  ClaimStatus Status_ = ClaimStatus::Unavailable;
  std::optional<Claim> Claim_; ///< Set if Found and well-formed.
};

/// Settings of ClaimTable.
struct ClaimTableSettings {
  /// Claim writes per second of all alive hosts together.
  double FleetWritesPerSecond_ = 50;
  double Burst_ = 20;           ///< Longest burst of claim writes of this host.
  Milliseconds RetryDelay_{10}; ///< After an ambiguous reply.
  Milliseconds CallTimeout_{1000};
};

/// Claims plain keys by compare-and-swap at `/amaranth/claims/<identity>`,
/// within a write budget. Thread-safe.
class ClaimTable final {
public:
  ClaimTable(ClaimTableSettings Settings, protocol::KeyValueStore &Store,
             const MemberView &Members);

  /// Creates the claim unless one exists; repeats the write after an ambiguous
  /// reply until \p Deadline. Only reads if the write budget is used up.
  ClaimResult claim(const std::string &Identity, const Claim &NewClaim,
                    SteadyTime Deadline);

  ClaimResult read(const std::string &Identity, SteadyTime Deadline);

  /// Prefix of the keys of all claims.
  static std::string prefix();

private:
  bool tryTakeWrite();

  ClaimTableSettings Settings_;
  protocol::KeyValueStore &Store_;
  const MemberView &Members_;
  std::mutex Mutex_;
  double AvailableWrites_;
  SteadyTime RefilledAt_;
};

} // namespace amaranth::coordination

#endif
