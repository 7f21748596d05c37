/// \file
/// A limited number of execution slots with a priority queue.
#ifndef AMARANTH_STANDIN_SLOTQUEUE_H
#define AMARANTH_STANDIN_SLOTQUEUE_H

#include "Standin/StopSignal.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace amaranth::standin {

/// Grants slots by priority, highest first, and by arrival within a priority.
/// Thread-safe.
class SlotQueue final {
public:
  SlotQueue(int Slots, StopSignal &Signal);

  /// Waits for a slot. Returns false without a slot if \p IsCancelled returns
  /// true (tested every 20 ms while waiting) or the process stops.
  bool acquire(int Priority, const std::function<bool()> &IsCancelled);
  void release();

  int running() const;
  int queued() const;

private:
  struct Waiter {
    std::condition_variable GrantChanged_;
    bool Granted_ = false;
  };
  /// Negated priority and number of arrival.
  using QueueKey = std::pair<int, std::uint64_t>;

  void grantFreeSlots();

  StopSignal &StopSignal_;
  mutable std::mutex Mutex_;
  std::map<QueueKey, Waiter *> Waiters_;
  std::uint64_t NextArrival_ = 0;
  int Slots_;
  int Running_ = 0;
};

/// Releases a slot when it goes out of scope.
class SlotGuard final {
public:
  explicit SlotGuard(SlotQueue &Queue) : Queue_(Queue) {}
  ~SlotGuard() { Queue_.release(); }
  SlotGuard(const SlotGuard &) = delete;
  SlotGuard &operator=(const SlotGuard &) = delete;

private:
  SlotQueue &Queue_;
};

} // namespace amaranth::standin

#endif
