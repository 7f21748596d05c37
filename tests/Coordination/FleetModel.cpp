#include "Coordination/FleetModel.h"

#include "Coordination/PipelineEstimator.h"
#include "Coordination/PredictedRouter.h"
#include "Coordination/RandomRouter.h"
#include "Coordination/RetryBudget.h"
#include "Coordination/RunnerFixture.h"
#include "Support/Digest.h"

#include <algorithm>

namespace amaranth::testing {

namespace {

const SteadyTime Origin{Seconds{1000}};

SteadyTime timeAt(double Value) {
  return Origin + std::chrono::duration_cast<SteadyClock::duration>(
                      std::chrono::duration<double>(Value));
}

double toSeconds(SteadyClock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

/// Time in which the speed of a target is divided by Factor_; 0 means failing.
struct Period {
  double BeginSeconds_ = 0;
  double EndSeconds_ = 0;
  double Factor_ = 1;
};

double factorAt(const std::vector<Period> &Periods, double Time) {
  for (const Period &Candidate : Periods)
    if (Time >= Candidate.BeginSeconds_ && Time < Candidate.EndSeconds_)
      return Candidate.Factor_;
  return 1;
}

constexpr int MaxAttempts = 6;
constexpr double HedgeReserve = 15;

} // namespace

struct FleetModel::Attempt {
  std::size_t Request_ = 0;
  int Target_ = 0;
  std::uint64_t Id_ = 0;
  int Priority_ = 0;
  bool Running_ = false;
  bool Ended_ = false;
};

struct FleetModel::Target {
  struct Sample {
    SteadyTime Time_;
    double Work_ = 0;
    int Running_ = 0;
  };

  std::deque<std::shared_ptr<Attempt>> Queue_;
  int Running_ = 0;
  double Work_ = 0;
  std::vector<Period> SlowPeriods_;
  std::vector<Period> FailurePeriods_;
  std::deque<Sample> History_;
  std::vector<double> Starts_;
};

struct FleetModel::Daemon {
  Daemon(FleetModel &Model, std::uint64_t Seed)
      : Table_({.Now_ = [&Model] { return Model.Now_; }, .Seed_ = Seed}),
        Predicted_(Table_, {.Seed_ = Seed}), Random_(Table_, Seed),
        Admission_(admission(Model)) {}

  AdmissionSettings admission(FleetModel &Model) {
    AdmissionSettings Settings;
    Settings.Now_ = [&Model] { return Model.Now_; };
    Settings.Accounts_.Now_ = Settings.Now_;
    Settings.Estimate_ = [this, &Model](const std::string &, double Tokens,
                                        SizeClass Class) {
      return estimatePipeline(Table_, Model.Document_, Tokens,
                              queuePlace(Class));
    };
    return Settings;
  }

