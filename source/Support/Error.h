/// \file
/// Errors as values: Boost.LEAF results within a thread, Expected across
/// threads.
#ifndef AMARANTH_SUPPORT_ERROR_H
#define AMARANTH_SUPPORT_ERROR_H

#include <boost/leaf.hpp>

#include <cassert>
#include <string>
#include <utility>
#include <variant>

namespace amaranth {

/// Kind of a failure, by which callers decide how to react.
enum class ErrorCode {
  InvalidArgument,  ///< The input is malformed or out of range.
  NotFound,         ///< The named object does not exist.
  Conflict,         ///< A compare-and-swap failed or a condition did not hold.
  Unavailable,      ///< The remote side could not be reached; nothing was sent.
  Ambiguous,        ///< The request may or may not have taken effect.
  DeadlineExceeded, ///< Time ran out before the request was sent.
  Unauthenticated,  ///< The credentials are missing or wrong.
  ResourceExhausted, ///< A limit or a queue is full.
  CorruptData,       ///< Data failed an integrity check.
  Internal,          ///< A failure of this process.
};

/// The name of \p Code as it appears in logs and messages.
const char *toString(ErrorCode Code);

/// An error code with a human-readable message.
struct Error {
  ErrorCode Code_ = ErrorCode::Internal;
  std::string Message_;
};

/// Result of a function that can fail. The error is stored in the LEAF context
/// of the calling thread, so use capture() to pass it to another thread.
template <typename T> using Result = boost::leaf::result<T>;

/// Makes a LEAF error id that carries \p Code and \p Message.
inline auto fail(ErrorCode Code, std::string Message) {
  return boost::leaf::new_error(Error{Code, std::move(Message)});
}

/// A value or an Error, independent of any thread's LEAF context.
template <typename T> class [[nodiscard]] Expected final {
public:
  Expected(T Value) : Content_(std::move(Value)) {}
  Expected(Error Failure) : Content_(std::move(Failure)) {}

  explicit operator bool() const { return Content_.index() == 0; }

  const T &value() const {
    assert(Content_.index() == 0);
    return *std::get_if<0>(&Content_);
  }
  T &value() {
    assert(Content_.index() == 0);
    return *std::get_if<0>(&Content_);
  }
  const T &operator*() const { return value(); }
  T &operator*() { return value(); }
  const T *operator->() const { return &value(); }
  T *operator->() { return &value(); }

  const Error &error() const {
    assert(Content_.index() == 1);
    return *std::get_if<1>(&Content_);
  }

private:
  std::variant<T, Error> Content_;
};

/// Success without a value, for Expected<Done>.
struct Done {};

namespace detail {

template <typename R> struct ResultValue;
template <typename T> struct ResultValue<Result<T>> { using Type = T; };

} // namespace detail

/// Runs \p Operation, which returns Result<T>, and converts its result to an
/// Expected<T> that does not depend on the thread.
template <typename F> auto capture(F &&Operation) {
  using T =
      typename detail::ResultValue<std::decay_t<decltype(Operation())>>::Type;
  if constexpr (std::is_void_v<T>) {
    return boost::leaf::try_handle_all(
        [&]() -> Result<Expected<Done>> {
          BOOST_LEAF_CHECK(Operation());
          return Expected<Done>(Done{});
        },
        [](const Error &Failure) { return Expected<Done>(Failure); },
        [] { return Expected<Done>(Error{}); });
  } else {
    return boost::leaf::try_handle_all(
        [&]() -> Result<Expected<T>> {
          BOOST_LEAF_AUTO(Value, Operation());
          return Expected<T>(std::move(Value));
        },
        [](const Error &Failure) { return Expected<T>(Failure); },
        [] { return Expected<T>(Error{}); });
  }
}

} // namespace amaranth

#endif
