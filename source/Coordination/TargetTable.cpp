#include "Coordination/TargetTable.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace amaranth::coordination {

namespace {

using SecondsDouble = std::chrono::duration<double>;

/// Weight of a new sample in the moving averages.
constexpr double SampleWeight = 0.3;

/// Rise of the minimum pace with each sample, so that it follows a lasting
/// change.
constexpr double MinimumPaceRise = 0.01;

/// Part of the pending work of a target without load reports that delays new
/// work. Less than 1, because such targets serve several requests at once.
constexpr double UnreportedQueueShare = 0.25;

/// Time constant by which the weight of a report decays as evidence of the work
/// of other daemons.
constexpr double ReportDecaySeconds = 0.3;

/// Additional delay of a fully occupied target, in units of work.
constexpr double FullTargetDelay = 20;

/// Delay added for a target that always fails. Without it a target that fails
/// fast would look fast and attract work.
constexpr double FailureDelaySeconds = 2.0;

/// Upper limit of the failure rate after a successful recheck.
constexpr double RecheckedFailureRate = 0.02;

/// Half-life of the failure rate.
constexpr double FailureHalfLifeSeconds = 3.0;

/// A target within this factor of the median pace counts as equally fast.
constexpr double PaceTolerance = 1.5;

constexpr double MaxSlowdown = 100;

double seconds(SteadyClock::duration Time) {
  return std::chrono::duration_cast<SecondsDouble>(Time).count();
}

/// Median of the positive values in \p Values, or 0.
double medianOfKnown(std::vector<double> Values) {
  std::erase_if(Values, [](double Value) { return Value <= 0; });
  if (Values.empty())
    return 0;
  auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>((Values.size() - 1) / 2);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

} // namespace

WorkClass workClass(state::StageKind Kind) {
  switch (Kind) {
  case state::StageKind::Encode:
    return WorkClass::Encode;
  case state::StageKind::Retrieve:
    return WorkClass::Retrieve;
  case state::StageKind::Rerank:
    return WorkClass::Rerank;
  case state::StageKind::Generate:
    return WorkClass::Generate;
  }
  return WorkClass::Generate;
}

double stageWork(state::StageKind Kind, double Tokens) {
  // The prompt and the first token cost about as much as this many tokens.
  constexpr double GenerateOverheadTokens = 8;
  if (Kind != state::StageKind::Generate)
    return 1;
  return std::max(0.0, Tokens) + GenerateOverheadTokens;
}

TargetTable::TargetTable(TargetTableSettings Settings)
    : Settings_(std::move(Settings)), Random_(Settings_.Seed_) {}

std::uint64_t TargetTable::begin(const std::string &Address, WorkClass Class,
                                 double Work) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  Entry &Target = Targets_[Address];
  std::uint64_t Id = NextId_++;
  Work = effectiveWork(Class, Work);
  Target.InFlight_[Id] = {Now, Class, Work};
  recordOwnInFlight(Target, Now);
  Target.OwnWork_ += Work;
  Target.SentSinceReport_ += Work;
  // The first request after the wait is the recheck; the target gets no others
  // until its result is known.
  if (Target.FailureStreak_ >= Settings_.FailureThreshold_ &&
      Now >= Target.AvoidUntil_)
    Target.RecheckInProgress_ = true;
  if (Target.SlowRecheckWait_.count() > 0 && Now >= Target.SlowRecheckAt_) {
    Target.SlowRecheckAt_ = Now + Target.SlowRecheckWait_;
    // Each recheck of a target that is still slow costs a slow request.
    Target.SlowRecheckWait_ =
        std::min(Settings_.MaxRecheckWait_, 2 * Target.SlowRecheckWait_);
  }
  return Id;
}

