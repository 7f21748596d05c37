/// \file
/// The event loop that carries the request path: coroutines on one thread.
///
/// g++ 12 miscompiles temporaries inside an expression with co_await (braced
/// lists, conditional operators, by-value arguments made on the spot), so
/// awaited calls take named locals only.
#ifndef AMARANTH_TRANSPORT_LOOP_H
#define AMARANTH_TRANSPORT_LOOP_H

#include "Support/Time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace amaranth::transport {

template <typename T> using Awaitable = boost::asio::awaitable<T>;
using Loop = boost::asio::io_context;

/// Starts a task on \p Executor. An exception that escapes it is a broken
/// invariant and stops the process.
void startTask(Loop &Executor, Awaitable<void> Task);

/// Suspends the calling task for \p Time.
Awaitable<void> pause(Loop &Executor, Milliseconds Time);

/// Wakes one waiting task. A notification without a waiter is kept for the
/// next wait.
class Wakeup final {
public:
  explicit Wakeup(Loop &Executor);

  void notify();
  /// True when notified, false when \p Until passed first.
  Awaitable<bool> wait(SteadyTime Until);

private:
  boost::asio::steady_timer Timer_;
  bool Notified_ = false;
};

} // namespace amaranth::transport

#endif
