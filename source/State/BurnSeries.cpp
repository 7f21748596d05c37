#include "State/BurnSeries.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace amaranth::state::detail {

namespace {

constexpr std::size_t MaxStages = 24;
/// Stages beyond MaxStages are counted together under this name. A series keeps
/// the old names of renamed stages, so that it can reach the limit.
constexpr const char *OtherStage = "(other)";
constexpr const char *OutsideStages = "(outside stages)";
/// Weight of a new request in the moving averages of stage times.
constexpr double AverageWeight = 1.0 / 32;
/// Share of short requests that may exceed the p99 objective.
constexpr double ShortErrorBudget = 0.01;

double toMs(Microseconds Duration) {
  return static_cast<double>(Duration.count()) / 1e3;
}

double ratioOrZero(double Numerator, double Denominator) {
  return Denominator > 0 ? Numerator / Denominator : 0;
}

} // namespace

BurnSeries::BurnSeries(const BurnReportSettings &Settings)
    : Settings_(Settings), Slots_(static_cast<std::size_t>(
                               Settings.LongWindow_ / Settings.SlotLength_)) {
  assert(Settings.SlotLength_ <= Settings.ShortWindow_ &&
         Settings.ShortWindow_ <= Settings.LongWindow_);
}

std::int64_t BurnSeries::slotNumberAt(SteadyTime Time) const {
  return Time.time_since_epoch() / Settings_.SlotLength_;
}

BurnSeries::Slot &BurnSeries::findOrResetSlot(std::int64_t Number) {
  auto Size = static_cast<std::int64_t>(Slots_.size());
  Slot &Place = Slots_[static_cast<std::size_t>(Number % Size)];
  // A request that finished before the oldest slot in the ring is counted in
  // the newer slot at its place.
  if (Place.Number_ < Number) {
    Place = Slot();
    Place.Number_ = Number;
  }
  return Place;
}

std::size_t BurnSeries::findOrAddStage(const std::string &Name) {
  auto Found =
      std::find_if(Stages_.begin(), Stages_.end(),
                   [&](const StageUsage &S) { return S.Name_ == Name; });
  if (Found != Stages_.end())
    return static_cast<std::size_t>(Found - Stages_.begin());
  if (Stages_.size() + 1 == MaxStages && Name != OtherStage)
    return findOrAddStage(OtherStage);
  if (Stages_.size() == MaxStages)
    return MaxStages - 1;
  Stages_.push_back({Name});
  return Stages_.size() - 1;
}

std::vector<BurnSeries::StageTime>
BurnSeries::stageTimesOf(const FinishedRequest &Request) {
  std::vector<StageTime> Times;
  double OutsideMs = toMs(Request.Elapsed_);
  for (const StageSpan &Span : Request.Stages_) {
    Times.push_back({findOrAddStage(Span.Stage_), toMs(Span.Elapsed_)});
    OutsideMs -= toMs(Span.Elapsed_);
  }
  Times.push_back({findOrAddStage(OutsideStages), std::max(OutsideMs, 0.0)});
  return Times;
}

void BurnSeries::record(const FinishedRequest &Request, const Objective &Goal) {
  std::int64_t Number = slotNumberAt(Request.FinishedAt_);
  Slot &Current = findOrResetSlot(Number);
  if (FirstSlotNumber_ < 0)
    FirstSlotNumber_ = Number;
  LastSlotNumber_ = std::max(LastSlotNumber_, Number);
  if (Request.Result_ == RequestResult::Refused) {
    ++Current.Refused_;
    return;
  }
  ++Current.Accepted_;
  bool IsInTime = Request.Result_ == RequestResult::InTime;
  if (Request.Short_) {
    ++Current.ShortCount_;
    if (!IsInTime || Request.Elapsed_ > Goal.ShortP99_)
      ++Current.SlowShortCount_;
  }
  std::vector<StageTime> Times = stageTimesOf(Request);
  if (IsInTime) {
    updateAverages(Times);
    return;
  }
  ++Current.Missed_;
  chargeStages(Current, Request, Times);
}

void BurnSeries::updateAverages(const std::vector<StageTime> &Times) {
  for (const StageTime &Time : Times) {
    double &AverageMs = Stages_[Time.StageIndex_].AverageMs_;
    AverageMs += AverageMs == 0 ? Time.ElapsedMs_
                                : (Time.ElapsedMs_ - AverageMs) * AverageWeight;
  }
}

void BurnSeries::chargeStages(Slot &Current, const FinishedRequest &Request,
                              const std::vector<StageTime> &Times) {
  double AverageSumMs = 0;
  for (const StageTime &Time : Times)
    AverageSumMs += Stages_[Time.StageIndex_].AverageMs_;
  auto DeadlineMs = static_cast<double>(Request.Deadline_.count());
  std::vector<double> ExcessMs;
  for (const StageTime &Time : Times) {
    // Until a request was answered in time, all stages get equal shares.
    double Share = AverageSumMs > 0
                       ? Stages_[Time.StageIndex_].AverageMs_ / AverageSumMs
                       : 1.0 / static_cast<double>(Times.size());
    ExcessMs.push_back(std::max(0.0, Time.ElapsedMs_ - Share * DeadlineMs));
  }
  double TotalExcessMs = std::accumulate(ExcessMs.begin(), ExcessMs.end(), 0.0);
  bool HasFailedStage = !Request.FailedStage_.empty();
  std::size_t ChargedStage =
      HasFailedStage ? findOrAddStage(Request.FailedStage_) : 0;
  // If no stage exceeded its share, the time outside all stages is charged.
  if (!HasFailedStage && TotalExcessMs == 0)
    ChargedStage = Times.back().StageIndex_;
  Current.Costs_.resize(Stages_.size());
  for (std::size_t I = 0; I < Times.size(); ++I) {
    StageCost &Cost = Current.Costs_[Times[I].StageIndex_];
    Cost.ExcessMs_ += static_cast<float>(ExcessMs[I]);
    if (!HasFailedStage)
      Cost.MissedRequests_ +=
          static_cast<float>(ratioOrZero(ExcessMs[I], TotalExcessMs));
  }
  if (HasFailedStage || TotalExcessMs == 0)
    Current.Costs_[ChargedStage].MissedRequests_ += 1;
}

