#include "Coordination/RequestRegistry.h"

#include "Coordination/OutcomeText.h"

#include <cassert>
#include <utility>

namespace amaranth::coordination {

using protocol::OutcomeKind;
using protocol::RequestOutcome;

RequestRegistry::RequestRegistry(RequestRegistrySettings Settings,
                                 std::function<Milliseconds()> Now)
    : Settings_(Settings), Now_(std::move(Now)) {}

std::optional<RequestOutcome> RequestRegistry::begin(const RegistryKey &Key,
                                                     SteadyTime Deadline) {
  std::unique_lock Lock(Mutex_);
  // Read the clock under the lock: once a key has been refused as expired, no
  // thread with an earlier reading can start it.
  Milliseconds Now = Now_();
  removeExpired(Now);
  auto Found = Entries_.find(Key.Identity_);
  if (Found != Entries_.end())
    return waitForOutcome(Lock, Found->second, Key, Deadline);
  if (Now > Key.Expiry_)
    return outcomeOfAbsentKey(Now, Key.Expiry_);
  if (Entries_.size() >= Settings_.MaxEntries_)
    return makeUnknown("this host remembers as many keys as it can; the "
                       "request was not started",
                       Seconds(1));
  auto NewEntry = std::make_shared<Entry>();
  NewEntry->ContentDigest_ = Key.ContentDigest_;
  NewEntry->Expiry_ = Key.Expiry_;
  Entries_.emplace(Key.Identity_, std::move(NewEntry));
  ByExpiry_.emplace(Key.Expiry_, Key.Identity_);
  return std::nullopt;
}

void RequestRegistry::finish(const std::string &Identity,
                             const RequestOutcome &Outcome) {
  std::lock_guard Lock(Mutex_);
  EntryPointer EndedEntry = end(Identity, Outcome);
  if (Outcome.Body_.empty())
    return;
  BodyBytes_ += Outcome.Body_.size();
  EntriesWithBody_.push_back(EndedEntry);
  dropExcessBodies();
}

void RequestRegistry::withdraw(const std::string &Identity,
                               const RequestOutcome &Outcome) {
  std::lock_guard Lock(Mutex_);
  EntryPointer EndedEntry = end(Identity, Outcome);
  Entries_.erase(Identity);
  auto [First, Last] = ByExpiry_.equal_range(EndedEntry->Expiry_);
  for (auto It = First; It != Last; ++It) {
    if (It->second != Identity)
      continue;
    ByExpiry_.erase(It);
    return;
  }
}

std::optional<RequestOutcome> RequestRegistry::find(const RegistryKey &Key,
                                                    SteadyTime Deadline) {
  std::unique_lock Lock(Mutex_);
  auto Found = Entries_.find(Key.Identity_);
  if (Found == Entries_.end())
    return std::nullopt;
  return waitForOutcome(Lock, Found->second, Key, Deadline);
}

RequestOutcome RequestRegistry::lookUp(const RegistryKey &Key,
                                       SteadyTime Deadline) {
  std::unique_lock Lock(Mutex_);
  auto Found = Entries_.find(Key.Identity_);
  if (Found != Entries_.end())
    return waitForOutcome(Lock, Found->second, Key, Deadline);
  return outcomeOfAbsentKey(Now_(), Key.Expiry_);
}

bool RequestRegistry::isAlmostFull() const {
  std::lock_guard Lock(Mutex_);
  return Entries_.size() >= Settings_.MaxEntries_ - Settings_.MaxEntries_ / 10;
}

std::size_t RequestRegistry::size() const {
  std::lock_guard Lock(Mutex_);
  return Entries_.size();
}

RequestOutcome
RequestRegistry::waitForOutcome(std::unique_lock<std::mutex> &Lock,
                                const EntryPointer &Found,
                                const RegistryKey &Key, SteadyTime Deadline) {
  EntryPointer Pinned = Found;
  if (!Key.ContentDigest_.empty() &&
      Key.ContentDigest_ != Pinned->ContentDigest_)
    return makeConflict();
  Pinned->OutcomeSet_.wait_until(Lock, Deadline,
                                 [&] { return Pinned->Outcome_.has_value(); });
  if (Pinned->Outcome_)
    return *Pinned->Outcome_;
  RequestOutcome Running;
  Running.Kind_ = OutcomeKind::Running;
  Running.Detail_ = "the request is running";
  Running.RetryAfter_ = Seconds(1);
  return Running;
}

RequestRegistry::EntryPointer
RequestRegistry::end(const std::string &Identity,
                     const RequestOutcome &Outcome) {
  auto Found = Entries_.find(Identity);
  assert(Found != Entries_.end() && !Found->second->Outcome_);
  Found->second->Outcome_ = Outcome;
  Found->second->OutcomeSet_.notify_all();
  return Found->second;
}

RequestOutcome RequestRegistry::outcomeOfAbsentKey(Milliseconds Now,
                                                   Milliseconds Expiry) const {
  if (Now <= Expiry)
    return makeUnknown("this host has not seen the key; send the request again",
                       Seconds(1));
  if (Now <= Expiry + Settings_.Retention_)
    return makeNotRun("the ticket of the key has expired");
  return makeUnknown("the ticket of the key expired too long ago",
                     Milliseconds{0});
}

/// Removes ended keys past their retention. At that age outcomeOfAbsentKey() no
/// longer returns `not_run` for them.
void RequestRegistry::removeExpired(Milliseconds Now) {
  auto It = ByExpiry_.begin();
  while (It != ByExpiry_.end() && It->first + Settings_.Retention_ < Now) {
    auto Found = Entries_.find(It->second);
    if (!Found->second->Outcome_) {
      ++It;
      continue;
    }
    BodyBytes_ -= Found->second->Outcome_->Body_.size();
    Entries_.erase(Found);
    It = ByExpiry_.erase(It);
  }
  while (!EntriesWithBody_.empty() && EntriesWithBody_.front().expired())
    EntriesWithBody_.pop_front();
}

/// Drops the oldest bodies. Their keys are kept and still prevent a second run.
void RequestRegistry::dropExcessBodies() {
  while (BodyBytes_ > Settings_.MaxBodyBytes_ && !EntriesWithBody_.empty()) {
    EntryPointer Oldest = EntriesWithBody_.front().lock();
    EntriesWithBody_.pop_front();
    if (!Oldest || Oldest->Outcome_->Body_.empty())
      continue;
    BodyBytes_ -= Oldest->Outcome_->Body_.size();
    Oldest->Outcome_ =
        makeUnknown("the request ran to the outcome '" +
                        std::string(toString(Oldest->Outcome_->Kind_)) +
                        "', but its answer is no longer held",
                    Milliseconds{0});
  }
}

} // namespace amaranth::coordination
