/// \file
/// Error-budget accounting for one service and client account.
#ifndef AMARANTH_STATE_BURNSERIES_H
#define AMARANTH_STATE_BURNSERIES_H

#include "State/BurnReport.h"

namespace amaranth::state::detail {

/// A ring of time slots for one service and account. Not thread-safe.
class BurnSeries final {
public:
  explicit BurnSeries(const BurnReportSettings &Settings);

  void record(const FinishedRequest &Request, const Objective &Goal);
  /// Fills the figures of \p Row for the windows that end at \p Now, measured
  /// against the objective in the row.
  void summarize(SteadyTime Now, BurnRow &Row) const;
  /// True if no request finished within the long window before \p Now.
  bool isIdle(SteadyTime Now) const;

private:
  /// Error budget charged to one stage in one slot.
  struct StageCost {
    float MissedRequests_ = 0; ///< Sum of its fractions of missed requests.
    float ExcessMs_ = 0;       ///< Time over its share of the deadline.
  };
  struct Slot {
    std::int64_t Number_ = -1; ///< Slots since the epoch of the steady clock.
    std::uint32_t Accepted_ = 0;
    std::uint32_t Missed_ = 0;
    std::uint32_t Refused_ = 0;
    std::uint32_t ShortCount_ = 0;
    std::uint32_t SlowShortCount_ = 0; ///< Over the p99 objective.
    /// By index in Stages_; empty if no request was missed.
    std::vector<StageCost> Costs_;
  };
  struct StageUsage {
    std::string Name_;
    double AverageMs_ = 0; ///< Moving average over requests in time.
  };
  /// Time of one request in one stage.
  struct StageTime {
    std::size_t StageIndex_;
    double ElapsedMs_;
  };

  std::int64_t slotNumberAt(SteadyTime Time) const;
  /// Returns the slot for \p Number, cleared if it still holds an older one.
  Slot &findOrResetSlot(std::int64_t Number);
  /// Returns the index of the stage \p Name in Stages_.
  std::size_t findOrAddStage(const std::string &Name);
  std::vector<StageTime> stageTimesOf(const FinishedRequest &Request);
  /// Adds the times of a request answered in time to the stage averages.
  void updateAverages(const std::vector<StageTime> &Times);
  /// Divides the error budget of a missed request among its stages.
  void chargeStages(Slot &Current, const FinishedRequest &Request,
                    const std::vector<StageTime> &Times);
  /// Sums the \p SlotCount slots that end with the slot \p Last.
  BurnWindow sumWindow(std::int64_t Last, std::int64_t SlotCount,
                       const Objective &Goal) const;
  void summarizeStages(std::int64_t Last, BurnRow &Row) const;
  void summarizeHistory(std::int64_t Last, BurnRow &Row) const;
  bool isInWindow(const Slot &Candidate, std::int64_t Last,
                  std::int64_t SlotCount) const;

  BurnReportSettings Settings_;
  std::int64_t FirstSlotNumber_ = -1;
  std::int64_t LastSlotNumber_ = -1;
  std::vector<Slot> Slots_;
  std::vector<StageUsage> Stages_;
};

} // namespace amaranth::state::detail

#endif
