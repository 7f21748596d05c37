/// \file
/// Timers for all periodic and delayed work of a process.
#ifndef AMARANTH_TRANSPORT_TIMERSERVICE_H
#define AMARANTH_TRANSPORT_TIMERSERVICE_H

#include "Support/Time.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace amaranth::transport {

namespace detail {
struct TimerEntry;
}

class TimerService;

/// Keeps a timer alive. Its destructor cancels the timer and waits for a
/// callback that is running on another thread.
class TimerSubscription final {
public:
  TimerSubscription() = default;
  TimerSubscription(TimerSubscription &&) = default;
  TimerSubscription &operator=(TimerSubscription &&Other) noexcept;
  ~TimerSubscription();

  /// Cancels the timer now.
  void cancel();

private:
  friend class TimerService;
  explicit TimerSubscription(std::shared_ptr<detail::TimerEntry> Entry);

  std::shared_ptr<detail::TimerEntry> Entry_;
};

/// Runs callbacks at their time on one thread. Components subscribe to it
/// instead of sleeping, so that stopping never waits for a sleep to end.
/// Callbacks must be short; blocking work belongs in a WorkArena.
class TimerService final {
public:
  TimerService();
  ~TimerService();
  TimerService(const TimerService &) = delete;
  TimerService &operator=(const TimerService &) = delete;

  /// Calls \p Callback every \p Period, first after one period.
  [[nodiscard]] TimerSubscription subscribe(Milliseconds Period,
                                            std::function<void()> Callback);

  /// Calls \p Callback once, after \p Delay.
  [[nodiscard]] TimerSubscription schedule(Milliseconds Delay,
                                           std::function<void()> Callback);

private:
  using Queue = std::multimap<SteadyTime, std::shared_ptr<detail::TimerEntry>>;

  TimerSubscription add(Milliseconds Delay, Milliseconds Period,
                        std::function<void()> Callback);
  void run();
  void runNextTimer(std::unique_lock<std::mutex> &Lock);

  std::mutex Mutex_;
  std::condition_variable Changed_;
  Queue Queue_;
  bool Stopping_ = false;
  std::thread Thread_;
};

} // namespace amaranth::transport

#endif
