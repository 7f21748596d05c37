/// \file
/// Limited execution slots with a priority queue in front.
#ifndef AMARANTH_STANDIN_SLOTQUEUE_H
#define AMARANTH_STANDIN_SLOTQUEUE_H

#include "Standin/Interruption.h"

#include <cstdint>
#include <functional>
#include <map>
#include <mutex>

namespace amaranth::standin {

/// Grants slots by priority, higher first, then by arrival. Thread-safe.
class SlotQueue final {
public:
  SlotQueue(int Slots, Interruption &Stop);

  /// Waits for a slot. False, and no slot, when \p Abandoned holds (tested
  /// every 20 ms while waiting) or the process stops.
  bool acquire(int Priority, const std::function<bool()> &Abandoned);
  void release();

  int running() const;
  int queued() const;

private:
  struct Waiter {
    std::condition_variable Changed_;
    bool Granted_ = false;
  };
  using Order = std::pair<int, std::uint64_t>; ///< Negated priority, arrival.

  void grant();

  Interruption &Stop_;
  mutable std::mutex Mutex_;
  std::map<Order, Waiter *> Waiting_;
  std::uint64_t NextArrival_ = 0;
  int Slots_;
  int Running_ = 0;
};

/// Gives a slot back when it goes out of scope.
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
