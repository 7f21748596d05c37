#include "Transport/WorkArena.h"

#include <cassert>

namespace amaranth::transport {

WorkArena::WorkArena(const WorkArenaSettings &Settings) : Settings_(Settings) {
  assert(Settings_.Concurrency_ > 0);
}

WorkArena::~WorkArena() {
  waitIdle();
  // An empty task ends the thread that takes it.
  for (std::size_t I = 0; I < Threads_.size(); ++I)
    Queue_.push(Work());
  for (std::thread &Worker : Threads_)
    Worker.join();
}

void WorkArena::enqueue(std::function<void()> Task) {
  assert(Task);
  {
    std::lock_guard Lock(Mutex_);
    ++Pending_;
    bool AllBusy = Pending_ > Threads_.size();
    bool MayGrow =
        Threads_.size() < static_cast<std::size_t>(Settings_.Concurrency_);
    if (AllBusy && MayGrow)
      Threads_.emplace_back([this] { run(); });
  }
  Queue_.push(std::move(Task));
}

void WorkArena::waitIdle() {
  std::unique_lock Lock(Mutex_);
  Idle_.wait(Lock, [this] { return Pending_ == 0; });
}

std::size_t WorkArena::threadCount() {
  std::lock_guard Lock(Mutex_);
  return Threads_.size();
}

void WorkArena::run() {
  while (true) {
    Work Task;
    Queue_.pop(Task);
    if (!Task)
      return;
    Task();
    // Destroys the task, and all that it refers to, before it counts as ended.
    Task = nullptr;
    finish();
  }
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
