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
    if (Phase_ != Phase::Idle || !due(NextAttempt_, Settings_.AttemptPeriod_))
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
    if (Current == Phase::Idle || !due(NextRenewal_, Settings_.RenewPeriod_))
      return;
  }
  if (Current == Phase::Held)
    keepAlive(LeaseId);
  else
    settle(LeaseId);
}

bool Lease::due(SteadyTime &Next, Milliseconds Period) {
  const SteadyTime Time = Now_();
  if (Time < Next)
    return false;
  Next = Time + Period;
  return true;
}

/// A read is cheaper than a grant, and most attempts find another holder.
bool Lease::heldByOther() {
  auto Found = capture(
      [&] { return Store_.range(Key_, false, Settings_.CallTimeout_); });
  return !Found || !Found->Pairs_.empty();
}

void Lease::acquire() {
  if (heldByOther())
    return;
  const SteadyTime Sent = Now_();
  auto Grant = capture([&] {
    return Store_.grantLease(Settings_.TimeToLive_, Settings_.CallTimeout_);
  });
  // If only the reply was lost, the lease expires without a key.
  if (!Grant)
    return;
  {
    std::lock_guard Lock(Mutex_);
    LeaseId_ = Grant->Id_;
    Expiry_ = Sent + Grant->TimeToLive_;
    NextRenewal_ = Sent + Settings_.RenewPeriod_;
  }
  Transaction Request;
  Request.Conditions_ = {
      {Key_, Compare::Field::CreateRevision, Compare::Relation::Equal, 0}};
  Request.Writes_ = {{Mutation::Kind::Put, Key_, Holder_, Grant->Id_}};
  auto Outcome =
      capture([&] { return Store_.commit(Request, Settings_.CallTimeout_); });
  if (Outcome && Outcome->Succeeded_)
    become(Phase::Held, Outcome->StoreRevision_);
  else if (!Outcome && Outcome.error().Code_ == ErrorCode::Ambiguous)
    settle(Grant->Id_);
  else
    giveBack(Grant->Id_);
}

/// Reads back whether the key was created under this lease.
void Lease::settle(std::int64_t LeaseId) {
  {
    std::lock_guard Lock(Mutex_);
    if (Now_() >= Expiry_) {
      // The lease is gone, and the key with it if there was one.
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
    become(Phase::Held, Found->Pairs_.front().CreateRevision_);
  else
    // A write that is still on its way fails when its lease is revoked.
    giveBack(LeaseId);
}

void Lease::keepAlive(std::int64_t LeaseId) {
  const SteadyTime Sent = Now_();
  auto Grant = capture(
      [&] { return Store_.keepAlive(LeaseId, Settings_.CallTimeout_); });
  if (Grant) {
    std::lock_guard Lock(Mutex_);
    if (Phase_ == Phase::Held && LeaseId_ == LeaseId)
      Expiry_ = Sent + Grant->TimeToLive_;
    return;
  }
  if (Grant.error().Code_ == ErrorCode::NotFound) {
    become(Phase::Idle);
    return;
  }
  // Tried again soon, because a failed call says nothing about the lease.
  std::lock_guard Lock(Mutex_);
  NextRenewal_ = Sent + Settings_.CallTimeout_;
  if (Now_() >= Expiry_)
    Phase_ = Phase::Idle;
}

void Lease::become(Phase Next, std::uint64_t Fencing) {
  std::lock_guard Lock(Mutex_);
  Phase_ = Next;
  Fencing_ = Fencing;
  LogEvent(LogLevel::Info,
           Next == Phase::Held ? "lease_acquired" : "lease_lost")
      .field("key", Key_)
      .field("fencing", Fencing);
}

void Lease::giveBack(std::int64_t LeaseId) {
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

std::optional<std::uint64_t> Lease::fencing() const {
  std::lock_guard Lock(Mutex_);
  if (!holdsLocked())
    return std::nullopt;
  return Fencing_;
}

void Lease::release() {
  {
    std::lock_guard Lock(Mutex_);
    Releasing_ = true;
  }
  // An acquisition in progress ends first, so that it cannot succeed unseen.
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
    giveBack(LeaseId);
}

} // namespace amaranth::coordination
