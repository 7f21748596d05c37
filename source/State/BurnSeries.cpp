#include "State/BurnSeries.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace amaranth::state::detail {

namespace {

constexpr std::size_t MaxStages = 24;
/// Stages beyond the limit, after many renamings, are counted together.
constexpr const char *OtherStage = "(other)";
constexpr const char *OutsideStages = "(outside stages)";
/// Weight of a new request in the usual stage times.
constexpr double LearningRate = 1.0 / 32;
/// Share of short requests that may exceed the p99 objective.
constexpr double ShortBudget = 0.01;

double toMs(Microseconds Duration) {
  return static_cast<double>(Duration.count()) / 1e3;
}

double divide(double Part, double Whole) {
  return Whole > 0 ? Part / Whole : 0;
}

} // namespace

BurnSeries::BurnSeries(const BurnReportSettings &Settings)
    : Settings_(Settings),
      Slots_(static_cast<std::size_t>(Settings.LongWindow_ / Settings.Slot_)) {
  assert(Settings.Slot_ <= Settings.ShortWindow_ &&
         Settings.ShortWindow_ <= Settings.LongWindow_);
}

std::int64_t BurnSeries::numberAt(SteadyTime Time) const {
  return Time.time_since_epoch() / Settings_.Slot_;
}

BurnSeries::Slot &BurnSeries::slotAt(std::int64_t Number) {
  auto Size = static_cast<std::int64_t>(Slots_.size());
  Slot &Found = Slots_[static_cast<std::size_t>(Number % Size)];
  // A record older than the ring is counted in the slot that replaced its own.
  if (Found.Number_ < Number) {
    Found = Slot();
    Found.Number_ = Number;
  }
  return Found;
}

std::size_t BurnSeries::stageIndex(const std::string &Name) {
  auto Found =
      std::find_if(Stages_.begin(), Stages_.end(),
                   [&](const StageUsage &S) { return S.Name_ == Name; });
  if (Found != Stages_.end())
    return static_cast<std::size_t>(Found - Stages_.begin());
  if (Stages_.size() + 1 == MaxStages && Name != OtherStage)
    return stageIndex(OtherStage);
  if (Stages_.size() == MaxStages)
    return MaxStages - 1;
  Stages_.push_back({Name});
  return Stages_.size() - 1;
}

std::vector<BurnSeries::StageTime>
BurnSeries::timesOf(const FinishedRequest &Request) {
  std::vector<StageTime> Times;
  double Outside = toMs(Request.Taken_);
  for (const StageSpan &Span : Request.Stages_) {
    Times.push_back({stageIndex(Span.Stage_), toMs(Span.Taken_)});
    Outside -= toMs(Span.Taken_);
  }
  Times.push_back({stageIndex(OutsideStages), std::max(Outside, 0.0)});
  return Times;
}

void BurnSeries::record(const FinishedRequest &Request, const Objective &Goal) {
  std::int64_t Number = numberAt(Request.FinishedAt_);
  Slot &Current = slotAt(Number);
  if (FirstNumber_ < 0)
    FirstNumber_ = Number;
  LastNumber_ = std::max(LastNumber_, Number);
  if (Request.Result_ == RequestResult::Refused) {
    ++Current.Refused_;
    return;
  }
  ++Current.Accepted_;
  bool InTime = Request.Result_ == RequestResult::InTime;
  if (Request.Short_) {
    ++Current.Short_;
    if (!InTime || Request.Taken_ > Goal.ShortP99_)
      ++Current.ShortOver_;
  }
  std::vector<StageTime> Times = timesOf(Request);
  if (InTime) {
    learn(Times);
    return;
  }
  ++Current.Missed_;
  charge(Current, Request, Times);
}

void BurnSeries::learn(const std::vector<StageTime> &Times) {
  for (const StageTime &Time : Times) {
    double &Usual = Stages_[Time.Stage_].UsualMs_;
    Usual +=
        Usual == 0 ? Time.TakenMs_ : (Time.TakenMs_ - Usual) * LearningRate;
  }
}

