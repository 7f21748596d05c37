#include "Transport/Loop.h"

#include "Support/Log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>

namespace amaranth::transport {

namespace asio = boost::asio;

void startTask(Loop &Executor, Awaitable<void> Task) {
  asio::co_spawn(Executor, std::move(Task), [](std::exception_ptr Escaped) {
    if (Escaped)
      std::rethrow_exception(Escaped);
  });
}

void startConnectionTask(Loop &Executor, Awaitable<void> Task) {
  asio::co_spawn(Executor, std::move(Task), [](std::exception_ptr Escaped) {
    if (!Escaped)
      return;
    try {
      std::rethrow_exception(Escaped);
    } catch (const std::exception &Failure) {
      LogEvent(LogLevel::Error, "connection_task_failed")
          .field("error", Failure.what());
    }
  });
}

Awaitable<void> pause(Loop &Executor, Milliseconds Duration) {
  asio::steady_timer Timer(Executor, Duration);
  boost::system::error_code Failure;
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  co_await Timer.async_wait(Token);
}

Awaitable<void> yield(Loop &Executor) {
  auto Token = asio::use_awaitable;
  co_await asio::post(Executor, Token);
}

Wakeup::Wakeup(Loop &Executor) : Timer_(Executor) {}

void Wakeup::notify() {
  Notified_ = true;
  Timer_.cancel();
}

Awaitable<bool> Wakeup::wait(SteadyTime Deadline) {
  if (!Notified_) {
    Timer_.expires_at(Deadline);
    boost::system::error_code Failure;
    auto Token = asio::redirect_error(asio::use_awaitable, Failure);
    co_await Timer_.async_wait(Token);
  }
  bool WasNotified = Notified_;
  Notified_ = false;
  co_return WasNotified;
}

} // namespace amaranth::transport
