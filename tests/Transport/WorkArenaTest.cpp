#include "Transport/WorkArena.h"

#include <catch2/catch.hpp>

#include <sys/resource.h>

#include <atomic>
#include <latch>

using namespace amaranth;
using namespace amaranth::transport;

namespace {

Microseconds processorTime() {
  rusage Usage{};
  getrusage(RUSAGE_SELF, &Usage);
  auto ToMicroseconds = [](const timeval &Time) {
    return Seconds{Time.tv_sec} + Microseconds{Time.tv_usec};
  };
  return ToMicroseconds(Usage.ru_utime) + ToMicroseconds(Usage.ru_stime);
}

} // namespace

// Guards against a deadlock of tasks that wait for each other because too few
// run at once.
TEST_CASE("as many tasks block together as the settings allow") {
  constexpr int Count = 32;
  WorkArena Arena({.Concurrency_ = Count});
  std::latch AllRunning(Count);
  for (int I = 0; I < Count; ++I)
    Arena.enqueue([&] { AllRunning.arrive_and_wait(); });
  Arena.waitIdle();
  CHECK(AllRunning.try_wait());
}

// Guards against starting more threads than there are tasks at a time.
TEST_CASE("sequential tasks share one thread") {
  WorkArena Arena({.Concurrency_ = 256});
  for (int I = 0; I < 100; ++I) {
    Arena.enqueue([] {});
    Arena.waitIdle();
  }
  CHECK(Arena.threadCount() == 1);
}

// Guards against waking all workers for each task: on a tbb::task_arena of 256
// this loop cost several milliseconds of processor time a task.
TEST_CASE("a task in an idle arena costs little processor time") {
  constexpr int Count = 200;
  WorkArena Arena({.Concurrency_ = 256});
  std::latch AllRunning(256);
  for (int I = 0; I < 256; ++I)
    Arena.enqueue([&] { AllRunning.arrive_and_wait(); });
  Arena.waitIdle();
  Microseconds Before = processorTime();
  for (int I = 0; I < Count; ++I) {
    Arena.enqueue([] {});
    Arena.waitIdle();
  }
  CHECK(processorTime() - Before < Count * Milliseconds{1});
}

// Guards against queued tasks that the destructor drops.
TEST_CASE("the destructor runs every queued task") {
  std::atomic<int> Completed = 0;
  {
    WorkArena Arena({.Concurrency_ = 2});
    for (int I = 0; I < 500; ++I)
      Arena.enqueue([&] { ++Completed; });
  }
  CHECK(Completed == 500);
}
