#include "Transport/WorkArena.h"

#include <oneapi/tbb/global_control.h>
#include <oneapi/tbb/task_arena.h>

namespace amaranth::transport {

namespace detail {

struct WorkArenaState {
  explicit WorkArenaState(int Concurrency)
      : Limit_(tbb::global_control::max_allowed_parallelism, WorkerLimit),
        Arena_(Concurrency, 0) {}

  /// Bound on the workers of all arenas of a process together.
  static constexpr std::size_t WorkerLimit = 2048;

  tbb::global_control Limit_;
  tbb::task_arena Arena_;
};

} // namespace detail

WorkArena::WorkArena(const WorkArenaSettings &Settings)
    : State_(std::make_unique<detail::WorkArenaState>(Settings.Concurrency_)) {
  State_->Arena_.initialize();
}

WorkArena::~WorkArena() { waitIdle(); }

void WorkArena::enqueue(std::function<void()> Task) {
  {
    std::lock_guard Lock(Mutex_);
    ++Pending_;
  }
  State_->Arena_.enqueue([this, Task = std::move(Task)] {
    Task();
    finish();
  });
}

void WorkArena::waitIdle() {
  std::unique_lock Lock(Mutex_);
  Idle_.wait(Lock, [this] { return Pending_ == 0; });
}

void WorkArena::finish() {
  // Notifies under the lock: the waiter may destroy this object as soon as it
  // sees zero.
  std::lock_guard Lock(Mutex_);
  --Pending_;
  if (Pending_ == 0)
    Idle_.notify_all();
}

} // namespace amaranth::transport
