/// \file
/// Structured logging with log4cxx: one line of key=value pairs per event.
#ifndef AMARANTH_SUPPORT_LOG_H
#define AMARANTH_SUPPORT_LOG_H

#include "Support/Error.h"

#include <concepts>
#include <string>
#include <string_view>

namespace amaranth {

enum class LogLevel { Debug, Info, Warn, Error };

/// Makes this process log events of \p Level and above to standard error.
void initializeLog(LogLevel Level);

/// Changes the level at run time.
void setLogLevel(LogLevel Level);

/// Parses "debug", "info", "warn" or "error"; InvalidArgument otherwise.
Result<LogLevel> parseLogLevel(std::string_view Name);

/// One log event, whose line is written when the object is destroyed. Values
/// with spaces, quotes or control characters are quoted and escaped. Never log
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
