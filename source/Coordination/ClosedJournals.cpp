#include "Coordination/ClosedJournals.h"

#include "Coordination/Session.h"
#include "Support/Log.h"

#include <algorithm>

namespace amaranth::coordination {

namespace {

/// Rounds of reading and closing; each lost reply costs one.
constexpr int MaxAttempts = 6;

} // namespace

ClosedJournals::ClosedJournals(ClosedJournalsSettings Settings,
                               protocol::KeyValueStore &Store)
    : Settings_(Settings), Store_(Store) {}

ClosedJournals::Content ClosedJournals::read(const std::string &Host,
                                             std::uint64_t Incarnation,
                                             bool MayEndSession,
                                             SteadyTime Deadline) {
  HomeId Home(Host, Incarnation);
  std::unique_lock Lock(Mutex_);
  auto Found = findOrAddSlot(Home);
  if (!LoadEnded_.wait_until(Lock, Deadline, [&] { return !Found->Loading_; }))
    return nullptr;
  if (Found->Content_)
    return Found->Content_;
  Found->Loading_ = true;
  Lock.unlock();
  Content Read = load(Home, MayEndSession, Deadline);
  Lock.lock();
  Found->Loading_ = false;
  Found->Content_ = Read;
  LoadEnded_.notify_all();
  return Read;
}

/// The slot of \p Home, made if needed; the mutex is held.
std::shared_ptr<ClosedJournals::Slot>
ClosedJournals::findOrAddSlot(const HomeId &Home) {
  auto &Found = Slots_[Home];
  if (Found)
    return Found;
  Found = std::make_shared<Slot>();
  InsertionOrder_.push_back(Home);
  auto Added = Found;
  if (InsertionOrder_.size() > Settings_.MaxJournals_) {
    Slots_.erase(InsertionOrder_.front());
    InsertionOrder_.pop_front();
  }
  return Added;
}

/// The mark and the intents are seen by one read: if the mark is there, every
/// intent that was ever written is there too, or counted in DeletedUpTo_.
ClosedJournals::Content ClosedJournals::load(const HomeId &Home,
                                             bool MayEndSession,
                                             SteadyTime Deadline) {
  const std::string &Host = Home.first;
  std::uint64_t Incarnation = Home.second;
  bool SessionWasMissing = false;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    if (remaining(Deadline) == Milliseconds{0})
      return nullptr;
    auto Read = capture([&] {
      return Journal::read(Store_, Host, Incarnation, callTimeout(Deadline));
    });
    if (!Read && Read.error().Code_ != ErrorCode::Ambiguous)
      return nullptr;
    if (!Read)
      continue;
    if (Read->Closed_)
      return std::make_shared<JournalContent>(std::move(*Read));
    if (!MayEndSession || SessionWasMissing)
      return nullptr;
    auto Reply = capture([&] {
      return Store_.commit(Session::closeTransaction(Host, Incarnation),
                           callTimeout(Deadline));
    });
    if (!Reply && Reply.error().Code_ != ErrorCode::Ambiguous)
      return nullptr;
    if (Reply && Reply->Succeeded_)
      LogEvent(LogLevel::Info, "session_ended")
          .field("host", Host)
          .field("incarnation", Incarnation);
    // Another survivor may have closed it since the read; look once more.
    SessionWasMissing = Reply && !Reply->Succeeded_;
  }
  return nullptr;
}

Milliseconds ClosedJournals::callTimeout(SteadyTime Deadline) const {
  return std::min(Settings_.CallTimeout_, remaining(Deadline));
}

} // namespace amaranth::coordination