  TargetTable Table_;
  PredictedRouter Predicted_;
  RandomRouter Random_;
  RetryBudget Budget_{{}};
  StageStatistics Statistics_;
  Admission Admission_;
  std::vector<std::pair<std::size_t, Admission::PendingRequest>> Queued_;
};

FleetModel::FleetModel(const ModelSettings &Settings)
    : Settings_(Settings), Random_(Settings.Seed_),
      Document_(makeDocument(Settings.Targets_, {state::StageKind::Generate})) {
  for (int I = 0; I < Settings_.Targets_; ++I) {
    Targets_.push_back(std::make_unique<Target>());
    recordLoad(*Targets_.back());
  }
  for (int I = 0; I < Settings_.Daemons_; ++I)
    Daemons_.push_back(std::make_unique<Daemon>(*this, Settings_.Seed_ + I));
}

FleetModel::~FleetModel() { Permits_.clear(); }

void FleetModel::addArrivals(const Arrivals &Stream) {
  std::exponential_distribution<double> Interarrival(Stream.PerSecond_);
  std::uniform_int_distribution<int> DaemonIndex(0, Settings_.Daemons_ - 1);
  double Time = Stream.BeginSeconds_;
  while ((Time += Interarrival(Random_)) < Stream.EndSeconds_) {
    ModelRequest Request;
    Request.Arrival_ = Time;
    Request.Tokens_ = Stream.Tokens_;
    Request.Account_ = Stream.Account_;
    Request.Daemon_ = DaemonIndex(Random_);
    Request.Digest_ = std::to_string(Random_());
    std::size_t Index = Requests_.size();
    Requests_.push_back(Request);
    schedule(Time, [this, Index] { handleArrival(Index); });
  }
  LastArrival_ = std::max(LastArrival_, Stream.EndSeconds_);
}

void FleetModel::addSlowPeriod(int Index, double BeginSeconds,
                               double EndSeconds, double Factor) {
  Targets_[static_cast<std::size_t>(Index)]->SlowPeriods_.push_back(
      {BeginSeconds, EndSeconds, Factor});
}

void FleetModel::addFailurePeriod(int Index, double BeginSeconds,
                                  double EndSeconds) {
  Targets_[static_cast<std::size_t>(Index)]->FailurePeriods_.push_back(
      {BeginSeconds, EndSeconds, 0});
}

void FleetModel::schedule(double Time, Event Run) {
  Events_.emplace(timeAt(Time), std::move(Run));
}

double FleetModel::seconds() const { return toSeconds(Now_ - Origin); }

void FleetModel::run() {
  ActiveAttempts_.resize(Requests_.size());
  double End = LastArrival_ + toSeconds(Settings_.Deadline_) + 1;
  for (std::size_t I = 0; I < Daemons_.size(); ++I)
    for (double Time = 0.1 * double(I); Time < End; Time += 1)
      schedule(Time, [this, I] { pollLoadReports(*Daemons_[I]); });
  while (!Events_.empty()) {
    auto Next = Events_.extract(Events_.begin());
    Now_ = Next.key();
    Next.mapped()();
    if (Settings_.UseAdmission_)
      for (auto &Sender : Daemons_)
        decideQueued(*Sender);
  }
}

void FleetModel::handleArrival(std::size_t Index) {
  ModelRequest &Request = Requests_[Index];
  Daemon &Sender = *Daemons_[static_cast<std::size_t>(Request.Daemon_)];
  double Deadline = Request.Arrival_ + toSeconds(Settings_.Deadline_);
  if (!Settings_.UseAdmission_) {
    Request.Accepted_ = true;
    schedule(Deadline, [this, Index] { end(Index, false); });
    startAttempt(Index, {});
    return;
  }
  AdmissionRequest Admitting;
  Admitting.Service_ = Document_.Name_;
  Admitting.Account_ = Request.Account_;
  Admitting.MaxTokens_ = Request.Tokens_;
  Admitting.Deadline_ = timeAt(Deadline);
  Admission::PendingRequest Pending = Sender.Admission_.enqueue(Admitting);
  // An event at this time makes run() call decideQueued() when the wait ends.
  Events_.emplace(Pending.latestStart(), [] {});
  schedule(Deadline, [this, Index] { end(Index, false); });
  Sender.Queued_.emplace_back(Index, std::move(Pending));
}

void FleetModel::decideQueued(Daemon &Sender) {
  for (std::size_t I = 0; I < Sender.Queued_.size();) {
    auto &[Index, Pending] = Sender.Queued_[I];
    if (!Sender.Admission_.isDecided(Pending) && Now_ < Pending.latestStart()) {
      ++I;
      continue;
    }
    std::size_t Request = Index;
    auto Decision = Sender.Admission_.takeDecision(std::move(Pending));
    Sender.Queued_.erase(Sender.Queued_.begin() +
                         static_cast<std::ptrdiff_t>(I));
    if (!Decision.Permit_)
      continue;
    Requests_[Request].Accepted_ = true;
    Permits_[Request] = std::move(Decision.Permit_);
    startAttempt(Request, {});
  }
}

void FleetModel::startAttempt(std::size_t Index,
                              std::vector<std::string> Tried) {
  ModelRequest &Request = Requests_[Index];
  if (Request.End_ > 0)
    return;
  Daemon &Sender = *Daemons_[static_cast<std::size_t>(Request.Daemon_)];
  RouteQuery Query;
  for (const state::Target &Choosable : Document_.Targets_)
    Query.Targets_.push_back(&Choosable);
  Query.Work_ = stageWork(state::StageKind::Generate, Request.Tokens_);
  Query.InputDigest_ = Request.Digest_;
  Query.TriedTargets_ = std::move(Tried);
  Query.TimeLeft_ = Settings_.Deadline_;
  Router &Chooser = Settings_.UsePrediction_
                        ? static_cast<Router &>(Sender.Predicted_)
                        : Sender.Random_;
  auto Choice = Chooser.choose(Query);
  if (!Choice)
    return;
  std::string Name = Choice->Target_->Name_;
  auto Candidates = rankedCandidates(Query.Targets_, Query.InputDigest_, 2);
  bool IsCandidate = std::find(Candidates.begin(), Candidates.end(),
                               Choice->Target_) != Candidates.end();
  AtCandidates_ += Request.Attempts_ == 0 && IsCandidate;
  launchAttempt(Index, std::stoi(Name.substr(1)));
  auto HedgeDelay =
      Sender.Statistics_.quantile(std::to_string(Request.Tokens_), 0.95);
  if (Settings_.UsePrediction_ && HedgeDelay && Request.End_ == 0)
    schedule(seconds() + std::chrono::duration<double>(*HedgeDelay).count(),
             [this, Index, Name] { startHedge(Index, Name); });
}

void FleetModel::startHedge(std::size_t Index, const std::string &Tried) {
  ModelRequest &Request = Requests_[Index];
  Daemon &Sender = *Daemons_[static_cast<std::size_t>(Request.Daemon_)];
  if (Request.End_ > 0 || ActiveAttempts_[Index].size() != 1)
    return;
  if (Sender.Budget_.tryTakeAboveReserve(HedgeReserve))
    startAttempt(Index, {Tried});
}

void FleetModel::launchAttempt(std::size_t Index, int Chosen) {
  ModelRequest &Request = Requests_[Index];
  Target &Destination = *Targets_[static_cast<std::size_t>(Chosen)];
  double Work = stageWork(state::StageKind::Generate, Request.Tokens_);
  auto Run = std::make_shared<Attempt>();
  Run->Request_ = Index;
  Run->Target_ = Chosen;
  Run->Id_ = Daemons_[static_cast<std::size_t>(Request.Daemon_)]->Table_.begin(
      Document_.Targets_[static_cast<std::size_t>(Chosen)].Address_,
      WorkClass::Generate, Work);
  ++Request.Attempts_;
  ActiveAttempts_[Index].push_back(Run);
  Destination.Starts_.push_back(seconds());
  auto HeldPermit = Permits_.find(Index);
  if (HeldPermit != Permits_.end())
    Run->Priority_ = HeldPermit->second.grant().Priority_;
  auto InsertPosition = std::find_if(
      Destination.Queue_.begin(), Destination.Queue_.end(),
      [&](const auto &Other) { return Other->Priority_ < Run->Priority_; });
  Destination.Queue_.insert(InsertPosition, Run);
  Destination.Work_ += Request.Tokens_;
  LongestQueue_ =
      std::max(LongestQueue_, static_cast<int>(Destination.Queue_.size()));
  if (factorAt(Destination.FailurePeriods_, seconds()) == 0) {
    schedule(seconds() + 0.001, [this, Run] { finishAttempt(Run, false); });
    return;
  }
  startQueuedAttempts(Chosen);
}

void FleetModel::startQueuedAttempts(int Index) {
  Target &Modelled = *Targets_[static_cast<std::size_t>(Index)];
  while (Modelled.Running_ < Settings_.Slots_ && !Modelled.Queue_.empty()) {
    auto Run = Modelled.Queue_.front();
    Modelled.Queue_.pop_front();
    Run->Running_ = true;
    ++Modelled.Running_;
    double ServiceSeconds = Requests_[Run->Request_].Tokens_ *
                            Settings_.TokenSeconds_ *
                            factorAt(Modelled.SlowPeriods_, seconds());
    schedule(seconds() + ServiceSeconds,
             [this, Run] { finishAttempt(Run, true); });
  }
  recordLoad(Modelled);
}

void FleetModel::cancelAttempt(const std::shared_ptr<Attempt> &Run) {
  Target &Source = *Targets_[static_cast<std::size_t>(Run->Target_)];
  Run->Ended_ = true;
  Source.Work_ -= Requests_[Run->Request_].Tokens_;
  if (Run->Running_)
    --Source.Running_;
  else
    std::erase(Source.Queue_, Run);
  std::erase(ActiveAttempts_[Run->Request_], Run);
}

void FleetModel::finishAttempt(const std::shared_ptr<Attempt> &Run, bool Ok) {
  if (Run->Ended_)
    return;
  std::size_t Index = Run->Request_;
  ModelRequest &Request = Requests_[Index];
  Daemon &Sender = *Daemons_[static_cast<std::size_t>(Request.Daemon_)];
  const state::Target &AttemptTarget =
      Document_.Targets_[static_cast<std::size_t>(Run->Target_)];
  cancelAttempt(Run);
  Sender.Table_.end(AttemptTarget.Address_, Run->Id_,
                    Ok ? AttemptEnd::Success : AttemptEnd::Failure,
                    stageWork(state::StageKind::Generate, Request.Tokens_));
  if (Ok) {
    Sender.Budget_.onSuccess();
    Sender.Statistics_.record(std::to_string(Request.Tokens_),
                              std::chrono::duration_cast<Microseconds>(
                                  Now_ - timeAt(Request.Arrival_)));
    end(Index, true);
  } else if (ActiveAttempts_[Index].empty()) {
    if (Request.Attempts_ < MaxAttempts && Sender.Budget_.tryTake()) {
      std::uniform_real_distribution<double> Backoff(
          0, 0.01 * (1 << Request.Attempts_));
      schedule(seconds() + Backoff(Random_),
               [this, Index, Name = AttemptTarget.Name_] {
                 startAttempt(Index, {Name});
               });
    } else {
      end(Index, false);
    }
  }
  startQueuedAttempts(Run->Target_);
}

void FleetModel::end(std::size_t Index, bool Completed) {
  ModelRequest &Request = Requests_[Index];
  if (Request.End_ > 0)
    return;
  Request.End_ = seconds();
  Request.Completed_ = Completed;
  Daemon &Sender = *Daemons_[static_cast<std::size_t>(Request.Daemon_)];
  auto Remaining = ActiveAttempts_[Index];
  for (const auto &Run : Remaining) {
    cancelAttempt(Run);
    Sender.Table_.end(
        Document_.Targets_[static_cast<std::size_t>(Run->Target_)].Address_,
        Run->Id_, AttemptEnd::Ignored, 0);
    startQueuedAttempts(Run->Target_);
  }
  auto HeldPermit = Permits_.extract(Index);
  if (!HeldPermit.empty() && Completed)
    HeldPermit.mapped().complete({static_cast<double>(Request.Tokens_), {}});
}

void FleetModel::recordLoad(Target &Modelled) {
  Modelled.History_.push_back({Now_, Modelled.Work_, Modelled.Running_});
  while (Modelled.History_.size() > 1 &&
         Modelled.History_[1].Time_ <= Now_ - Settings_.ReportLag_)
    Modelled.History_.pop_front();
}

void FleetModel::pollLoadReports(Daemon &Sender) {
  for (std::size_t I = 0; I < Targets_.size(); ++I) {
    Target &Modelled = *Targets_[I];
    SteadyTime Measured = Now_ - Settings_.ReportLag_;
    auto NextSample = std::upper_bound(
        Modelled.History_.begin(), Modelled.History_.end(), Measured,
        [](SteadyTime Time, const Target::Sample &Recorded) {
          return Time < Recorded.Time_;
        });
    if (NextSample == Modelled.History_.begin())
      continue;
    const Target::Sample &ReportedSample = *std::prev(NextSample);
    LoadReport Report;
    Report.QueuedWork_ = ReportedSample.Work_;
    Report.Running_ = ReportedSample.Running_;
    Report.WorkPerSecond_ =
        Settings_.Slots_ / Settings_.TokenSeconds_ /
        factorAt(Modelled.SlowPeriods_, toSeconds(Measured - Origin));
    Report.Age_ = Settings_.ReportLag_;
    Sender.Table_.onLoadReport(Document_.Targets_[I].Address_, Report);
  }
}

double FleetModel::quantile(double Share, double BeginSeconds,
                            double EndSeconds, int Tokens) const {
  std::vector<double> Latencies;
  for (const ModelRequest &Request : Requests_)
    if (Request.Tokens_ == Tokens && Request.Arrival_ >= BeginSeconds &&
        Request.Arrival_ < EndSeconds)
      Latencies.push_back(Request.Completed_ ? Request.End_ - Request.Arrival_
                                             : toSeconds(Settings_.Deadline_));
  std::sort(Latencies.begin(), Latencies.end());
  return Latencies.at(
      static_cast<std::size_t>(Share * double(Latencies.size())));
}

double FleetModel::goodput(double BeginSeconds, double EndSeconds) const {
  double Work = 0;
  for (const ModelRequest &Request : Requests_)
    if (Request.Completed_ && Request.End_ >= BeginSeconds &&
        Request.End_ < EndSeconds)
      Work += Request.Tokens_;
  double Capacity =
      Settings_.Targets_ * Settings_.Slots_ / Settings_.TokenSeconds_;
  return Work / Capacity / (EndSeconds - BeginSeconds);
}

double FleetModel::attainment(const std::string &Account) const {
  double Accepted = 0;
  double Completed = 0;
  for (const ModelRequest &Request : Requests_) {
    if (Request.Account_ != Account || !Request.Accepted_)
      continue;
    Accepted += 1;
    Completed += Request.Completed_;
  }
  return Completed / Accepted;
}

double FleetModel::completedShare(const std::string &Account) const {
  double All = 0;
  double Completed = 0;
  for (const ModelRequest &Request : Requests_) {
    All += Request.Account_ == Account;
    Completed += Request.Account_ == Account && Request.Completed_;
  }
  return Completed / All;
}

double FleetModel::extraWork() const {
  double Extra = 0;
  for (const ModelRequest &Request : Requests_)
    Extra += std::max(0, Request.Attempts_ - 1);
  return Extra / double(Requests_.size());
}

double FleetModel::candidateShare() const {
  return AtCandidates_ / double(Requests_.size());
}

int FleetModel::attemptsAt(int Index, double BeginSeconds,
                           double EndSeconds) const {
  const auto &Starts = Targets_[static_cast<std::size_t>(Index)]->Starts_;
  return static_cast<int>(
      std::count_if(Starts.begin(), Starts.end(), [=](double Time) {
        return Time >= BeginSeconds && Time < EndSeconds;
      }));
}

} // namespace amaranth::testing
