#include "Transport/TimerService.h"

#include <cassert>

namespace amaranth::transport {

namespace detail {

/// One timer; the mutex is held while its callback runs, so that cancelling
/// from another thread waits for the callback to end.
struct TimerEntry {
  std::recursive_mutex Mutex_;
  bool Cancelled_ = false;
  Milliseconds Period_{0}; ///< 0 for a timer that runs once.
  std::function<void()> Callback_;
};

} // namespace detail

TimerSubscription::TimerSubscription(std::shared_ptr<detail::TimerEntry> Entry)
    : Entry_(std::move(Entry)) {}

TimerSubscription &
TimerSubscription::operator=(TimerSubscription &&Other) noexcept {
  cancel();
  Entry_ = std::move(Other.Entry_);
  return *this;
}

TimerSubscription::~TimerSubscription() { cancel(); }

void TimerSubscription::cancel() {
  if (!Entry_)
    return;
  auto Entry = std::move(Entry_);
  std::lock_guard Lock(Entry->Mutex_);
  Entry->Cancelled_ = true;
}

TimerService::TimerService() : Thread_([this] { run(); }) {}

TimerService::~TimerService() {
  {
    std::lock_guard Lock(Mutex_);
    Stopping_ = true;
  }
  Changed_.notify_all();
  Thread_.join();
}

TimerSubscription TimerService::subscribe(Milliseconds Period,
                                          std::function<void()> Callback) {
  assert(Period.count() > 0);
  return add(Period, Period, std::move(Callback));
}

TimerSubscription TimerService::schedule(Milliseconds Delay,
                                         std::function<void()> Callback) {
  return add(Delay, Milliseconds{0}, std::move(Callback));
}

TimerSubscription TimerService::add(Milliseconds Delay, Milliseconds Period,
                                    std::function<void()> Callback) {
  auto Entry = std::make_shared<detail::TimerEntry>();
  Entry->Period_ = Period;
  Entry->Callback_ = std::move(Callback);
  {
    std::lock_guard Lock(Mutex_);
    Queue_.emplace(SteadyClock::now() + Delay, Entry);
  }
  Changed_.notify_all();
  return TimerSubscription(std::move(Entry));
}

void TimerService::run() {
  std::unique_lock Lock(Mutex_);
  while (!Stopping_) {
    if (Queue_.empty())
      Changed_.wait(Lock);
    else if (Queue_.begin()->first > SteadyClock::now())
      Changed_.wait_until(Lock, Queue_.begin()->first);
    else
      runNextTimer(Lock);
  }
}

void TimerService::runNextTimer(std::unique_lock<std::mutex> &Lock) {
  auto Node = Queue_.extract(Queue_.begin());
  auto Entry = Node.mapped();
  Lock.unlock();
  bool IsRepeated = false;
  {
    std::lock_guard EntryLock(Entry->Mutex_);
    if (!Entry->Cancelled_)
      Entry->Callback_();
    IsRepeated = !Entry->Cancelled_ && Entry->Period_.count() > 0;
  }
  Lock.lock();
  if (!IsRepeated)
    return;
  // The next run is counted from now: a paused process does not catch up with
  // a burst of missed periods.
  Node.key() = SteadyClock::now() + Entry->Period_;
  Queue_.insert(std::move(Node));
}

} // namespace amaranth::transport
