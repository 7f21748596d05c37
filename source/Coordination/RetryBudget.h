/// \file
/// Budget for retries and hedges.
#ifndef AMARANTH_COORDINATION_RETRYBUDGET_H
#define AMARANTH_COORDINATION_RETRYBUDGET_H

#include <mutex>

namespace amaranth::coordination {

/// Settings of RetryBudget.
struct RetryBudgetSettings {
  double Ratio_ = 0.05; ///< Extra attempts earned by each success.
  /// Largest number of unused extra attempts; lets a small fleet retry all the
  /// requests that were running at a killed target.
  double Burst_ = 20;
};

/// Limits extra attempts to a share of successes, so that retries and hedges
/// cannot multiply an overload. Thread-safe.
class RetryBudget final {
public:
  explicit RetryBudget(const RetryBudgetSettings &Settings);

  /// Adds Ratio_ extra attempts to the budget.
  void onSuccess();

  /// Takes one extra attempt; false when the budget is used up.
  bool tryTake();

  /// Takes one extra attempt if at least \p Reserve remain. Hedges leave a
  /// reserve, because retries keep requests from failing, while hedges only
  /// speed them up.
  bool tryTakeAboveReserve(double Reserve);

private:
  RetryBudgetSettings Settings_;
  std::mutex Mutex_;
  double Available_;
};

} // namespace amaranth::coordination

#endif
