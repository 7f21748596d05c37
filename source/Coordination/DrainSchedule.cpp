#include "Coordination/DrainSchedule.h"

#include <algorithm>

namespace amaranth::coordination {

void DrainSchedule::begin(SteadyTime Now) {
  if (!Begin_)
    Begin_ = Now;
}

bool DrainSchedule::acceptsConnections(SteadyTime Now) const {
  return !Begin_ ||
         Now - *Begin_ < std::min(Settings_.AcceptTime_, Settings_.Grace_ / 2);
}

bool DrainSchedule::acceptsRequest(SteadyTime Now, SteadyTime Deadline) const {
  return acceptsConnections(Now) || Deadline <= endRequestsAt();
}

SteadyTime DrainSchedule::endRequestsAt() const {
  return beforeEndOfGrace(Settings_.AnswerMargin_);
}

SteadyTime DrainSchedule::stopAt() const {
  return beforeEndOfGrace(Settings_.StopMargin_);
}

SteadyTime DrainSchedule::beforeEndOfGrace(Milliseconds Margin) const {
  if (!Begin_)
    return SteadyTime::max();
  return *Begin_ + std::max(Milliseconds(0), Settings_.Grace_ - Margin);
}

} // namespace amaranth::coordination
