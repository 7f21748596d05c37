/// \file
/// A oneTBB arena for tasks that block.
#ifndef AMARANTH_TRANSPORT_WORKARENA_H
#define AMARANTH_TRANSPORT_WORKARENA_H

#include "Support/Time.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>

namespace amaranth::transport {

/// Settings of WorkArena.
struct WorkArenaSettings {
  /// Tasks that may run, and so block, at the same time.
  int Concurrency_ = 256;
};

namespace detail {
struct WorkArenaState;
}

/// Runs blocking tasks on oneTBB workers. The worker limit is raised above the
/// core count because tasks spend their time waiting for sockets.
class WorkArena final {
public:
  explicit WorkArena(const WorkArenaSettings &Settings);
  /// Waits for all tasks to end.
  ~WorkArena();
  WorkArena(const WorkArena &) = delete;
  WorkArena &operator=(const WorkArena &) = delete;

  /// Queues \p Task; it runs when a worker is free.
  void enqueue(std::function<void()> Task);

  /// Waits until no task is queued or running.
  void waitIdle();

private:
  void finish();

  std::unique_ptr<detail::WorkArenaState> State_;
  std::mutex Mutex_;
  std::condition_variable Idle_;
  std::size_t Pending_ = 0;
};

} // namespace amaranth::transport

#endif
