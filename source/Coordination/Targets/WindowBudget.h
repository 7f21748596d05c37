/// \file
/// This host's part of the retry budget that all hosts share.
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
  double Extra_ = 56;  ///< Repeats allowed besides, of all hosts together.
  Milliseconds Window_{10000};
  /// Part of the allowance that is spent; the rest covers arrivals that this
  /// host could not count, such as those of a host that was killed.
  double Share_ = 0.75;
};

/// Counts requests and repeats at each service in a sliding window. The part
/// that grows with the requests is each host's own; the fixed part is divided
/// by the number of hosts.
class WindowBudget final {
public:
  explicit WindowBudget(WindowBudgetSettings Settings);

  void setHosts(std::size_t Hosts) { Hosts_ = Hosts > 0 ? Hosts : 1; }
  void onRequest(const std::string &Service, SteadyTime Now);
  /// Takes \p Count repeats; false, and takes nothing, if they exceed the
  /// allowance.
  bool tryTake(const std::string &Service, SteadyTime Now,
               std::size_t Count = 1);
  /// Repeats left in this window.
  double left(const std::string &Service, SteadyTime Now);

private:
  struct Counts {
    std::deque<SteadyTime> Requests_;
    std::deque<SteadyTime> Repeats_;
  };

  Counts &trimmed(const std::string &Service, SteadyTime Now);

  WindowBudgetSettings Settings_;
  std::size_t Hosts_ = 1;
  std::map<std::string, Counts> Services_;
};

} // namespace amaranth::coordination

#endif
