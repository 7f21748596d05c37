/// \file
/// Structured logs: one line of key=value pairs for each event, by log4cxx.
#ifndef AMARANTH_SUPPORT_LOG_H
#define AMARANTH_SUPPORT_LOG_H

#include "Support/Error.h"

#include <concepts>
#include <string>
#include <string_view>

namespace amaranth {

enum class LogLevel { Debug, Info, Warn, Error };

/// Sends log lines of this process to standard error from \p Level upward.
void initializeLog(LogLevel Level);

/// Changes the level at run time.
void setLogLevel(LogLevel Level);

/// Reads "debug", "info", "warn" or "error".
Result<LogLevel> parseLogLevel(std::string_view Name);

/// One event; the line is written when the object goes out of scope. Values
/// with spaces, quotes or control characters are quoted and escaped. Never pass
/// bearer keys or payloads.
class LogEvent final {
public:
  LogEvent(LogLevel Level, std::string_view Event);
  ~LogEvent();
  LogEvent(const LogEvent &) = delete;
  LogEvent &operator=(const LogEvent &) = delete;

  LogEvent &field(std::string_view Key, std::string_view Value);
  LogEvent &field(std::string_view Key, std::integral auto Value) {
    return field(Key, std::string_view(std::to_string(Value)));
  }

private:
  LogLevel Level_;
  bool Enabled_;
  std::string Line_;
};

} // namespace amaranth

#endif