void TargetTable::end(const std::string &Address, std::uint64_t Id,
                      AttemptEnd End, double ActualWork) {
  std::lock_guard Lock(Mutex_);
  Entry &Target = Targets_[Address];
  auto Found = Target.InFlight_.find(Id);
  assert(Found != Target.InFlight_.end() && "attempt ended twice");
  InFlight Attempt = Found->second;
  Target.InFlight_.erase(Found);
  Target.OwnWork_ = std::max(0.0, Target.OwnWork_ - Attempt.Work_);
  if (Target.InFlight_.empty())
    Target.OwnWork_ = 0;
  SteadyTime Now = Settings_.Now_();
  recordOwnInFlight(Target, Now);
  if (!Target.Report_ || Attempt.Start_ >= Target.ReportMeasured_)
    Target.SentSinceReport_ =
        std::max(0.0, Target.SentSinceReport_ - Attempt.Work_);
  switch (End) {
  case AttemptEnd::Success:
    recordPace(Target, Attempt, ActualWork, Now);
    Target.FailureRate_ *= 1 - SampleWeight;
    // After a successful recheck the target gets work again immediately.
    if (Target.FailureStreak_ >= Settings_.FailureThreshold_)
      Target.FailureRate_ = std::min(Target.FailureRate_, RecheckedFailureRate);
    Target.ConnectionRefused_ = false;
    Target.FailureStreak_ = 0;
    Target.RecheckInProgress_ = false;
    break;
  case AttemptEnd::Failure:
  case AttemptEnd::Refused:
    recordFailure(Target, End, Now);
    break;
  case AttemptEnd::Leaving:
    Target.RefusedAt_ = Now;
    Target.RecheckInProgress_ = false;
    break;
  case AttemptEnd::Overloaded:
    Target.AvoidUntil_ = std::max(Target.AvoidUntil_, Now + recheckWait(1));
    Target.RecheckInProgress_ = false;
    break;
  case AttemptEnd::Ignored:
    recordCancelled(Target, Attempt, Now);
    Target.RecheckInProgress_ = false;
    break;
  }
}

void TargetTable::recordCancelled(Entry &Target, const InFlight &Attempt,
                                  SteadyTime Now) {
  // An attempt that lost against a hedge (a second attempt at another target)
  // has no duration, but its elapsed time is a lower bound of it. Without this
  // a straggler that always loses would keep its old pace.
  double LowerBound =
      seconds(Now - Attempt.Start_) / std::max(1.0, Attempt.Work_);
  Pace &ClassPace = Target.Pace_[index(Attempt.Class_)];
  if (ClassPace.Samples_ > 0 && LowerBound > ClassPace.Average_)
    ClassPace.Average_ += SampleWeight * (LowerBound - ClassPace.Average_);
}

void TargetTable::resetPaces(WorkClass Class) {
  for (auto &Item : Targets_)
    Item.second.Pace_[index(Class)] = {};
}

double TargetTable::effectiveWork(WorkClass Class, double Work) const {
  return Class == WorkClass::Generate ? GenerateScale_.effective(Work) : Work;
}

void TargetTable::recordPace(Entry &Target, const InFlight &Attempt,
                             double ActualWork, SteadyTime Now) {
  double Duration = seconds(Now - Attempt.Start_);
  if (Attempt.Class_ == WorkClass::Generate &&
      GenerateScale_.record(ActualWork, Duration))
    resetPaces(Attempt.Class_);
  double Sample =
      Duration / std::max(1.0, effectiveWork(Attempt.Class_, ActualWork));
  Pace &ClassPace = Target.Pace_[index(Attempt.Class_)];
  if (ClassPace.Samples_ == 0) {
    ClassPace.Average_ = Sample;
    ClassPace.Minimum_ = Sample;
  }
  // A much faster sample replaces the average at once, because a straggler that
  // has recovered would otherwise keep a bad average for many samples.
  if (Sample * Settings_.SlowFactor_ < ClassPace.Average_)
    ClassPace.Average_ = Sample;
  else
    ClassPace.Average_ += SampleWeight * (Sample - ClassPace.Average_);
  ClassPace.Minimum_ =
      std::min(ClassPace.Minimum_ * (1 + MinimumPaceRise), Sample);
  ++ClassPace.Samples_;
}

void TargetTable::recordFailure(Entry &Target, AttemptEnd End, SteadyTime Now) {
  Target.FailureRate_ += SampleWeight * (1 - Target.FailureRate_);
  Target.FailureTime_ = Now;
  Target.RecheckInProgress_ = false;
  ++Target.FailureStreak_;
  Target.ConnectionRefused_ = End == AttemptEnd::Refused;
  if (Target.ConnectionRefused_)
    Target.FailureStreak_ =
        std::max(Target.FailureStreak_, Settings_.FailureThreshold_);
  if (Target.FailureStreak_ < Settings_.FailureThreshold_)
    return;
  // Requests that were in flight when the target failed all end at the same
  // time. Only the first of them lengthens the wait.
  if (Now < Target.AvoidUntil_) {
    --Target.FailureStreak_;
    return;
  }
  int Streak = Target.FailureStreak_ - Settings_.FailureThreshold_ + 1;
  Target.AvoidUntil_ = Now + recheckWait(Streak);
}

