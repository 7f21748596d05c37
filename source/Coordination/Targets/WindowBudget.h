/// \file
/// This host's part of the retry budget of the fleet.
#ifndef AMARANTH_COORDINATION_TARGETS_WINDOWBUDGET_H
#define AMARANTH_COORDINATION_TARGETS_WINDOWBUDGET_H

#include "Support/Time.h"

#include <deque>
#include <map>
#include <string>

namespace amaranth::coordination {

/// Settings of WindowBudget.
struct WindowBudgetSettings {
  double Ratio_ = 0.2; ///< Repeats allowed for each request.
  /// Further repeats allowed, for all hosts together.
  double FixedAllowance_ = 56;
  Milliseconds Window_{10000};
  /// Part of the allowance that may be used. The rest covers arrivals at the
  /// service that this host could not count, such as those of a host that was
  /// killed.
  double UsableShare_ = 0.75;
};

/// Counts requests and repeats of each service in a sliding window. Each host
/// has the part of the allowance that grows with its own requests, and an equal
/// share of the fixed part.
class WindowBudget final {
public:
  explicit WindowBudget(WindowBudgetSettings Settings);

  void setHosts(std::size_t Hosts) { Hosts_ = Hosts > 0 ? Hosts : 1; }
  void onRequest(const std::string &Service, SteadyTime Now);
  /// Takes \p Count repeats from the allowance. If fewer are left, takes none
  /// and returns false.
  bool tryTake(const std::string &Service, SteadyTime Now,
               std::size_t Count = 1);
  /// Number of repeats left in the current window.
  double remainingRepeats(const std::string &Service, SteadyTime Now);

private:
  struct Counts {
    std::deque<SteadyTime> Requests_;
    std::deque<SteadyTime> Repeats_;
  };

  Counts &countsInWindow(const std::string &Service, SteadyTime Now);

  WindowBudgetSettings Settings_;
  std::size_t Hosts_ = 1;
  std::map<std::string, Counts> Services_;
};

} // namespace amaranth::coordination

#endif
