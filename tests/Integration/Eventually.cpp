#include "Integration/Eventually.h"

#include <thread>

namespace amaranth::integration {

namespace {

constexpr Milliseconds PollPeriod{3};

} // namespace

bool eventually(const std::function<bool()> &Condition, Milliseconds Limit) {
  SteadyTime Deadline = SteadyClock::now() + Limit;
  while (!Condition()) {
    if (SteadyClock::now() >= Deadline)
      return false;
    std::this_thread::sleep_for(PollPeriod);
  }
  return true;
}

} // namespace amaranth::integration
