#include "Standin/Interruption.h"

namespace amaranth::standin {

namespace {

/// Longest time between two tests of a condition that nothing signals, such as
/// a peer closing its connection.
constexpr Milliseconds PollPeriod{20};

} // namespace

void Interruption::stop() {
  std::lock_guard Lock(Mutex_);
  Stopped_ = true;
  Changed_.notify_all();
}

bool Interruption::stopped() const {
  std::lock_guard Lock(Mutex_);
  return Stopped_;
}

void Interruption::notify() {
  std::lock_guard Lock(Mutex_);
  Changed_.notify_all();
}

bool Interruption::sleepUntil(SteadyTime Time) {
  std::unique_lock Lock(Mutex_);
  return !Changed_.wait_until(Lock, Time, [this] { return Stopped_; });
}

bool Interruption::waitFor(const std::function<bool()> &Condition) {
  while (!Condition()) {
    std::unique_lock Lock(Mutex_);
    if (Stopped_)
      return false;
    Changed_.wait_for(Lock, PollPeriod);
  }
  return true;
}

} // namespace amaranth::standin
