#include "Support/Error.h"

namespace amaranth {

const char *toString(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidArgument:
    return "invalid_argument";
  case ErrorCode::NotFound:
    return "not_found";
  case ErrorCode::Conflict:
    return "conflict";
  case ErrorCode::Unavailable:
    return "unavailable";
  case ErrorCode::Ambiguous:
    return "ambiguous";
  case ErrorCode::DeadlineExceeded:
    return "deadline_exceeded";
  case ErrorCode::Unauthenticated:
    return "unauthenticated";
  case ErrorCode::ResourceExhausted:
    return "resource_exhausted";
  case ErrorCode::CorruptData:
    return "corrupt_data";
  case ErrorCode::Internal:
    return "internal";
  }
  return "internal";
}

} // namespace amaranth
