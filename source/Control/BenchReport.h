/// \file
/// Results of load runs, as text and JSON.
#ifndef AMARANTH_CONTROL_BENCHREPORT_H
#define AMARANTH_CONTROL_BENCHREPORT_H

#include "Control/BenchTally.h"

#include <nlohmann/json.hpp>

namespace amaranth::control {

/// A goal with its measured value.
struct GoalResult {
  const BenchGoal *Goal_ = nullptr;
  std::optional<double> Value_; ///< Nothing if nothing was measured.
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
  /// Ends a run of \p Planned requests. Rates are divided by the number of
  /// runs, and addsUp() compares the outcomes with the planned requests.
  void finishRun(std::size_t Planned);

  const BenchTally &total() const { return Total_; }
  const BenchTally *phaseTally(const std::string &Name) const;
  /// Answers in time per second; of the whole run if \p Phase is empty.
  double goodput(const std::string &Phase) const;
  /// Work answered in time as a share of the capacity; nothing if the capacity
  /// is not known. Work is counted in output tokens if the mix has any. If it
  /// were counted in requests, the cheap calls of a mix, which need no engine,
  /// could raise the share above 1 under overload even if all others failed.
  std::optional<double> goodputShare(const std::string &Phase) const;
  /// How late each request was sent, in milliseconds.
  const std::vector<double> &latenessMs() const { return LatenessMs_; }
  /// Whether the load generator fell behind its schedule, which makes the
  /// figures invalid.
  bool saturated() const;

  std::vector<GoalResult> goals() const;
  /// Whether every planned request has exactly one outcome, in total and summed
  /// over the phases, the kinds and the accounts.
  bool addsUp() const;

  std::string toText() const;
  nlohmann::json toJson() const;

private:
  using TallyMap = std::map<std::string, BenchTally>;

  std::optional<double> measure(const BenchGoal &Goal,
                                const std::string &Phase) const;
  const BenchTally *findTally(const BenchGoal &Goal,
                              const std::string &Phase) const;
  GoalResult evaluate(const BenchGoal &Goal) const;
  std::int64_t runCount() const { return std::max<std::int64_t>(1, Runs_); }
  /// Duration of a phase, or of all if \p PhaseName is empty, times the runs.
  double measuredSeconds(const std::string &PhaseName) const;
  std::string outcomeTable() const;
  std::string stageTable() const;
  std::string refusalTable() const;
  std::string goalTable() const;

  const BenchScenario *Scenario_;
  double Capacity_;
  std::int64_t Runs_ = 0;
  std::size_t PlannedRequests_ = 0;
  BenchTally Total_;
  TallyMap Phases_;
  TallyMap Kinds_;
  TallyMap Accounts_;
  std::map<std::pair<std::string, std::string>, BenchTally> PhaseAccounts_;
  std::vector<double> LatenessMs_;
};

/// The main figures of two reports and their ratios, as text.
std::string compareReports(const BenchReport &Policy,
                           const BenchReport &Baseline);

} // namespace amaranth::control

#endif
