#include "Coordination/ClosedJournals.h"

#include "Coordination/Session.h"
#include "Support/Log.h"

#include <algorithm>

namespace amaranth::coordination {

namespace {

/// Attempts to read and close a journal; each lost reply uses one up.
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
  auto HomeSlot = findOrAddSlot(Home);
  if (!LoadEnded_.wait_until(Lock, Deadline,
                             [&] { return !HomeSlot->Loading_; }))
    return nullptr;
  if (HomeSlot->Content_)
    return HomeSlot->Content_;
  HomeSlot->Loading_ = true;
  Lock.unlock();
  Content Loaded = load(Home, MayEndSession, Deadline);
  Lock.lock();
  HomeSlot->Loading_ = false;
  HomeSlot->Content_ = Loaded;
  LoadEnded_.notify_all();
  return Loaded;
}

/// The slot of \p Home, created if needed. The mutex must be held.
std::shared_ptr<ClosedJournals::Slot>
ClosedJournals::findOrAddSlot(const HomeId &Home) {
  auto &Cached = Slots_[Home];
  if (Cached)
    return Cached;
  Cached = std::make_shared<Slot>();
  InsertionOrder_.push_back(Home);
  auto Added = Cached;
  if (InsertionOrder_.size() > Settings_.MaxJournals_) {
    Slots_.erase(InsertionOrder_.front());
    InsertionOrder_.pop_front();
  }
  return Added;
}

/// One read returns the closed mark together with the intents. If the mark is
/// present, every intent that was ever written is present too, or its expiry is
/// covered by DeletedUpTo_.
ClosedJournals::Content ClosedJournals::load(const HomeId &Home,
                                             bool MayEndSession,
                                             SteadyTime Deadline) {
  const std::string &Host = Home.first;
  std::uint64_t Incarnation = Home.second;
  bool SessionWasMissing = false;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    if (remaining(Deadline) == Milliseconds{0})
      return nullptr;
    auto Loaded = capture([&] {
      return Journal::read(Store_, Host, Incarnation, callTimeout(Deadline));
    });
    if (!Loaded && Loaded.error().Code_ != ErrorCode::Ambiguous)
      return nullptr;
    if (!Loaded)
      continue;
    if (Loaded->Closed_)
      return std::make_shared<JournalContent>(std::move(*Loaded));
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
    // Another host may have ended the session since the read; read once more.
    SessionWasMissing = Reply && !Reply->Succeeded_;
  }
  return nullptr;
}

Milliseconds ClosedJournals::callTimeout(SteadyTime Deadline) const {
  return std::min(Settings_.CallTimeout_, remaining(Deadline));
}

} // namespace amaranth::coordination
