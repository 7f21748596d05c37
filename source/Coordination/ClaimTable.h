/// \file
/// Claims of plain idempotency keys.
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

/// Who runs a plain key.
struct Claim {
  std::string Host_;
  std::uint64_t Incarnation_ = 0;
  std::string Instance_; ///< TicketAuthority::instance() of the claimant.
  std::string PeerAddress_;
  std::string CallerAddress_;
  std::string ContentDigest_;
  Milliseconds Expiry_{0}; ///< On the claimant's ticket clock.
};

/// What became of a claim.
enum class ClaimStatus {
  Created,     ///< This call created it.
  Found,       ///< It existed; see Claim_.
  Absent,      ///< It does not exist, and the write budget is used up.
  Unavailable, ///< The key-value service did not answer; it may exist.
};

/// Result of claiming or reading.
struct ClaimResult {
  ClaimStatus Status_ = ClaimStatus::Unavailable;
  std::optional<Claim> Claim_; ///< With Found, unless unreadable.
};

/// Settings of ClaimTable.
struct ClaimTableSettings {
  /// Claim writes per second that all alive hosts share.
  double FleetWritesPerSecond_ = 50;
  double Burst_ = 20;           ///< Claim writes available at once.
  Milliseconds RetryDelay_{10}; ///< After an ambiguous reply.
  Milliseconds CallTimeout_{1000};
};

/// Claims plain keys by compare-and-swap at `/amaranth/claims/<identity>`,
/// within a write budget. Thread-safe.
class ClaimTable final {
public:
  ClaimTable(ClaimTableSettings Settings, protocol::KeyValueStore &Store,
             const MemberView &Members);

  /// Creates the claim unless one exists; after an ambiguous reply asks again
  /// until \p Deadline. Without budget only reads.
  ClaimResult claim(const std::string &Identity, const Claim &NewClaim,
                    SteadyTime Deadline);

  /// Reads a claim.
  ClaimResult read(const std::string &Identity, SteadyTime Deadline);

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
