#include "Standin/SlotQueue.h"

namespace amaranth::standin {

namespace {

constexpr Milliseconds PollPeriod{20};

} // namespace

SlotQueue::SlotQueue(int Slots, StopSignal &Signal)
    : StopSignal_(Signal), Slots_(Slots) {}

bool SlotQueue::acquire(int Priority,
                        const std::function<bool()> &IsCancelled) {
  std::unique_lock Lock(Mutex_);
  Waiter Caller;
  QueueKey Position{-Priority, NextArrival_++};
  Waiters_[Position] = &Caller;
  grantFreeSlots();
  while (!Caller.Granted_) {
    Caller.GrantChanged_.wait_for(Lock, PollPeriod);
    if (Caller.Granted_)
      break;
    if (StopSignal_.stopped() || IsCancelled()) {
      Waiters_.erase(Position);
      return false;
    }
  }
  return true;
}

void SlotQueue::release() {
  std::lock_guard Lock(Mutex_);
  --Running_;
  grantFreeSlots();
}

int SlotQueue::running() const {
  std::lock_guard Lock(Mutex_);
  return Running_;
}

int SlotQueue::queued() const {
  std::lock_guard Lock(Mutex_);
  return static_cast<int>(Waiters_.size());
}

void SlotQueue::grantFreeSlots() {
  while (Running_ < Slots_ && !Waiters_.empty()) {
    Waiter *First = Waiters_.begin()->second;
    Waiters_.erase(Waiters_.begin());
    ++Running_;
    First->Granted_ = true;
    First->GrantChanged_.notify_one();
  }
}

} // namespace amaranth::standin
