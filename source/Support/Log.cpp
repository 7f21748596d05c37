#include "Support/Log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace amaranth {

namespace {

log4cxx::LoggerPtr logger() {
  // Never destroyed, because threads may log while the process exits.
  static auto *Logger =
      new log4cxx::LoggerPtr(log4cxx::Logger::getLogger("amaranth"));
  return *Logger;
}

log4cxx::LevelPtr toLog4cxx(LogLevel Level) {
  switch (Level) {
  case LogLevel::Debug:
    return log4cxx::Level::getDebug();
  case LogLevel::Info:
    return log4cxx::Level::getInfo();
  case LogLevel::Warn:
    return log4cxx::Level::getWarn();
  case LogLevel::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

bool needsQuotes(std::string_view Value) {
  if (Value.empty())
    return true;
  for (unsigned char Character : Value)
    if (Character <= ' ' || Character == '"' || Character == '=' ||
        Character == '\\' || Character == 0x7f)
      return true;
  return false;
}

void appendQuoted(std::string &Line, std::string_view Value) {
  Line.push_back('"');
  for (unsigned char Character : Value) {
    if (Character == '"' || Character == '\\') {
      Line.push_back('\\');
      Line.push_back(static_cast<char>(Character));
    } else if (Character < ' ' || Character == 0x7f) {
      Line.push_back('?');
    } else {
      Line.push_back(static_cast<char>(Character));
    }
  }
  Line.push_back('"');
}

} // namespace

void initializeLog(LogLevel Level) {
  auto Layout = std::make_shared<log4cxx::PatternLayout>(
      LOG4CXX_STR("time=%d{yyyy-MM-dd}T%d{HH:mm:ss.SSS} level=%p %m%n"));
  auto Appender = std::make_shared<log4cxx::ConsoleAppender>(
      Layout, log4cxx::ConsoleAppender::getSystemErr());
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(Appender);
  setLogLevel(Level);
}

void setLogLevel(LogLevel Level) { logger()->setLevel(toLog4cxx(Level)); }

Result<LogLevel> parseLogLevel(std::string_view Name) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "info")
    return LogLevel::Info;
  if (Name == "warn")
    return LogLevel::Warn;
  if (Name == "error")
    return LogLevel::Error;
  return fail(ErrorCode::InvalidArgument,
              "log level must be debug, info, warn or error");
}

LogEvent::LogEvent(LogLevel Level, std::string_view Event)
    : Level_(Level), Enabled_(logger()->isEnabledFor(toLog4cxx(Level))) {
  field("event", Event);
}

LogEvent::~LogEvent() {
  if (Enabled_)
    logger()->forcedLog(toLog4cxx(Level_), Line_);
}

LogEvent &LogEvent::field(std::string_view Key, std::string_view Value) {
  if (!Enabled_)
    return *this;
  if (!Line_.empty())
    Line_.push_back(' ');
  Line_.append(Key).push_back('=');
  if (needsQuotes(Value))
    appendQuoted(Line_, Value);
  else
    Line_.append(Value);
  return *this;
}

} // namespace amaranth
