#include "Standin/SlotQueue.h"

namespace amaranth::standin {

namespace {

constexpr Milliseconds PollPeriod{20};

} // namespace

SlotQueue::SlotQueue(int Slots, Interruption &Stop)
    : Stop_(Stop), Slots_(Slots) {}

bool SlotQueue::acquire(int Priority, const std::function<bool()> &Abandoned) {
  std::unique_lock Lock(Mutex_);
  Waiter Self;
  Order Place{-Priority, NextArrival_++};
  Waiting_[Place] = &Self;
  grant();
  while (!Self.Granted_) {
    Self.Changed_.wait_for(Lock, PollPeriod);
    if (Self.Granted_)
      break;
    if (Stop_.stopped() || Abandoned()) {
      Waiting_.erase(Place);
      return false;
    }
  }
  return true;
}

void SlotQueue::release() {
  std::lock_guard Lock(Mutex_);
  --Running_;
  grant();
}

int SlotQueue::running() const {
  std::lock_guard Lock(Mutex_);
  return Running_;
}

int SlotQueue::queued() const {
  std::lock_guard Lock(Mutex_);
  return static_cast<int>(Waiting_.size());
}

void SlotQueue::grant() {
  while (Running_ < Slots_ && !Waiting_.empty()) {
    Waiter *First = Waiting_.begin()->second;
    Waiting_.erase(Waiting_.begin());
    ++Running_;
    First->Granted_ = true;
    First->Changed_.notify_one();
  }
}

} // namespace amaranth::standin
