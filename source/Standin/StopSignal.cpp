#include "Standin/StopSignal.h"

namespace amaranth::standin {

namespace {

/// Longest time between two tests of a condition whose change nobody signals,
/// such as a peer that closes its connection.
constexpr Milliseconds PollPeriod{20};

} // namespace

void StopSignal::stop() {
  std::lock_guard Lock(Mutex_);
  Stopped_ = true;
  Changed_.notify_all();
}

bool StopSignal::stopped() const {
  std::lock_guard Lock(Mutex_);
  return Stopped_;
}

void StopSignal::wakeWaiters() {
  std::lock_guard Lock(Mutex_);
  Changed_.notify_all();
}

bool StopSignal::sleepUntil(SteadyTime Time) {
  std::unique_lock Lock(Mutex_);
  return !Changed_.wait_until(Lock, Time, [this] { return Stopped_; });
}

bool StopSignal::waitFor(const std::function<bool()> &Condition) {
  while (!Condition()) {
    std::unique_lock Lock(Mutex_);
    if (Stopped_)
      return false;
    Changed_.wait_for(Lock, PollPeriod);
  }
  return true;
}

} // namespace amaranth::standin
