/// \file
/// The service-level burn report as data, JSON and a text table.
#ifndef AMARANTH_STATE_BURNSUMMARY_H
#define AMARANTH_STATE_BURNSUMMARY_H

#include "State/ServiceDocument.h"
#include "Support/Error.h"
#include "Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::state {

/// Requests that finished within one window.
struct BurnWindow {
  std::uint64_t Accepted_ = 0;
  std::uint64_t Missed_ = 0;  ///< Accepted, but late or failed.
  std::uint64_t Refused_ = 0; ///< Refused as not run; outside the objective.
  /// Share of accepted requests answered within their deadline; 1 if none was
  /// accepted.
  double Attainment_ = 1;
  /// Error budget spent per budget earned; above 1 the objective is missed if
  /// the rate lasts.
  double BurnRate_ = 0;
};

/// Short requests within the long window, against the p99 objective.
struct ShortBurn {
  std::uint64_t Answered_ = 0;
  std::uint64_t Over_ = 0; ///< Slower than the p99 objective.
  double BurnRate_ = 0;    ///< Share over the objective / 1 %.
};

/// How much of the error budget a stage spent in the long window.
struct StageBurn {
  std::string Stage_;
  double BudgetShare_ = 0;   ///< Part of the missed requests, 0 to 1.
  Milliseconds OverShare_{}; ///< Time over its share on missed requests.
};

/// One point of the plot: the requests of one time slot.
struct BurnPoint {
  std::uint64_t Accepted_ = 0;
  std::uint64_t Missed_ = 0;
};

/// One client account of one service, or all accounts of it.
struct BurnRow {
  std::string Service_;
  std::string Account_;
  Objective Objective_;
  BurnWindow Short_;
  BurnWindow Long_;
  ShortBurn ShortRequests_;
  /// Time until the error budget of the long window is spent at the short
  /// window's burn rate: 0 if it is spent already, nothing while some is left
  /// and none is being spent.
  std::optional<double> MinutesToExhaustion_;
  std::vector<StageBurn> Stages_;  ///< Largest spender first.
  std::vector<BurnPoint> History_; ///< Oldest first.
};

/// The burn report of one daemon.
struct BurnSummary {
  std::string Host_;
  Milliseconds CreatedAt_{}; ///< Since the Unix epoch.
  Seconds ShortWindow_{};
  Seconds LongWindow_{};
  Seconds Slot_{}; ///< Time between two points of a row's history.
  std::vector<BurnRow> Rows_;
};

std::string toJson(const BurnSummary &Summary);

/// Reads what toJson() wrote; CorruptData if it is anything else.
Result<BurnSummary> parseBurnSummary(std::string_view Json);

/// A table for terminals.
std::string toTable(const BurnSummary &Summary);

/// Time until exhaustion as the table and the page show it.
std::string describeExhaustion(const BurnRow &Row);

} // namespace amaranth::state

#endif