Milliseconds TargetTable::recheckWait(int Streak) {
  int Doublings = std::clamp(Streak - 1, 0, 10);
  Milliseconds Longest = std::min(Settings_.MaxRecheckWait_,
                                  Settings_.MinRecheckWait_ * (1 << Doublings));
  // Random between half and all of the wait, so that daemons do not recheck at
  // the same time.
  std::uniform_int_distribution<Milliseconds::rep> WaitDistribution(
      Longest.count() / 2, Longest.count());
  return Milliseconds{WaitDistribution(Random_)};
}

void TargetTable::onLoadReport(const std::string &Address,
                               const LoadReport &Report) {
  std::lock_guard Lock(Mutex_);
  Entry &Target = Targets_[Address];
  SteadyTime Now = Settings_.Now_();
  SteadyTime MeasuredAt = Now - Report.Age_;
  if (Target.Report_ && MeasuredAt < Target.ReportMeasured_)
    return;
  if (Target.ReportedLeaving_ && !Report.Leaving_)
    Target.ReturnedAt_ = MeasuredAt;
  if (Target.RefusedAt_ && !Report.Leaving_ &&
      Now >= *Target.RefusedAt_ + Settings_.MinRefusalHold_) {
    Target.ReturnedAt_ = MeasuredAt;
    Target.RefusedAt_.reset();
  }
  // A target that refused connections and now reports has been restarted.
  if (Target.ConnectionRefused_ && MeasuredAt > Target.FailureTime_)
    Target.AvoidUntil_ = std::min(Target.AvoidUntil_, Now);
  Target.ReportedLeaving_ = Report.Leaving_;
  Target.Report_ = Report;
  Target.ReportMeasured_ = MeasuredAt;
  Target.SentSinceReport_ = 0;
  for (const auto &[Id, Attempt] : Target.InFlight_)
    if (Attempt.Start_ >= MeasuredAt)
      Target.SentSinceReport_ += Attempt.Work_;
}

void TargetTable::onProcessEnded(const std::string &Address) {
  std::lock_guard Lock(Mutex_);
  Entry &Target = Targets_[Address];
  Target.RefusedAt_.reset();
  Target.ReportedLeaving_ = false;
  Target.Report_.reset();
  // No work is sent there until a recheck reaches a new process.
  Target.FailureStreak_ =
      std::max(Target.FailureStreak_, Settings_.FailureThreshold_ - 1);
  recordFailure(Target, AttemptEnd::Refused, Settings_.Now_());
}

void TargetTable::onBadReport(const std::string &Address) {
  std::lock_guard Lock(Mutex_);
  ++Targets_[Address].BadReports_;
}

void TargetTable::onHostList(const std::vector<HostListEntry> &Hosts) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  for (const HostListEntry &Host : Hosts) {
    auto Found = Targets_.find(Host.Address_);
    if (Found == Targets_.end() && !Host.Leaving_)
      continue;
    Entry &Target =
        Found == Targets_.end() ? Targets_[Host.Address_] : Found->second;
    if (!Host.Leaving_)
      Target.ListedLeavingAt_.reset();
    else if (!Target.ListedLeavingAt_)
      Target.ListedLeavingAt_ = Now;
  }
}

bool TargetTable::isMarkedLeaving(const Entry &Target, SteadyTime Now) const {
  // The target's own refusal takes precedence over its report, and its report
  // over the host list.
  if (Target.RefusedAt_ && Now < *Target.RefusedAt_ + Settings_.MaxRefusalHold_)
    return true;
  bool ReportValid = Target.Report_ &&
                     Now < Target.ReportMeasured_ + Settings_.ReportLifetime_;
  if (ReportValid && Target.ReportedLeaving_)
    return true;
  if (!Target.ListedLeavingAt_)
    return false;
  // A target whose reports never said "leaving" may not know that it is to
  // leave. Only a report that revoked "leaving" after the list said so shows
  // that the list is out of date.
  bool Returned = ReportValid && Target.ReturnedAt_ &&
                  *Target.ReturnedAt_ > *Target.ListedLeavingAt_;
  return !Returned;
}

double TargetTable::pendingWork(const Entry &Target, SteadyTime Now) const {
  bool ReportValid = Target.Report_ &&
                     Now < Target.ReportMeasured_ + Settings_.ReportLifetime_;
  if (!ReportValid)
    return Target.OwnWork_;
  double CompletedSince =
      Target.Report_->WorkPerSecond_ * seconds(Now - Target.ReportMeasured_);
  double Remaining =
      std::max(0.0, Target.Report_->QueuedWork_ - CompletedSince);
  return std::max(Target.OwnWork_, Remaining + Target.SentSinceReport_);
}