bool BurnSeries::isInWindow(const Slot &Candidate, std::int64_t Last,
                            std::int64_t SlotCount) const {
  return Candidate.Number_ > Last - SlotCount && Candidate.Number_ <= Last;
}

BurnWindow BurnSeries::sumWindow(std::int64_t Last, std::int64_t SlotCount,
                                 const Objective &Goal) const {
  BurnWindow Window;
  for (const Slot &Candidate : Slots_) {
    if (!isInWindow(Candidate, Last, SlotCount))
      continue;
    Window.Accepted_ += Candidate.Accepted_;
    Window.Missed_ += Candidate.Missed_;
    Window.Refused_ += Candidate.Refused_;
  }
  double MissedShare = ratioOrZero(static_cast<double>(Window.Missed_),
                                   static_cast<double>(Window.Accepted_));
  Window.Attainment_ = 1 - MissedShare;
  Window.BurnRate_ = MissedShare / (1 - Goal.Attainment_);
  return Window;
}

void BurnSeries::summarizeStages(std::int64_t Last, BurnRow &Row) const {
  std::vector<StageCost> StageTotals(Stages_.size());
  for (const Slot &Candidate : Slots_) {
    if (!isInWindow(Candidate, Last, static_cast<std::int64_t>(Slots_.size())))
      continue;
    for (std::size_t I = 0; I < Candidate.Costs_.size(); ++I) {
      StageTotals[I].MissedRequests_ += Candidate.Costs_[I].MissedRequests_;
      StageTotals[I].ExcessMs_ += Candidate.Costs_[I].ExcessMs_;
    }
  }
  for (std::size_t I = 0; I < StageTotals.size(); ++I) {
    if (StageTotals[I].MissedRequests_ <= 0)
      continue;
    StageBurn Stage;
    Stage.Stage_ = Stages_[I].Name_;
    Stage.BudgetShare_ =
        ratioOrZero(static_cast<double>(StageTotals[I].MissedRequests_),
                    static_cast<double>(Row.LongWindowBurn_.Missed_));
    Stage.TimeOverShare_ = Milliseconds{std::llround(StageTotals[I].ExcessMs_)};
    Row.Stages_.push_back(std::move(Stage));
  }
  std::sort(Row.Stages_.begin(), Row.Stages_.end(),
            [](const StageBurn &Left, const StageBurn &Right) {
              return Left.BudgetShare_ > Right.BudgetShare_;
            });
}

void BurnSeries::summarizeHistory(std::int64_t Last, BurnRow &Row) const {
  auto Size = static_cast<std::int64_t>(Slots_.size());
  for (std::int64_t Number = Last - Size + 1; Number <= Last; ++Number) {
    if (Number < 0)
      continue;
    const Slot &Candidate = Slots_[static_cast<std::size_t>(Number % Size)];
    bool IsCurrent = Candidate.Number_ == Number;
    Row.History_.push_back(
        IsCurrent ? BurnPoint{Candidate.Accepted_, Candidate.Missed_}
                  : BurnPoint{});
    if (!IsCurrent)
      continue;
    Row.ShortRequests_.Answered_ += Candidate.ShortCount_;
    Row.ShortRequests_.OverObjective_ += Candidate.SlowShortCount_;
  }
  Row.ShortRequests_.BurnRate_ =
      ratioOrZero(static_cast<double>(Row.ShortRequests_.OverObjective_),
                  static_cast<double>(Row.ShortRequests_.Answered_)) /
      ShortErrorBudget;
}

void BurnSeries::summarize(SteadyTime Now, BurnRow &Row) const {
  std::int64_t Last = std::max(slotNumberAt(Now), LastSlotNumber_);
  auto LongSlots = static_cast<std::int64_t>(Slots_.size());
  Row.LongWindowBurn_ = sumWindow(Last, LongSlots, Row.Objective_);
  Row.ShortWindowBurn_ = sumWindow(
      Last, Settings_.ShortWindow_ / Settings_.SlotLength_, Row.Objective_);
  summarizeStages(Last, Row);
  summarizeHistory(Last, Row);
  // In a process younger than the window, the burn rate applies only to the
  // slots since the first request.
  std::int64_t CoveredSlots = std::min(Last - FirstSlotNumber_ + 1, LongSlots);
  double SpentShare = Row.LongWindowBurn_.BurnRate_ *
                      static_cast<double>(CoveredSlots) /
                      static_cast<double>(LongSlots);
  double WindowMinutes =
      std::chrono::duration<double, std::ratio<60>>(Settings_.LongWindow_)
          .count();
  if (SpentShare >= 1)
    Row.MinutesToExhaustion_ = 0;
  else if (Row.ShortWindowBurn_.BurnRate_ > 0)
    Row.MinutesToExhaustion_ =
        (1 - SpentShare) * WindowMinutes / Row.ShortWindowBurn_.BurnRate_;
}

bool BurnSeries::isIdle(SteadyTime Now) const {
  return slotNumberAt(Now) - LastSlotNumber_ >=
         static_cast<std::int64_t>(Slots_.size());
}

} // namespace amaranth::state::detail
