#include "Coordination/OutcomeText.h"

#include <utility>

namespace amaranth::coordination {

using protocol::OutcomeKind;
using protocol::RequestOutcome;

RequestOutcome makeNotRun(std::string Detail) {
  RequestOutcome Outcome;
  Outcome.Kind_ = OutcomeKind::NotRun;
  Outcome.Detail_ = std::move(Detail);
  return Outcome;
}

RequestOutcome makeUnknown(std::string Detail, Milliseconds RetryAfter) {
  RequestOutcome Outcome;
  Outcome.Kind_ = OutcomeKind::Unknown;
  Outcome.Detail_ = std::move(Detail);
  Outcome.RetryAfter_ = RetryAfter;
  return Outcome;
}

RequestOutcome makeConflict() {
  RequestOutcome Outcome;
  Outcome.Kind_ = OutcomeKind::Unknown;
  Outcome.Status_ = StatusConflict;
  Outcome.Detail_ = "the key was used with different content; this request "
                    "was not run";
  return Outcome;
}

} // namespace amaranth::coordination
