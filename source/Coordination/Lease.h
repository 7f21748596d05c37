/// \file
/// Leases for duties that only one host performs at a time.
#ifndef AMARANTH_COORDINATION_LEASE_H
#define AMARANTH_COORDINATION_LEASE_H

#include "Protocol/KeyValueStore.h"

#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace amaranth::coordination {

/// Settings of Lease.
struct LeaseSettings {
  Seconds TimeToLive_{15};
  /// Time between renewals; two may fail before Margin_ is reached.
  Milliseconds RenewPeriod_{4000};
  /// Time between attempts to acquire a lease held by another host.
  Milliseconds AttemptPeriod_{4000};
  /// The holder stops this long before the lease expires. Covers the difference
  /// in clock rate between this host and the service, and the longest step of
  /// the duty between two calls of holds().
  Milliseconds Margin_{3000};
  Milliseconds CallTimeout_{1000};
};

/// Mutual exclusion of a duty by a lease of the key-value service. The key of
/// the duty is created only if it does not exist, and is bound to the lease, so
/// that it is deleted when the lease expires. The time to live is counted on
/// the monotonic clock from before the call that granted or renewed the lease,
/// so that this host stops before the service allows another one to start.
/// Thread-safe.
class Lease final {
public:
  /// A monotonic clock, replaced in tests.
  using Clock = std::function<SteadyTime()>;

  /// \p Holder is stored as the value of the key, for operators.
  Lease(const LeaseSettings &Settings, const std::string &Duty,
        std::string Holder, protocol::KeyValueStore &Store,
        Clock Now = SteadyClock::now);

  /// Acquires or renews the lease if that is due; otherwise returns at once.
  /// Call it often, for example every second. Blocks for up to three call
  /// timeouts.
  void maintain();

  /// Only renews the lease; for a host that should not acquire the duty.
  void renew();

  /// True while this host may perform the duty. Reads the clock, so that it is
  /// already false when a process resumes after a pause past the expiry.
  bool holds() const;

  /// The fencing token, which is the create_revision of the key, while holds()
  /// is true. It increases with each new holder.
  std::optional<std::uint64_t> fencingToken() const;

  /// Releases the duty: holds() turns false before the lease is revoked.
  void release();

private:
  enum class Phase {
    Idle,    ///< No lease.
    Unknown, ///< The reply to the acquisition was lost.
    Held,
  };

  // These make calls. CallMutex_ must be held, and Mutex_ must not.
  void acquire();
  void resolveAcquisition(std::int64_t LeaseId);
  void keepAlive(std::int64_t LeaseId);
  bool mayBeHeld();
  void revoke(std::int64_t LeaseId);

  void setPhase(Phase NewPhase, std::uint64_t FencingToken = 0);
  // Mutex_ must be held.
  bool advanceIfDue(SteadyTime &DueAt, Milliseconds Period);
  bool holdsLocked() const;

  LeaseSettings Settings_;
  std::string Key_;
  std::string Holder_;
  protocol::KeyValueStore &Store_;
  Clock Now_;
  std::mutex CallMutex_; ///< Held during calls; at most one at a time.
  mutable std::mutex Mutex_;
  Phase Phase_ = Phase::Idle;
  bool Releasing_ = false; ///< release() was called and has not returned.
  std::int64_t LeaseId_ = 0;
  std::uint64_t FencingToken_ = 0;
  SteadyTime Expiry_;
  SteadyTime NextRenewal_;
  SteadyTime NextAttempt_;
};

} // namespace amaranth::coordination

#endif
