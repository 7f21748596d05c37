/// \file
/// Duties that one host at a time performs.
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
  /// Time between renewals; two may fail before the margin is reached.
  Milliseconds RenewPeriod_{4000};
  /// Time between attempts to acquire a lease that another host holds.
  Milliseconds AttemptPeriod_{4000};
  /// The holder stops this long before the lease expires. Covers the difference
  /// in clock rate between this host and the service, and the longest step that
  /// a duty takes between two looks at holds().
  Milliseconds Margin_{3000};
  Milliseconds CallTimeout_{1000};
};

/// A duty held by a lease of the key-value service. The key is created only if
/// it does not exist and is bound to the lease, so it disappears with it. Time
/// counts on the monotonic clock from before the call that granted or renewed
/// the lease was sent, so this host stops before the service lets another one
/// start. Thread-safe.
class Lease final {
public:
  /// A monotonic clock, replaced in tests.
  using Clock = std::function<SteadyTime()>;

  /// \p Holder is stored as the key's value, for people.
  Lease(const LeaseSettings &Settings, const std::string &Duty,
        std::string Holder, protocol::KeyValueStore &Store,
        Clock Now = SteadyClock::now);

  /// Acquires or renews the lease if that is due; otherwise returns at once.
  /// Call it often, for example every second. Blocks up to three call
  /// time-outs.
  void maintain();

  /// Only renews; for a host that should not newly take the duty.
  void renew();

  /// True while this host may perform the duty. Looks at the clock, so that it
  /// is false for a process that was paused, before any of its threads ran.
  bool holds() const;

  /// The fencing number (create_revision of the key) while holds(). It grows
  /// with each new holder.
  std::optional<std::uint64_t> fencingToken() const;

  /// Gives the duty up: holds() is false before the service is told.
  void release();

private:
  enum class Phase {
    Idle,    ///< No lease.
    Unknown, ///< The reply to the acquisition was lost.
    Held,
  };

  // These make calls, with CallMutex_ held and Mutex_ free.
  void acquire();
  void resolveAcquisition(std::int64_t LeaseId);
  void keepAlive(std::int64_t LeaseId);
  bool mayBeHeld();
  void revoke(std::int64_t LeaseId);

  void setPhase(Phase NewPhase, std::uint64_t FencingToken = 0);
  // These need Mutex_ held.
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
