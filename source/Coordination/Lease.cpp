#include "Coordination/Lease.h"

#include "Support/Log.h"

namespace amaranth::coordination {

using protocol::Compare;
using protocol::LeaseGrant;
using protocol::Mutation;
using protocol::Transaction;

namespace {

constexpr const char *LeasePrefix = "/amaranth/leases/";

} // namespace

Lease::Lease(const LeaseSettings &Settings, const std::string &Duty,
             std::string Holder, protocol::KeyValueStore &Store, Clock Now)
    : Settings_(Settings), Key_(LeasePrefix + Duty), Holder_(std::move(Holder)),
      Store_(Store), Now_(std::move(Now)) {
  assert(Settings_.Margin_ < Settings_.TimeToLive_);
}

void Lease::maintain() {
  renew();
  std::lock_guard CallLock(CallMutex_);
  {
    std::lock_guard Lock(Mutex_);
    if (Phase_ != Phase::Idle ||
        !advanceIfDue(NextAttempt_, Settings_.AttemptPeriod_))
      return;
  }
  acquire();
}

void Lease::renew() {
  std::lock_guard CallLock(CallMutex_);
  Phase Current = Phase::Idle;
  std::int64_t LeaseId = 0;
  {
    std::lock_guard Lock(Mutex_);
    Current = Phase_;
    LeaseId = LeaseId_;
    if (Current == Phase::Idle ||
        !advanceIfDue(NextRenewal_, Settings_.RenewPeriod_))
      return;
  }
  if (Current == Phase::Held)
    keepAlive(LeaseId);
  else
    resolveAcquisition(LeaseId);
}

bool Lease::advanceIfDue(SteadyTime &DueAt, Milliseconds Period) {
  const SteadyTime CurrentTime = Now_();
  if (CurrentTime < DueAt)
    return false;
  DueAt = CurrentTime + Period;
  return true;
}

/// True if the key exists or cannot be read. A read is cheaper than a grant,
/// and most attempts find another holder.
bool Lease::mayBeHeld() {
  auto Found = capture(
      [&] { return Store_.range(Key_, false, Settings_.CallTimeout_); });
  return !Found || !Found->Pairs_.empty();
}

void Lease::acquire() {
  if (mayBeHeld())
    return;
  const SteadyTime SentAt = Now_();
  auto Grant = capture([&] {
    return Store_.grantLease(Settings_.TimeToLive_, Settings_.CallTimeout_);
  });
  // If only the reply was lost, the granted lease expires without a key.
  if (!Grant)
    return;
  {
    std::lock_guard Lock(Mutex_);
    LeaseId_ = Grant->Id_;
    Expiry_ = SentAt + Grant->TimeToLive_;
    NextRenewal_ = SentAt + Settings_.RenewPeriod_;
  }
  Transaction Request;
  Request.Conditions_ = {
      {Key_, Compare::Field::CreateRevision, Compare::Relation::Equal, 0}};
  Request.Writes_ = {{Mutation::Kind::Put, Key_, Holder_, Grant->Id_}};
  auto Outcome =
      capture([&] { return Store_.commit(Request, Settings_.CallTimeout_); });
  if (Outcome && Outcome->Succeeded_)
    setPhase(Phase::Held, Outcome->StoreRevision_);
  else if (!Outcome && Outcome.error().Code_ == ErrorCode::Ambiguous)
    resolveAcquisition(Grant->Id_);
  else
    revoke(Grant->Id_);
}

/// Reads whether the key was created under this lease, after a lost reply.
void Lease::resolveAcquisition(std::int64_t LeaseId) {
  {
    std::lock_guard Lock(Mutex_);
    if (Now_() >= Expiry_) {
      // The lease has expired, and the key was deleted with it if it existed.
      Phase_ = Phase::Idle;
      return;
    }
    Phase_ = Phase::Unknown;
    NextRenewal_ = Now_() + Settings_.CallTimeout_;
  }
  auto Found = capture(
      [&] { return Store_.range(Key_, false, Settings_.CallTimeout_); });
  if (!Found)
    return;
  if (!Found->Pairs_.empty() && Found->Pairs_.front().LeaseId_ == LeaseId)
    setPhase(Phase::Held, Found->Pairs_.front().CreateRevision_);
  else
    // A delayed write fails once its lease is revoked.
    revoke(LeaseId);
}

void Lease::keepAlive(std::int64_t LeaseId) {
  const SteadyTime SentAt = Now_();
  auto Grant = capture(
      [&] { return Store_.keepAlive(LeaseId, Settings_.CallTimeout_); });
  if (Grant) {
    std::lock_guard Lock(Mutex_);
    if (Phase_ == Phase::Held && LeaseId_ == LeaseId)
      Expiry_ = SentAt + Grant->TimeToLive_;
    return;
  }
  if (Grant.error().Code_ == ErrorCode::NotFound) {
    setPhase(Phase::Idle);
    return;
  }
  // Retry soon: after a failed call the state of the lease is unknown.
  std::lock_guard Lock(Mutex_);
  NextRenewal_ = SentAt + Settings_.CallTimeout_;
  if (Now_() >= Expiry_)
    Phase_ = Phase::Idle;
}

void Lease::setPhase(Phase NewPhase, std::uint64_t FencingToken) {
  std::lock_guard Lock(Mutex_);
  Phase_ = NewPhase;
  FencingToken_ = FencingToken;
  LogEvent(LogLevel::Info,
           NewPhase == Phase::Held ? "lease_acquired" : "lease_lost")
      .field("key", Key_)
      .field("fencing", FencingToken);
}

void Lease::revoke(std::int64_t LeaseId) {
  {
    std::lock_guard Lock(Mutex_);
    Phase_ = Phase::Idle;
  }
  // If this fails, the lease expires.
  (void)capture(
      [&] { return Store_.revokeLease(LeaseId, Settings_.CallTimeout_); });
}

bool Lease::holdsLocked() const {
  return Phase_ == Phase::Held && !Releasing_ &&
         Now_() < Expiry_ - Settings_.Margin_;
}

bool Lease::holds() const {
  std::lock_guard Lock(Mutex_);
  return holdsLocked();
}

std::optional<std::uint64_t> Lease::fencingToken() const {
  std::lock_guard Lock(Mutex_);
  if (!holdsLocked())
    return std::nullopt;
  return FencingToken_;
}

void Lease::release() {
  {
    std::lock_guard Lock(Mutex_);
    Releasing_ = true;
  }
  // Waits for an acquisition in progress, so that it cannot succeed unnoticed
  // after the release.
  std::lock_guard CallLock(CallMutex_);
  std::int64_t LeaseId = 0;
  {
    std::lock_guard Lock(Mutex_);
    if (Phase_ != Phase::Idle)
      LeaseId = LeaseId_;
    Phase_ = Phase::Idle;
    Releasing_ = false;
  }
  if (LeaseId != 0)
    revoke(LeaseId);
}

} // namespace amaranth::coordination
