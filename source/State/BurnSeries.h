/// \file
/// Burn accounting of one service and client account.
#ifndef AMARANTH_STATE_BURNSERIES_H
#define AMARANTH_STATE_BURNSERIES_H

#include "State/BurnReport.h"

namespace amaranth::state::detail {

/// A ring of time slots for one service and account. Not thread-safe.
class BurnSeries final {
public:
  explicit BurnSeries(const BurnReportSettings &Settings);

  void record(const FinishedRequest &Request, const Objective &Goal);
  /// Fills the numbers of \p Row at \p Now against its objective.
  void summarize(SteadyTime Now, BurnRow &Row) const;
  /// No request finished within the long window before \p Now.
  bool isIdle(SteadyTime Now) const;

private:
  /// What one stage spent in one slot.
  struct StageCost {
    float Budget_ = 0; ///< Missed requests.
    float OverMs_ = 0;
  };
  struct Slot {
    std::int64_t Number_ = -1; ///< Slots since the clock's epoch.
    std::uint32_t Accepted_ = 0;
    std::uint32_t Missed_ = 0;
    std::uint32_t Refused_ = 0;
    std::uint32_t Short_ = 0;
    std::uint32_t ShortOver_ = 0;
    std::vector<StageCost> Costs_; ///< By stage; empty without a miss.
  };
  struct StageUsage {
    std::string Name_;
    double UsualMs_ = 0; ///< Moving average over requests in time.
  };
  /// Time of one request in one stage.
  struct StageTime {
    std::size_t Stage_;
    double TakenMs_;
  };

  std::int64_t numberAt(SteadyTime Time) const;
  Slot &slotAt(std::int64_t Number);
  std::size_t stageIndex(const std::string &Name);
  std::vector<StageTime> timesOf(const FinishedRequest &Request);
  void learn(const std::vector<StageTime> &Times);
  void charge(Slot &Current, const FinishedRequest &Request,
              const std::vector<StageTime> &Times);
  BurnWindow windowUntil(std::int64_t Last, std::int64_t Slots,
                         const Objective &Goal) const;
  void summarizeStages(std::int64_t Last, BurnRow &Row) const;
  void summarizeHistory(std::int64_t Last, BurnRow &Row) const;
  bool isWithin(const Slot &Candidate, std::int64_t Last,
                std::int64_t Slots) const;

  BurnReportSettings Settings_;
  std::int64_t FirstNumber_ = -1;
  std::int64_t LastNumber_ = -1;
  std::vector<Slot> Slots_;
  std::vector<StageUsage> Stages_;
};

} // namespace amaranth::state::detail

#endif
