#include "Coordination/RetryBudget.h"

#include <algorithm>

namespace amaranth::coordination {

RetryBudget::RetryBudget(const RetryBudgetSettings &Settings)
    : Settings_(Settings), Available_(Settings.Burst_) {}

void RetryBudget::onSuccess() {
  std::lock_guard Lock(Mutex_);
  Available_ = std::min(Settings_.Burst_, Available_ + Settings_.Ratio_);
}

bool RetryBudget::tryTake() { return tryTakeAboveReserve(0); }

bool RetryBudget::tryTakeAboveReserve(double Reserve) {
  std::lock_guard Lock(Mutex_);
  if (Available_ < 1 + Reserve)
    return false;
  Available_ -= 1;
  return true;
}

} // namespace amaranth::coordination
