/// \file
/// Judging outcomes of orders by what the targets ran.
#ifndef AMARANTH_TESTS_INTEGRATION_EXECUTIONCHECK_H
#define AMARANTH_TESTS_INTEGRATION_EXECUTIONCHECK_H

#include "Integration/OrderCaller.h"
#include "Integration/StandinProcess.h"

#include <map>
#include <string>
#include <vector>

namespace amaranth::integration {

/// What the callers of one order were told.
struct OrderHistory {
  std::string Id_;
  bool HasTicket_ = true;
  std::vector<OrderAnswer> Answers_; ///< In the order of their arrival.

  /// "completed", "not_run", "failed" or "unknown".
  std::string outcome() const;
  bool hasNotRunAnswer() const;
};

/// Faults and outcomes of a set of orders.
struct OrderCheckResult {
  std::map<std::string, int> Outcomes_;
  int Duplicated_ = 0;              ///< Orders that ran more than once.
  int NotRunButExecuted_ = 0;       ///< Answered not_run, but ran.
  int CompletedButNotExecuted_ = 0; ///< Answered completed, but did not run.
  int Contradictory_ = 0; ///< Two different final answers, or another's result.

  int violations() const {
    return Duplicated_ + NotRunButExecuted_ + CompletedButNotExecuted_ +
           Contradictory_;
  }
};

/// Executions by order id, from the record of the service stand-ins.
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