void TargetTable::recordOwnInFlight(Entry &Target, SteadyTime Now) {
  auto &History = Target.OwnHistory_;
  History.emplace_back(Now, Target.InFlight_.size());
  while (History.size() > 1 &&
         History[1].first <= Now - Settings_.ReportLifetime_)
    History.pop_front();
}

bool TargetTable::hasValidReport(const Entry &Target, SteadyTime Now) const {
  return Target.Report_ &&
         Now < Target.ReportMeasured_ + Settings_.ReportLifetime_;
}

double TargetTable::runningForOthers(const Entry &Target) const {
  double OwnAtReport = 0;
  for (const auto &[Time, Count] : Target.OwnHistory_) {
    if (Time > Target.ReportMeasured_)
      break;
    OwnAtReport = static_cast<double>(Count);
  }
  return std::max(0.0, Target.Report_->Running_ - OwnAtReport);
}

double TargetTable::queueDelay(const Entry &Target, double UnloadedPace,
                               double TypicalOthers, QueuePlace Place,
                               SteadyTime Now) const {
  double Pending = pendingWork(Target, Now);
  if (!hasValidReport(Target, Now) || Target.Report_->WorkPerSecond_ <= 0)
    return Pending * UnloadedPace * UnreportedQueueShare;
  double Rate = Target.Report_->WorkPerSecond_;
  if (UnloadedPace <= 0)
    return Pending / Rate;
  // The number of slots of a batching engine is its total rate divided by the
  // rate of one request. New work waits only when all slots are occupied. The
  // reported load of other daemons is assumed to persist; the older the report,
  // the more the average over all targets replaces it.
  double Slots = std::max(1.0, Rate * UnloadedPace);
  double ReportWeight =
      std::exp(-seconds(Now - Target.ReportMeasured_) / ReportDecaySeconds);
  double RunningForOthers =
      TypicalOthers + ReportWeight * (runningForOthers(Target) - TypicalOthers);
  double Running =
      RunningForOthers + static_cast<double>(Target.InFlight_.size());
  double Utilization = Running / Slots;
  double OccupiedShare = std::min(1.0, Utilization);
  // The running requests end one after the other while the pending work drains,
  // so the first slot becomes free after about the drain time divided by their
  // number.
  double DrainTime = Pending / Rate;
  if (Place == QueuePlace::Front)
    DrainTime /= std::max(1.0, Running);
  return DrainTime * OccupiedShare * OccupiedShare +
         UnloadedPace * Utilization * Utilization * Utilization *
             FullTargetDelay;
}

double TargetTable::overdueFactor(const Entry &Target, WorkClass Class,
                                  double Typical, SteadyTime Now) const {
  double Factor = 1;
  if (Typical <= 0)
    return Factor;
  for (const auto &[Id, Attempt] : Target.InFlight_) {
    if (Attempt.Class_ != Class)
      continue;
    double Expected = Typical * std::max(1.0, Attempt.Work_);
    Factor = std::max(Factor, seconds(Now - Attempt.Start_) / Expected);
  }
  return Factor;
}

