/// \file
/// Results of a load run, as text and JSON.
#ifndef AMARANTH_CONTROL_BENCHREPORT_H
#define AMARANTH_CONTROL_BENCHREPORT_H

#include "Control/BenchTally.h"

#include <nlohmann/json.hpp>

namespace amaranth::control {

/// A goal with the value that was measured.
struct GoalResult {
  const BenchGoal *Goal_ = nullptr;
  std::optional<double> Value_; ///< Nothing if it could not be measured.
  bool Met_ = false;
};

/// Tallies of one or more runs of a scenario against one fleet, in total and by
/// phase, kind and account. The scenario must outlive it.
class BenchReport final {
public:
  /// \p Capacity is in requests/s, 0 if it is not known.
  BenchReport(const BenchScenario &Scenario, double Capacity);

  void add(const BenchRecord &Record);
  void merge(const BenchReport &Other);
  /// Counts a run of \p Planned requests, so that rates are per run and a
  /// request without an end is noticed.
  void finishRun(std::size_t Planned);

  const BenchTally &total() const { return Total_; }
  const BenchTally *phase(const std::string &Name) const;
  /// Answers in time per second; \p Phase empty for the whole run.
  double goodput(const std::string &Phase) const;
  /// Work answered in time as a share of the capacity; nothing if the capacity
  /// is not known. Work is counted in output tokens if the mix has any: under
  /// overload the cheap calls of a mix, which need no engine, would otherwise
  /// raise the share above 1 whatever became of the rest.
  std::optional<double> goodputShare(const std::string &Phase) const;
  /// Latenesses of the generator in milliseconds.
  const std::vector<double> &lateness() const { return LatenessMs_; }
  /// The generator could not keep its schedule; the figures are worthless.
  bool saturated() const;

  std::vector<GoalResult> goals() const;
  /// Every planned request has exactly one outcome, in total and over the
  /// phases, kinds and accounts.
  bool addsUp() const;

  std::string toText() const;
  nlohmann::json toJson() const;

private:
  using Group = std::map<std::string, BenchTally>;

  std::optional<double> measure(const BenchGoal &Goal,
                                const std::string &Phase) const;
  const BenchTally *tallyOf(const BenchGoal &Goal,
                            const std::string &Phase) const;
  GoalResult evaluate(const BenchGoal &Goal) const;
  std::int64_t runs() const { return std::max<std::int64_t>(1, Runs_); }
  /// Seconds of a phase, or of all, over all runs.
  double elapsed(const std::string &Phase) const;
  std::string outcomeTable() const;
  std::string stageTable() const;
  std::string refusalTable() const;
  std::string goalTable() const;

  const BenchScenario *Scenario_;
  double Capacity_;
  std::int64_t Runs_ = 0;
  std::size_t Planned_ = 0;
  BenchTally Total_;
  Group Phases_;
  Group Kinds_;
  Group Accounts_;
  std::map<std::pair<std::string, std::string>, BenchTally> PhaseAccounts_;
  std::vector<double> LatenessMs_;
};

/// Ratios of the main figures of two reports, as text.
std::string compareReports(const BenchReport &Policy,
                           const BenchReport &Baseline);

} // namespace amaranth::control

#endif
