#include "Coordination/AttemptPolicy.h"

namespace amaranth::coordination {

using protocol::StageReply;
using protocol::StageStatus;
using transport::CallFailure;

AttemptEnd attemptEnd(const StageReply &Reply, SteadyTime Deadline) {
  switch (Reply.Status_) {
  case StageStatus::Ok:
    return AttemptEnd::Success;
  case StageStatus::Leaving:
    return AttemptEnd::Leaving;
  case StageStatus::Overloaded:
    return AttemptEnd::Overloaded;
  case StageStatus::Rejected:
    return AttemptEnd::Ignored;
  case StageStatus::TargetError:
  case StageStatus::Corrupt:
    return AttemptEnd::Failure;
  case StageStatus::NoReply:
    break;
  }
  if (remaining(Deadline).count() == 0)
    return AttemptEnd::Ignored;
  switch (Reply.Failure_) {
  case CallFailure::NotSent:
    return AttemptEnd::Refused;
  case CallFailure::Cancelled:
  case CallFailure::DeadlineExceeded:
    return AttemptEnd::Ignored;
  case CallFailure::Reset:
  case CallFailure::Silent:
  case CallFailure::Mismatched:
    return AttemptEnd::Failure;
  }
  return AttemptEnd::Failure;
}

bool isKnownNotRun(const StageReply &Reply) {
  switch (Reply.Status_) {
  case StageStatus::Leaving:
  case StageStatus::Overloaded:
    return true;
  case StageStatus::NoReply:
    return Reply.Failure_ == CallFailure::NotSent;
  case StageStatus::Ok:
  case StageStatus::Rejected:
  case StageStatus::TargetError:
  case StageStatus::Corrupt:
    return false;
  }
  return false;
}

bool wasReset(const StageReply &Reply) {
  return Reply.Status_ == StageStatus::NoReply &&
         Reply.Failure_ == CallFailure::Reset;
}

} // namespace amaranth::coordination
