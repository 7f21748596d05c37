/// \file
/// Compares the outcomes reported for orders with the executions of targets.
#ifndef AMARANTH_TESTS_INTEGRATION_EXECUTIONCHECK_H
#define AMARANTH_TESTS_INTEGRATION_EXECUTIONCHECK_H

#include "Integration/OrderCaller.h"
#include "Integration/StandinProcess.h"

#include <map>
#include <string>
#include <vector>

namespace amaranth::integration {

/// All answers that the callers of one order received.
struct OrderHistory {
  std::string Id_;
  bool HasTicket_ = true;
  std::vector<OrderAnswer> Answers_; ///< By time of arrival.

  /// The outcome that callers may rely on: "completed", "not_run", "failed" or
  /// "unknown".
  std::string outcome() const;
  /// True if a caller relies on the order not having run: an answer was
  /// not_run, or, without a ticket, the outcome is.
  bool hasNotRunAnswer() const;
};

/// Outcomes of a set of orders, and violations of the at-most-once guarantee.
struct OrderCheckResult {
  std::map<std::string, int> Outcomes_;
  int Duplicated_ = 0;              ///< Executed more than once.
  int NotRunButExecuted_ = 0;       ///< Answered not_run, but executed.
  int CompletedButNotExecuted_ = 0; ///< Answered completed, never executed.
  /// Different final answers, or the result of another order.
  int Contradictory_ = 0;

  int violations() const {
    return Duplicated_ + NotRunButExecuted_ + CompletedButNotExecuted_ +
           Contradictory_;
  }
};

/// Number of executions by order id, as the service stand-ins recorded them.
class ExecutionRecord final {
public:
  /// Reads GET /standin/executions of the first \p Instances instances.
  ExecutionRecord(StandinProcess &Services, std::size_t Instances);

  int count(const std::string &OrderId) const;
  int total() const;
  OrderCheckResult check(const std::vector<OrderHistory> &Orders) const;

private:
  std::map<std::string, int> ExecutionsById_;
};

} // namespace amaranth::integration

#endif
