/// \file
/// Workers for tasks that block.
#ifndef AMARANTH_TRANSPORT_WORKARENA_H
#define AMARANTH_TRANSPORT_WORKARENA_H

#include "Support/Time.h"

#include <oneapi/tbb/concurrent_queue.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace amaranth::transport {

/// Settings of WorkArena.
struct WorkArenaSettings {
  /// Tasks that may run, and so block, at the same time.
  int Concurrency_ = 256;
};

/// Runs blocking tasks on threads that sleep on a oneTBB queue. A
/// tbb::task_arena does not suit such tasks: each enqueue to an idle arena
/// wakes as many workers as the arena allows, and an idle daemon with a few
/// periodic tasks a second used a third of a core on that. Threads are started
/// when all others are busy and kept until the end.
class WorkArena final {
public:
  explicit WorkArena(const WorkArenaSettings &Settings);
  /// Waits for all tasks to end.
  ~WorkArena();
  WorkArena(const WorkArena &) = delete;
  WorkArena &operator=(const WorkArena &) = delete;

  /// Queues \p Task; it runs when a thread is free.
  void enqueue(std::function<void()> Task);

  /// Waits until no task is queued or running.
  void waitIdle();

  /// Threads started so far.
  std::size_t threadCount();

private:
  using Work = std::function<void()>;

  void run();
  void finish();

  WorkArenaSettings Settings_;
  tbb::concurrent_bounded_queue<Work> Queue_;
  std::mutex Mutex_;
  std::condition_variable Idle_;
  std::size_t Pending_ = 0; ///< Tasks queued or running.
  std::vector<std::thread> Threads_;
};

} // namespace amaranth::transport

#endif
