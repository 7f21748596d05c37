/// \file
/// Event loop of the request path: coroutines on one thread.
///
/// g++ 12 miscompiles temporaries inside an expression with co_await (braced
/// lists, conditional operators, temporaries passed by value), so the arguments
/// of awaited calls are named locals.
#ifndef AMARANTH_TRANSPORT_LOOP_H
#define AMARANTH_TRANSPORT_LOOP_H

#include "Support/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace amaranth::transport {

template <typename T> using Awaitable = boost::asio::awaitable<T>;
using Loop = boost::asio::io_context;

/// Starts a task on \p Executor. An exception that escapes the task violates an
/// invariant and stops the process.
void startTask(Loop &Executor, Awaitable<void> Task);

/// Starts the task of one connection. An exception that escapes it, for lack of
/// memory or because of input that nothing foresaw, is logged and ends this
/// task only.
void startConnectionTask(Loop &Executor, Awaitable<void> Task);

/// Suspends the calling task for \p Time.
Awaitable<void> pause(Loop &Executor, Milliseconds Duration);

/// Lets the other tasks that are ready, and the timers, run before the calling
/// task continues.
Awaitable<void> yield(Loop &Executor);

/// Wakes one waiting task. A notification without a waiter is kept for the
/// next wait.
class Wakeup final {
public:
  explicit Wakeup(Loop &Executor);

  void notify();
  /// Waits until \p Deadline; returns true if notified before.
  Awaitable<bool> wait(SteadyTime Deadline);

private:
  boost::asio::steady_timer Timer_;
  bool Notified_ = false;
};

} // namespace amaranth::transport

#endif
