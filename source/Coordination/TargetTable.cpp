#include "Coordination/TargetTable.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace amaranth::coordination {

namespace {

using SecondsDouble = std::chrono::duration<double>;

/// Weight of a new sample in the moving averages.
constexpr double SampleWeight = 0.3;

/// Rise of the best pace with each sample, so that it follows a real change.
constexpr double BestPaceRise = 0.01;

/// Part of the queue of a target without load reports that delays new work;
/// such targets serve several requests at once.
constexpr double QueueShare = 0.25;

/// Time in which what a report tells about the work of other daemons fades.
constexpr double ReportMemorySeconds = 0.3;

/// Delay of a full target in units of work, beyond its pending work.
constexpr double BusyWeight = 20;

/// Predicted delay of a target that always fails; a target that fails fast
/// would otherwise look fast and attract work.
constexpr double FailureDelaySeconds = 2.0;

/// Failure rate that is remembered after a successful recheck.
constexpr double RecheckedFailureRate = 0.02;

/// Time in which the remembered failure rate halves.
constexpr double FailureHalfLifeSeconds = 3.0;

/// A target within this factor of its peers counts as equally fast.
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
  noteOwn(Target, Now);
  Target.OwnWork_ += Work;
  Target.SentSinceReport_ += Work;
  // The first request after a recheck time is the recheck; others wait for its
  // result.
  if (Target.FailureStreak_ >= Settings_.FailureThreshold_ &&
      Now >= Target.AvoidUntil_)
    Target.RecheckTaken_ = true;
  if (Target.SlowWait_.count() > 0 && Now >= Target.SlowRecheckAt_) {
    Target.SlowRecheckAt_ = Now + Target.SlowWait_;
    // Each recheck of a target that is still slow costs a slow request.
    Target.SlowWait_ = std::min(Settings_.MaxRecheck_, 2 * Target.SlowWait_);
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
  noteOwn(Target, Now);
  if (!Target.Report_ || Attempt.Start_ >= Target.ReportMeasured_)
    Target.SentSinceReport_ =
        std::max(0.0, Target.SentSinceReport_ - Attempt.Work_);
  switch (End) {
  case AttemptEnd::Success:
    recordPace(Target, Attempt, ActualWork, Now);
    Target.FailureRate_ *= 1 - SampleWeight;
    // After a successful recheck the target gets work again at once.
    if (Target.FailureStreak_ >= Settings_.FailureThreshold_)
      Target.FailureRate_ = std::min(Target.FailureRate_, RecheckedFailureRate);
    Target.Down_ = false;
    Target.FailureStreak_ = 0;
    Target.RecheckTaken_ = false;
    break;
  case AttemptEnd::Failure:
  case AttemptEnd::Refused:
    recordFailure(Target, End, Now);
    break;
  case AttemptEnd::Leaving:
    Target.RefusedAt_ = Now;
    Target.RecheckTaken_ = false;
    break;
  case AttemptEnd::Overloaded:
    Target.AvoidUntil_ = std::max(Target.AvoidUntil_, Now + recheckWait(1));
    Target.RecheckTaken_ = false;
    break;
  case AttemptEnd::Ignored:
    recordCancelled(Target, Attempt, Now);
    Target.RecheckTaken_ = false;
    break;
  }
}

void TargetTable::recordCancelled(Entry &Target, const InFlight &Attempt,
                                  SteadyTime Now) {
  // An attempt that a hedge overtook has no duration, but it was at least this
  // slow. Without this a straggler that is always overtaken looks unchanged.
  double AtLeast = seconds(Now - Attempt.Start_) / std::max(1.0, Attempt.Work_);
  Pace &Known = Target.Pace_[index(Attempt.Class_)];
  if (Known.Samples_ > 0 && AtLeast > Known.Recent_)
    Known.Recent_ += SampleWeight * (AtLeast - Known.Recent_);
}

void TargetTable::forgetPaces(WorkClass Class) {
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
    forgetPaces(Attempt.Class_);
  double Sample =
      Duration / std::max(1.0, effectiveWork(Attempt.Class_, ActualWork));
  Pace &Known = Target.Pace_[index(Attempt.Class_)];
  if (Known.Samples_ == 0) {
    Known.Recent_ = Sample;
    Known.Best_ = Sample;
  }
  // A much faster sample replaces the average at once: a straggler that has
  // recovered must not keep its bad average through a slow decay.
  if (Sample * Settings_.SlowFactor_ < Known.Recent_)
    Known.Recent_ = Sample;
  else
    Known.Recent_ += SampleWeight * (Sample - Known.Recent_);
  Known.Best_ = std::min(Known.Best_ * (1 + BestPaceRise), Sample);
  ++Known.Samples_;
}

void TargetTable::recordFailure(Entry &Target, AttemptEnd End, SteadyTime Now) {
  Target.FailureRate_ += SampleWeight * (1 - Target.FailureRate_);
  Target.FailureTime_ = Now;
  Target.RecheckTaken_ = false;
  ++Target.FailureStreak_;
  Target.Down_ = End == AttemptEnd::Refused;
  if (Target.Down_)
    Target.FailureStreak_ =
        std::max(Target.FailureStreak_, Settings_.FailureThreshold_);
  if (Target.FailureStreak_ < Settings_.FailureThreshold_)
    return;
  // Requests that were in flight when the target failed end together; only the
  // first of them lengthens the wait.
  if (Now < Target.AvoidUntil_) {
    --Target.FailureStreak_;
    return;
  }
  int Streak = Target.FailureStreak_ - Settings_.FailureThreshold_ + 1;
  Target.AvoidUntil_ = Now + recheckWait(Streak);
}

Milliseconds TargetTable::recheckWait(int Streak) {
  int Doublings = std::clamp(Streak - 1, 0, 10);
  Milliseconds Longest =
      std::min(Settings_.MaxRecheck_, Settings_.MinRecheck_ * (1 << Doublings));
  // Between half and all of the wait, so that daemons do not recheck together.
  std::uniform_int_distribution<Milliseconds::rep> Wait(Longest.count() / 2,
                                                        Longest.count());
  return Milliseconds{Wait(Random_)};
}

void TargetTable::onLoadReport(const std::string &Address,
                               const LoadReport &Report) {
  std::lock_guard Lock(Mutex_);
  Entry &Target = Targets_[Address];
  SteadyTime Now = Settings_.Now_();
  SteadyTime Measured = Now - Report.Age_;
  if (Target.Report_ && Measured < Target.ReportMeasured_)
    return;
  if (Target.ReportedLeaving_ && !Report.Leaving_)
    Target.ReturnedAt_ = Measured;
  if (Target.RefusedAt_ && !Report.Leaving_ &&
      Now >= *Target.RefusedAt_ + Settings_.RefusalHold_) {
    Target.ReturnedAt_ = Measured;
    Target.RefusedAt_.reset();
  }
  // A target that refused connections and now reports has been restarted.
  if (Target.Down_ && Measured > Target.FailureTime_)
    Target.AvoidUntil_ = std::min(Target.AvoidUntil_, Now);
  Target.ReportedLeaving_ = Report.Leaving_;
  Target.Report_ = Report;
  Target.ReportMeasured_ = Measured;
  Target.SentSinceReport_ = 0;
  for (const auto &[Id, Attempt] : Target.InFlight_)
    if (Attempt.Start_ >= Measured)
      Target.SentSinceReport_ += Attempt.Work_;
}

void TargetTable::onEnded(const std::string &Address) {
  std::lock_guard Lock(Mutex_);
  Entry &Target = Targets_[Address];
  Target.RefusedAt_.reset();
  Target.ReportedLeaving_ = false;
  Target.Report_.reset();
  // Nothing is sent there until a recheck finds a new process.
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

bool TargetTable::leaving(const Entry &Target, SteadyTime Now) const {
  // The target's own refusal comes first, then its report, then the host list.
  if (Target.RefusedAt_ && Now < *Target.RefusedAt_ + Settings_.MaxRefusalHold_)
    return true;
  bool ReportValid = Target.Report_ &&
                     Now < Target.ReportMeasured_ + Settings_.ReportLifetime_;
  if (ReportValid && Target.ReportedLeaving_)
    return true;
  if (!Target.ListedLeavingAt_)
    return false;
  // A report that never said "leaving" may come from a target that does not
  // know; only one that took it back proves that the list is out of date.
  bool Returned = ReportValid && Target.ReturnedAt_ &&
                  *Target.ReturnedAt_ > *Target.ListedLeavingAt_;
  return !Returned;
}

double TargetTable::pendingWork(const Entry &Target, SteadyTime Now) const {
  bool ReportValid = Target.Report_ &&
                     Now < Target.ReportMeasured_ + Settings_.ReportLifetime_;
  if (!ReportValid)
    return Target.OwnWork_;
  double Done =
      Target.Report_->WorkPerSecond_ * seconds(Now - Target.ReportMeasured_);
  double Left = std::max(0.0, Target.Report_->QueuedWork_ - Done);
  return std::max(Target.OwnWork_, Left + Target.SentSinceReport_);
}

void TargetTable::noteOwn(Entry &Target, SteadyTime Now) {
  auto &History = Target.OwnHistory_;
  History.emplace_back(Now, Target.InFlight_.size());
  while (History.size() > 1 &&
         History[1].first <= Now - Settings_.ReportLifetime_)
    History.pop_front();
}

bool TargetTable::reportValid(const Entry &Target, SteadyTime Now) const {
  return Target.Report_ &&
         Now < Target.ReportMeasured_ + Settings_.ReportLifetime_;
}

double TargetTable::othersRunning(const Entry &Target) const {
  double OwnThen = 0;
  for (const auto &[Time, Count] : Target.OwnHistory_) {
    if (Time > Target.ReportMeasured_)
      break;
    OwnThen = static_cast<double>(Count);
  }
  return std::max(0.0, Target.Report_->Running_ - OwnThen);
}

double TargetTable::queueDelay(const Entry &Target, double UnloadedPace,
                               double TypicalOthers, QueuePlace Place,
                               SteadyTime Now) const {
  double Pending = pendingWork(Target, Now);
  if (!reportValid(Target, Now) || Target.Report_->WorkPerSecond_ <= 0)
    return Pending * UnloadedPace * QueueShare;
  double Rate = Target.Report_->WorkPerSecond_;
  if (UnloadedPace <= 0)
    return Pending / Rate;
  // A batching engine runs as many requests at once as its rate exceeds that of
  // one request; new work waits only when all these places are taken. The load
  // of other daemons is taken to last, and the less so the older the report is.
  double Places = std::max(1.0, Rate * UnloadedPace);
  double Known =
      std::exp(-seconds(Now - Target.ReportMeasured_) / ReportMemorySeconds);
  double Others =
      TypicalOthers + Known * (othersRunning(Target) - TypicalOthers);
  double Running = Others + static_cast<double>(Target.InFlight_.size());
  double Busy = Running / Places;
  double Full = std::min(1.0, Busy);
  // The running requests end one after the other while the work drains, so the
  // first place is free after about one part of that time for each of them.
  double Drain = Pending / Rate;
  if (Place == QueuePlace::Front)
    Drain /= std::max(1.0, Running);
  return Drain * Full * Full + UnloadedPace * Busy * Busy * Busy * BusyWeight;
}

double TargetTable::overdue(const Entry &Target, WorkClass Class,
                            double Typical, SteadyTime Now) const {
  double Worst = 1;
  if (Typical <= 0)
    return Worst;
  for (const auto &[Id, Attempt] : Target.InFlight_) {
    if (Attempt.Class_ != Class)
      continue;
    double Expected = Typical * std::max(1.0, Attempt.Work_);
    Worst = std::max(Worst, seconds(Now - Attempt.Start_) / Expected);
  }
  return Worst;
}

std::vector<TargetEstimate>
TargetTable::estimate(const std::vector<std::string> &Addresses,
                      WorkClass Class, double Work, QueuePlace Place) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  Work = effectiveWork(Class, Work);
  std::vector<double> Recent;
  std::vector<double> Best;
  for (const std::string &Address : Addresses) {
    const Pace &Known = Targets_[Address].Pace_[index(Class)];
    Recent.push_back(Known.Recent_);
    Best.push_back(Known.Best_);
  }
  double TypicalOthers = 0;
  double Reports = 0;
  for (const std::string &Address : Addresses) {
    const Entry &Target = Targets_[Address];
    if (!reportValid(Target, Now))
      continue;
    TypicalOthers += othersRunning(Target);
    Reports += 1;
  }
  if (Reports > 0)
    TypicalOthers /= Reports;
  double TypicalPace = medianOfKnown(Recent);
  double UnloadedPace = medianOfKnown(Best);
  std::vector<TargetEstimate> Estimates;
  for (const std::string &Address : Addresses) {
    Entry &Target = Targets_[Address];
    const Pace &Known = Target.Pace_[index(Class)];
    TargetEstimate Estimate;
    Estimate.Leaving_ = leaving(Target, Now);
    bool Failing = Target.FailureStreak_ >= Settings_.FailureThreshold_;
    Estimate.Recheck_ =
        Failing && Now >= Target.AvoidUntil_ && !Target.RecheckTaken_;
    Estimate.Avoided_ =
        Now < Target.AvoidUntil_ || (Failing && Target.RecheckTaken_);
    double Slowdown = 1;
    if (TypicalPace > 0 && Known.Recent_ > TypicalPace * PaceTolerance)
      Slowdown = Known.Recent_ / TypicalPace;
    // Work that is overdue shows a straggler before its first late answer.
    double Overdue = overdue(Target, Class, TypicalPace, Now);
    if (Overdue > Settings_.SlowFactor_)
      Slowdown = std::max(Slowdown, Overdue);
    Slowdown = std::min(Slowdown, MaxSlowdown);
    // Any penalty ends with a recheck: without one a target that gets no work
    // would keep its last pace for ever.
    if (Slowdown > 1) {
      if (Target.SlowWait_.count() == 0) {
        Target.SlowWait_ = recheckWait(3);
        Target.SlowRecheckAt_ = Now + Target.SlowWait_;
      } else if (Now >= Target.SlowRecheckAt_ && Overdue <= 1) {
        Estimate.Recheck_ = true;
        Slowdown = 1;
      }
    } else {
      Target.SlowWait_ = Milliseconds{0};
    }
    Estimate.Slowdown_ = Slowdown;
    double QueueDelay =
        queueDelay(Target, UnloadedPace, TypicalOthers, Place, Now);
    double Forgotten =
        std::exp2(-seconds(Now - Target.FailureTime_) / FailureHalfLifeSeconds);
    double FailureDelay = Target.FailureRate_ * Forgotten * FailureDelaySeconds;
    if (Estimate.Recheck_)
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
  return leaving(Targets_[Address], Settings_.Now_());
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
    View.Leaving_ = leaving(Target, Now);
    View.FailureRate_ = Target.FailureRate_;
    for (const Pace &Class : Target.Pace_)
      if (Class.Samples_ > 0)
        View.RecentPace_ = std::chrono::duration_cast<Microseconds>(
            std::chrono::duration<double>(Class.Recent_));
    View.BadReports_ = Target.BadReports_;
    Views.push_back(std::move(View));
  }
  return Views;
}

void TargetTable::retain(const std::vector<std::string> &Addresses) {
  std::lock_guard Lock(Mutex_);
  std::erase_if(Targets_, [&](const auto &Item) {
    bool Wanted = std::find(Addresses.begin(), Addresses.end(), Item.first) !=
                  Addresses.end();
    return !Wanted && Item.second.InFlight_.empty();
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