std::vector<TargetEstimate>
TargetTable::estimate(const std::vector<std::string> &Addresses,
                      WorkClass Class, double Work, QueuePlace Place) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  Work = effectiveWork(Class, Work);
  std::vector<double> AveragePaces;
  std::vector<double> MinimumPaces;
  for (const std::string &Address : Addresses) {
    const Pace &ClassPace = Targets_[Address].Pace_[index(Class)];
    AveragePaces.push_back(ClassPace.Average_);
    MinimumPaces.push_back(ClassPace.Minimum_);
  }
  double TypicalOthers = 0;
  double ReportCount = 0;
  for (const std::string &Address : Addresses) {
    const Entry &Target = Targets_[Address];
    if (!hasValidReport(Target, Now))
      continue;
    TypicalOthers += runningForOthers(Target);
    ReportCount += 1;
  }
  if (ReportCount > 0)
    TypicalOthers /= ReportCount;
  double TypicalPace = medianOfKnown(AveragePaces);
  double UnloadedPace = medianOfKnown(MinimumPaces);
  std::vector<TargetEstimate> Estimates;
  for (const std::string &Address : Addresses) {
    Entry &Target = Targets_[Address];
    const Pace &ClassPace = Target.Pace_[index(Class)];
    TargetEstimate Estimate;
    Estimate.Leaving_ = isMarkedLeaving(Target, Now);
    bool Failing = Target.FailureStreak_ >= Settings_.FailureThreshold_;
    Estimate.RecheckDue_ =
        Failing && Now >= Target.AvoidUntil_ && !Target.RecheckInProgress_;
    Estimate.Avoided_ =
        Now < Target.AvoidUntil_ || (Failing && Target.RecheckInProgress_);
    double Slowdown = 1;
    if (TypicalPace > 0 && ClassPace.Average_ > TypicalPace * PaceTolerance)
      Slowdown = ClassPace.Average_ / TypicalPace;
    // Overdue attempts reveal a straggler before its first late reply.
    double Overdue = overdueFactor(Target, Class, TypicalPace, Now);
    if (Overdue > Settings_.SlowFactor_)
      Slowdown = std::max(Slowdown, Overdue);
    Slowdown = std::min(Slowdown, MaxSlowdown);
    // Every penalty ends with a recheck. Without one a target that gets no work
    // would keep its last pace for ever.
    if (Slowdown > 1) {
      if (Target.SlowRecheckWait_.count() == 0) {
        Target.SlowRecheckWait_ = recheckWait(3);
        Target.SlowRecheckAt_ = Now + Target.SlowRecheckWait_;
      } else if (Now >= Target.SlowRecheckAt_ && Overdue <= 1) {
        Estimate.RecheckDue_ = true;
        Slowdown = 1;
      }
    } else {
      Target.SlowRecheckWait_ = Milliseconds{0};
    }
    Estimate.Slowdown_ = Slowdown;
    double QueueDelay =
        queueDelay(Target, UnloadedPace, TypicalOthers, Place, Now);
    double Decay =
        std::exp2(-seconds(Now - Target.FailureTime_) / FailureHalfLifeSeconds);
    double FailureDelay = Target.FailureRate_ * Decay * FailureDelaySeconds;
    if (Estimate.RecheckDue_)
      FailureDelay = 0;
    double Total =
        (UnloadedPace * std::max(1.0, Work) + QueueDelay) * Slowdown +
        FailureDelay;
    Estimate.Completion_ =
        std::chrono::duration_cast<Microseconds>(SecondsDouble(Total));
    Estimates.push_back(Estimate);
  }
  return Estimates;
}

bool TargetTable::isLeaving(const std::string &Address) {
  std::lock_guard Lock(Mutex_);
  return isMarkedLeaving(Targets_[Address], Settings_.Now_());
}

std::vector<TargetView> TargetTable::view() {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  std::vector<TargetView> Views;
  for (const auto &[Address, Target] : Targets_) {
    TargetView View;
    View.Address_ = Address;
    View.InFlight_ = static_cast<int>(Target.InFlight_.size());
    View.OwnWork_ = Target.OwnWork_;
    View.Report_ = Target.Report_;
    if (Target.Report_)
      View.ReportAge_ = std::chrono::duration_cast<Milliseconds>(
          Now - Target.ReportMeasured_);
    if (Target.AvoidUntil_ > Now)
      View.RecheckIn_ =
          std::chrono::ceil<Milliseconds>(Target.AvoidUntil_ - Now);
    View.Leaving_ = isMarkedLeaving(Target, Now);
    View.FailureRate_ = Target.FailureRate_;
    for (const Pace &Class : Target.Pace_)
      if (Class.Samples_ > 0)
        View.RecentPace_ = std::chrono::duration_cast<Microseconds>(
            std::chrono::duration<double>(Class.Average_));
    View.BadReports_ = Target.BadReports_;
    Views.push_back(std::move(View));
  }
  return Views;
}

void TargetTable::retainOnly(const std::vector<std::string> &Addresses) {
  std::lock_guard Lock(Mutex_);
  std::erase_if(Targets_, [&](const auto &Item) {
    bool Retained = std::find(Addresses.begin(), Addresses.end(), Item.first) !=
                    Addresses.end();
    return !Retained && Item.second.InFlight_.empty();
  });
}

CountedAttempt::CountedAttempt(TargetTable &Table, std::string Address,
                               WorkClass Class, double Work)
    : Table_(Table), Address_(std::move(Address)),
      Id_(Table_.begin(Address_, Class, Work)) {}

CountedAttempt::~CountedAttempt() {
  if (!Ended_)
    Table_.end(Address_, Id_, AttemptEnd::Ignored, 0);
}

void CountedAttempt::end(AttemptEnd End, double ActualWork) {
  Ended_ = true;
  Table_.end(Address_, Id_, End, ActualWork);
}

} // namespace amaranth::coordination
