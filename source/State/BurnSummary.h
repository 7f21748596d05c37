/// \file
/// The burn report as data, JSON and a text table. Burn is the speed at which a
/// service uses up its error budget.
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
  std::uint64_t Missed_ = 0; ///< Accepted, but late or failed.
  /// Refused without being run; not counted in the objective.
  std::uint64_t Refused_ = 0;
  /// Share of accepted requests answered within their deadline; 1 if none was
  /// accepted.
  double Attainment_ = 1;
  /// Share of missed requests / share that the objective allows. The objective
  /// is missed if the rate stays above 1.
  double BurnRate_ = 0;
};

/// Short requests within the long window, measured against the p99 objective.
struct ShortRequestBurn {
  std::uint64_t Answered_ = 0;
  std::uint64_t OverObjective_ = 0; ///< Slower than the p99 objective.
  double BurnRate_ = 0;             ///< Share of slower ones / 1 %.
};

/// How much of the error budget a stage spent in the long window.
struct StageBurn {
  std::string Stage_;
  double BudgetShare_ = 0; ///< Share of the error budget spent, 0 to 1.
  /// Time by which it exceeded its share of the deadline, summed over the
  /// missed requests.
  Milliseconds TimeOverShare_{};
};

/// One point of the plot: the requests of one time slot.
struct BurnPoint {
  std::uint64_t Accepted_ = 0;
  std::uint64_t Missed_ = 0;
};

/// Figures of one client account of a service, or of all its accounts together.
struct BurnRow {
  std::string Service_;
  std::string Account_;
  Objective Objective_;
  BurnWindow ShortWindowBurn_;
  BurnWindow LongWindowBurn_;
  ShortRequestBurn ShortRequests_;
  /// Time until the error budget of the long window is spent at the burn rate
  /// of the short window: 0 if it is spent already, empty if some is left and
  /// the burn rate is 0.
  std::optional<double> MinutesToExhaustion_;
  std::vector<StageBurn> Stages_;  ///< By budget share, largest first.
  std::vector<BurnPoint> History_; ///< Oldest first.
};

/// The burn report of one daemon.
struct BurnSummary {
  std::string Host_;
  Milliseconds CreatedAt_{}; ///< Since the Unix epoch.
  Seconds ShortWindow_{};
  Seconds LongWindow_{};
  Seconds SlotLength_{}; ///< Time between two points of a row's history.
  std::vector<BurnRow> Rows_;
};

std::string toJson(const BurnSummary &Summary);

/// Parses the output of toJson(). Fails with CorruptData on any other text.
Result<BurnSummary> parseBurnSummary(std::string_view Json);

/// Formats \p Summary as a table for terminals.
std::string toTable(const BurnSummary &Summary);

/// Formats the time until the error budget is spent, for the table and the
/// page.
std::string describeExhaustion(const BurnRow &Row);

} // namespace amaranth::state

#endif
