#include "Coordination/Targets/WindowBudget.h"

namespace amaranth::coordination {

namespace {

void dropBefore(std::deque<SteadyTime> &Times, SteadyTime Oldest) {
  while (!Times.empty() && Times.front() < Oldest)
    Times.pop_front();
}

} // namespace

WindowBudget::WindowBudget(WindowBudgetSettings Settings)
    : Settings_(Settings) {}

WindowBudget::Counts &WindowBudget::trimmed(const std::string &Service,
                                            SteadyTime Now) {
  Counts &Of = Services_[Service];
  dropBefore(Of.Requests_, Now - Settings_.Window_);
  dropBefore(Of.Repeats_, Now - Settings_.Window_);
  return Of;
}

void WindowBudget::onRequest(const std::string &Service, SteadyTime Now) {
  trimmed(Service, Now).Requests_.push_back(Now);
}

double WindowBudget::left(const std::string &Service, SteadyTime Now) {
  const Counts &Of = trimmed(Service, Now);
  double Allowed = Settings_.Ratio_ * static_cast<double>(Of.Requests_.size()) +
                   Settings_.Extra_ / static_cast<double>(Hosts_);
  return Allowed * Settings_.Share_ - static_cast<double>(Of.Repeats_.size());
}

bool WindowBudget::tryTake(const std::string &Service, SteadyTime Now,
                           std::size_t Count) {
  if (left(Service, Now) < static_cast<double>(Count))
    return false;
  Counts &Of = Services_[Service];
  Of.Repeats_.insert(Of.Repeats_.end(), Count, Now);
  return true;
}

} // namespace amaranth::coordination
