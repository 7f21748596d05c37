#include "Coordination/Targets/WindowBudget.h"

namespace amaranth::coordination {

namespace {

void removeBefore(std::deque<SteadyTime> &Times, SteadyTime Oldest) {
  while (!Times.empty() && Times.front() < Oldest)
    Times.pop_front();
}

} // namespace

WindowBudget::WindowBudget(WindowBudgetSettings Settings)
    : Settings_(Settings) {}

WindowBudget::Counts &WindowBudget::countsInWindow(const std::string &Service,
                                                   SteadyTime Now) {
  Counts &Current = Services_[Service];
  removeBefore(Current.Requests_, Now - Settings_.Window_);
  removeBefore(Current.Repeats_, Now - Settings_.Window_);
  return Current;
}

void WindowBudget::onRequest(const std::string &Service, SteadyTime Now) {
  countsInWindow(Service, Now).Requests_.push_back(Now);
}

double WindowBudget::remainingRepeats(const std::string &Service,
                                      SteadyTime Now) {
  const Counts &Current = countsInWindow(Service, Now);
  double Allowed =
      Settings_.Ratio_ * static_cast<double>(Current.Requests_.size()) +
      Settings_.FixedAllowance_ / static_cast<double>(Hosts_);
  return Allowed * Settings_.UsableShare_ -
         static_cast<double>(Current.Repeats_.size());
}

bool WindowBudget::tryTake(const std::string &Service, SteadyTime Now,
                           std::size_t Count) {
  if (remainingRepeats(Service, Now) < static_cast<double>(Count))
    return false;
  Counts &Current = Services_[Service];
  Current.Repeats_.insert(Current.Repeats_.end(), Count, Now);
  return true;
}

} // namespace amaranth::coordination