void BurnSeries::charge(Slot &Current, const FinishedRequest &Request,
                        const std::vector<StageTime> &Times) {
  double Usual = 0;
  for (const StageTime &Time : Times)
    Usual += Stages_[Time.Stage_].UsualMs_;
  auto Deadline = static_cast<double>(Request.Deadline_.count());
  std::vector<double> Over;
  for (const StageTime &Time : Times) {
    // Without a request in time yet, all stages get equal shares.
    double Part = Usual > 0 ? Stages_[Time.Stage_].UsualMs_ / Usual
                            : 1.0 / static_cast<double>(Times.size());
    Over.push_back(std::max(0.0, Time.TakenMs_ - Part * Deadline));
  }
  double Total = std::accumulate(Over.begin(), Over.end(), 0.0);
  bool Failed = !Request.FailedStage_.empty();
  std::size_t Culprit = Failed ? stageIndex(Request.FailedStage_) : 0;
  // A failure before any stage took longer than its share.
  if (!Failed && Total == 0)
    Culprit = Times.back().Stage_;
  Current.Costs_.resize(Stages_.size());
  for (std::size_t I = 0; I < Times.size(); ++I) {
    StageCost &Cost = Current.Costs_[Times[I].Stage_];
    Cost.OverMs_ += static_cast<float>(Over[I]);
    if (!Failed)
      Cost.Budget_ += static_cast<float>(divide(Over[I], Total));
  }
  if (Failed || Total == 0)
    Current.Costs_[Culprit].Budget_ += 1;
}

bool BurnSeries::isWithin(const Slot &Candidate, std::int64_t Last,
                          std::int64_t Slots) const {
  return Candidate.Number_ > Last - Slots && Candidate.Number_ <= Last;
}

BurnWindow BurnSeries::windowUntil(std::int64_t Last, std::int64_t Slots,
                                   const Objective &Goal) const {
  BurnWindow Window;
  for (const Slot &Candidate : Slots_) {
    if (!isWithin(Candidate, Last, Slots))
      continue;
    Window.Accepted_ += Candidate.Accepted_;
    Window.Missed_ += Candidate.Missed_;
    Window.Refused_ += Candidate.Refused_;
  }
  double MissedShare = divide(static_cast<double>(Window.Missed_),
                              static_cast<double>(Window.Accepted_));
  Window.Attainment_ = 1 - MissedShare;
  Window.BurnRate_ = MissedShare / (1 - Goal.Attainment_);
  return Window;
}

void BurnSeries::summarizeStages(std::int64_t Last, BurnRow &Row) const {
  std::vector<StageCost> Sums(Stages_.size());
  for (const Slot &Candidate : Slots_) {
    if (!isWithin(Candidate, Last, static_cast<std::int64_t>(Slots_.size())))
      continue;
    for (std::size_t I = 0; I < Candidate.Costs_.size(); ++I) {
      Sums[I].Budget_ += Candidate.Costs_[I].Budget_;
      Sums[I].OverMs_ += Candidate.Costs_[I].OverMs_;
    }
  }
  for (std::size_t I = 0; I < Sums.size(); ++I) {
    if (Sums[I].Budget_ <= 0)
      continue;
    StageBurn Stage;
    Stage.Stage_ = Stages_[I].Name_;
    Stage.BudgetShare_ = divide(static_cast<double>(Sums[I].Budget_),
                                static_cast<double>(Row.Long_.Missed_));
    Stage.OverShare_ = Milliseconds{std::llround(Sums[I].OverMs_)};
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
    bool Known = Candidate.Number_ == Number;
    Row.History_.push_back(
        Known ? BurnPoint{Candidate.Accepted_, Candidate.Missed_}
              : BurnPoint{});
    if (!Known)
      continue;
    Row.ShortRequests_.Answered_ += Candidate.Short_;
    Row.ShortRequests_.Over_ += Candidate.ShortOver_;
  }
  Row.ShortRequests_.BurnRate_ =
      divide(static_cast<double>(Row.ShortRequests_.Over_),
             static_cast<double>(Row.ShortRequests_.Answered_)) /
      ShortBudget;
}

void BurnSeries::summarize(SteadyTime Now, BurnRow &Row) const {
  std::int64_t Last = std::max(numberAt(Now), LastNumber_);
  auto LongSlots = static_cast<std::int64_t>(Slots_.size());
  Row.Long_ = windowUntil(Last, LongSlots, Row.Objective_);
  Row.Short_ = windowUntil(Last, Settings_.ShortWindow_ / Settings_.Slot_,
                           Row.Objective_);
  summarizeStages(Last, Row);
  summarizeHistory(Last, Row);
  // A process younger than the window has spent budget for less than all of it.
  std::int64_t Covered = std::min(Last - FirstNumber_ + 1, LongSlots);
  double Spent = Row.Long_.BurnRate_ * static_cast<double>(Covered) /
                 static_cast<double>(LongSlots);
  double Minutes =
      std::chrono::duration<double, std::ratio<60>>(Settings_.LongWindow_)
          .count();
  if (Spent >= 1)
    Row.MinutesToExhaustion_ = 0;
  else if (Row.Short_.BurnRate_ > 0)
    Row.MinutesToExhaustion_ = (1 - Spent) * Minutes / Row.Short_.BurnRate_;
}

bool BurnSeries::isIdle(SteadyTime Now) const {
  return numberAt(Now) - LastNumber_ >=
         static_cast<std::int64_t>(Slots_.size());
}

} // namespace amaranth::state::detail
