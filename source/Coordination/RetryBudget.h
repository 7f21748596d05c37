/// \file
/// Budget for retries and hedges.
#ifndef AMARANTH_COORDINATION_RETRYBUDGET_H
#define AMARANTH_COORDINATION_RETRYBUDGET_H

#include <mutex>

namespace amaranth::coordination {

/// Settings of RetryBudget.
struct RetryBudgetSettings {
  double Ratio_ = 0.05; ///< Extra attempts earned by each success.
  /// Extra attempts available at once; lets a small fleet retry all the
  /// requests that one killed target held.
  double Burst_ = 20;
};

/// Limits extra attempts to a share of successes, so that retries and hedges
/// cannot multiply an overload. Thread-safe.
class RetryBudget final {
public:
  explicit RetryBudget(const RetryBudgetSettings &Settings);

  /// Earns a share of an extra attempt.
  void onSuccess();

  /// Takes one extra attempt; false when the budget is used up.
  bool tryTake();

  /// Takes one extra attempt if \p Reserve would remain. Hedges leave a reserve
  /// because retries keep requests from failing and hedges only speed them up.
  bool tryTakeKeeping(double Reserve);

private:
  RetryBudgetSettings Settings_;
  std::mutex Mutex_;
  double Available_;
};

} // namespace amaranth::coordination

#endif
