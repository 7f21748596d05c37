#include "Transport/HttpMessage.h"

#include <strings.h>

namespace amaranth::transport {

namespace {

bool sameName(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         strncasecmp(Left.data(), Right.data(), Left.size()) == 0;
}

} // namespace

void HttpHeaders::add(std::string Name, std::string Value) {
  Fields_.emplace_back(std::move(Name), std::move(Value));
}

std::string HttpHeaders::get(std::string_view Name) const {
  for (const auto &[Field, Value] : Fields_)
    if (sameName(Field, Name))
      return Value;
  return {};
}

bool HttpHeaders::has(std::string_view Name) const {
  for (const auto &Field : Fields_)
    if (sameName(Field.first, Name))
      return true;
  return false;
}

const char *toString(CallFailure Failure) {
  switch (Failure) {
  case CallFailure::NotSent:
    return "not_sent";
  case CallFailure::Reset:
    return "reset";
  case CallFailure::Silent:
    return "silent";
  case CallFailure::DeadlineExceeded:
    return "deadline_exceeded";
  case CallFailure::Cancelled:
    return "cancelled";
  case CallFailure::Mismatched:
    return "mismatched";
  }
  return "unknown";
}

} // namespace amaranth::transport
