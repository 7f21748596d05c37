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

struct Period {
  double From_ = 0;
  double To_ = 0;
  double Factor_ = 1;
};

double factorAt(const std::vector<Period> &Periods, double Time) {
  for (const Period &One : Periods)
    if (Time >= One.From_ && Time < One.To_)
      return One.Factor_;
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
  std::vector<Period> Slow_;
  std::vector<Period> Fails_;
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
  std::vector<std::pair<std::size_t, Admission::Queued>> Queued_;
};

FleetModel::FleetModel(const ModelSettings &Settings)
    : Settings_(Settings), Random_(Settings.Seed_),
      Document_(makeDocument(Settings.Targets_, {state::StageKind::Generate})) {
  for (int I = 0; I < Settings_.Targets_; ++I) {
    Targets_.push_back(std::make_unique<Target>());
    noteLoad(*Targets_.back());
  }
  for (int I = 0; I < Settings_.Daemons_; ++I)
    Daemons_.push_back(std::make_unique<Daemon>(*this, Settings_.Seed_ + I));
}

FleetModel::~FleetModel() { Permits_.clear(); }

void FleetModel::add(const Arrivals &Stream) {
  std::exponential_distribution<double> Gap(Stream.PerSecond_);
  std::uniform_int_distribution<int> Host(0, Settings_.Daemons_ - 1);
  double Time = Stream.From_;
  while ((Time += Gap(Random_)) < Stream.To_) {
    ModelRequest Request;
    Request.Arrival_ = Time;
    Request.Tokens_ = Stream.Tokens_;
    Request.Account_ = Stream.Account_;
    Request.Daemon_ = Host(Random_);
    Request.Digest_ = std::to_string(Random_());
    std::size_t Index = Requests_.size();
    Requests_.push_back(Request);
    at(Time, [this, Index] { arrive(Index); });
  }
  LastArrival_ = std::max(LastArrival_, Stream.To_);
}

void FleetModel::slow(int Index, double From, double To, double Factor) {
  Targets_[static_cast<std::size_t>(Index)]->Slow_.push_back(
      {From, To, Factor});
}

void FleetModel::failFast(int Index, double From, double To) {
  Targets_[static_cast<std::size_t>(Index)]->Fails_.push_back({From, To, 0});
}

void FleetModel::at(double Time, Event Run) {
  Events_.emplace(timeAt(Time), std::move(Run));
}

double FleetModel::seconds() const { return toSeconds(Now_ - Origin); }

void FleetModel::run() {
  Live_.resize(Requests_.size());
  double End = LastArrival_ + toSeconds(Settings_.Deadline_) + 1;
  for (std::size_t I = 0; I < Daemons_.size(); ++I)
    for (double Time = 0.1 * double(I); Time < End; Time += 1)
      at(Time, [this, I] { poll(*Daemons_[I]); });
  while (!Events_.empty()) {
    auto Next = Events_.extract(Events_.begin());
    Now_ = Next.key();
    Next.mapped()();
    if (Settings_.Admit_)
      for (auto &Host : Daemons_)
        settleQueued(*Host);
  }
}

void FleetModel::arrive(std::size_t Index) {
  ModelRequest &Request = Requests_[Index];
  Daemon &Host = *Daemons_[static_cast<std::size_t>(Request.Daemon_)];
  double Deadline = Request.Arrival_ + toSeconds(Settings_.Deadline_);
  if (!Settings_.Admit_) {
    Request.Accepted_ = true;
    at(Deadline, [this, Index] { end(Index, false); });
    start(Index, {});
    return;
  }
  AdmissionRequest Asked;
  Asked.Service_ = Document_.Name_;
  Asked.Account_ = Request.Account_;
  Asked.MaxTokens_ = Request.Tokens_;
  Asked.Deadline_ = timeAt(Deadline);
  Admission::Queued Pending = Host.Admission_.enqueue(Asked);
  // An event at this time lets settleQueued() see the end of the wait.
  Events_.emplace(Pending.latestStart(), [] {});
  at(Deadline, [this, Index] { end(Index, false); });
  Host.Queued_.emplace_back(Index, std::move(Pending));
}

void FleetModel::settleQueued(Daemon &Host) {
  for (std::size_t I = 0; I < Host.Queued_.size();) {
    auto &[Index, Pending] = Host.Queued_[I];
    if (!Host.Admission_.decided(Pending) && Now_ < Pending.latestStart()) {
      ++I;
      continue;
    }
    std::size_t Request = Index;
    auto Decided = Host.Admission_.settle(std::move(Pending));
    Host.Queued_.erase(Host.Queued_.begin() + static_cast<std::ptrdiff_t>(I));
    if (!Decided.Permit_)
      continue;
    Requests_[Request].Accepted_ = true;
    Permits_[Request] = std::move(Decided.Permit_);
    start(Request, {});
  }
}

void FleetModel::start(std::size_t Index, std::vector<std::string> Tried) {
  ModelRequest &Request = Requests_[Index];
  if (Request.End_ > 0)
    return;
  Daemon &Host = *Daemons_[static_cast<std::size_t>(Request.Daemon_)];
  RouteQuery Query;
  for (const state::Target &One : Document_.Targets_)
    Query.Targets_.push_back(&One);
  Query.Work_ = stageWork(state::StageKind::Generate, Request.Tokens_);
  Query.InputDigest_ = Request.Digest_;
  Query.Tried_ = std::move(Tried);
  Query.TimeLeft_ = Settings_.Deadline_;
  Router &Chooser = Settings_.Predicted_
                        ? static_cast<Router &>(Host.Predicted_)
                        : Host.Random_;
  auto Choice = Chooser.choose(Query);
  if (!Choice)
    return;
  std::string Name = Choice->Target_->Name_;
  auto Candidates = rankedCandidates(Query.Targets_, Query.InputDigest_, 2);
  bool IsCandidate = std::find(Candidates.begin(), Candidates.end(),
                               Choice->Target_) != Candidates.end();
  AtCandidates_ += Request.Attempts_ == 0 && IsCandidate;
  launch(Index, std::stoi(Name.substr(1)));
  auto Slow = Host.Statistics_.quantile(std::to_string(Request.Tokens_), 0.95);
  if (Settings_.Predicted_ && Slow && Request.End_ == 0)
    at(seconds() + std::chrono::duration<double>(*Slow).count(),
       [this, Index, Name] { hedge(Index, Name); });
}

void FleetModel::hedge(std::size_t Index, const std::string &Tried) {
  ModelRequest &Request = Requests_[Index];
  Daemon &Host = *Daemons_[static_cast<std::size_t>(Request.Daemon_)];
  if (Request.End_ > 0 || Live_[Index].size() != 1)
    return;
  if (Host.Budget_.tryTakeKeeping(HedgeReserve))
    start(Index, {Tried});
}

void FleetModel::launch(std::size_t Index, int Chosen) {
  ModelRequest &Request = Requests_[Index];
  Target &To = *Targets_[static_cast<std::size_t>(Chosen)];
  double Work = stageWork(state::StageKind::Generate, Request.Tokens_);
  auto Run = std::make_shared<Attempt>();
  Run->Request_ = Index;
  Run->Target_ = Chosen;
  Run->Id_ = Daemons_[static_cast<std::size_t>(Request.Daemon_)]->Table_.begin(
      Document_.Targets_[static_cast<std::size_t>(Chosen)].Address_,
      WorkClass::Generate, Work);
  ++Request.Attempts_;
  Live_[Index].push_back(Run);
  To.Starts_.push_back(seconds());
  auto Held = Permits_.find(Index);
  if (Held != Permits_.end())
    Run->Priority_ = Held->second.grant().Priority_;
  auto Behind =
      std::find_if(To.Queue_.begin(), To.Queue_.end(), [&](const auto &Other) {
        return Other->Priority_ < Run->Priority_;
      });
  To.Queue_.insert(Behind, Run);
  To.Work_ += Request.Tokens_;
  LongestQueue_ = std::max(LongestQueue_, static_cast<int>(To.Queue_.size()));
  if (factorAt(To.Fails_, seconds()) == 0) {
    at(seconds() + 0.001, [this, Run] { finish(Run, false); });
    return;
  }
  pump(Chosen);
}

void FleetModel::pump(int Index) {
  Target &One = *Targets_[static_cast<std::size_t>(Index)];
  while (One.Running_ < Settings_.Slots_ && !One.Queue_.empty()) {
    auto Run = One.Queue_.front();
    One.Queue_.pop_front();
    Run->Running_ = true;
    ++One.Running_;
    double Service = Requests_[Run->Request_].Tokens_ *
                     Settings_.TokenSeconds_ * factorAt(One.Slow_, seconds());
    at(seconds() + Service, [this, Run] { finish(Run, true); });
  }
  noteLoad(One);
}

void FleetModel::cancel(const std::shared_ptr<Attempt> &Run) {
  Target &From = *Targets_[static_cast<std::size_t>(Run->Target_)];
  Run->Ended_ = true;
  From.Work_ -= Requests_[Run->Request_].Tokens_;
  if (Run->Running_)
    --From.Running_;
  else
    std::erase(From.Queue_, Run);
  std::erase(Live_[Run->Request_], Run);
}

void FleetModel::finish(const std::shared_ptr<Attempt> &Run, bool Ok) {
  if (Run->Ended_)
    return;
  std::size_t Index = Run->Request_;
  ModelRequest &Request = Requests_[Index];
  Daemon &Host = *Daemons_[static_cast<std::size_t>(Request.Daemon_)];
  const state::Target &To =
      Document_.Targets_[static_cast<std::size_t>(Run->Target_)];
  cancel(Run);
  Host.Table_.end(To.Address_, Run->Id_,
                  Ok ? AttemptEnd::Success : AttemptEnd::Failure,
                  stageWork(state::StageKind::Generate, Request.Tokens_));
  if (Ok) {
    Host.Budget_.onSuccess();
    Host.Statistics_.record(std::to_string(Request.Tokens_),
                            std::chrono::duration_cast<Microseconds>(
                                Now_ - timeAt(Request.Arrival_)));
    end(Index, true);
  } else if (Live_[Index].empty()) {
    if (Request.Attempts_ < MaxAttempts && Host.Budget_.tryTake()) {
      std::uniform_real_distribution<double> Backoff(
          0, 0.01 * (1 << Request.Attempts_));
      at(seconds() + Backoff(Random_),
         [this, Index, Name = To.Name_] { start(Index, {Name}); });
    } else {
      end(Index, false);
    }
  }
  pump(Run->Target_);
}

void FleetModel::end(std::size_t Index, bool Completed) {
  ModelRequest &Request = Requests_[Index];
  if (Request.End_ > 0)
    return;
  Request.End_ = seconds();
  Request.Completed_ = Completed;
  Daemon &Host = *Daemons_[static_cast<std::size_t>(Request.Daemon_)];
  auto Others = Live_[Index];
  for (const auto &Run : Others) {
    cancel(Run);
    Host.Table_.end(
        Document_.Targets_[static_cast<std::size_t>(Run->Target_)].Address_,
        Run->Id_, AttemptEnd::Ignored, 0);
    pump(Run->Target_);
  }
  auto Held = Permits_.extract(Index);
  if (!Held.empty() && Completed)
    Held.mapped().complete(Request.Tokens_);
}

void FleetModel::noteLoad(Target &One) {
  One.History_.push_back({Now_, One.Work_, One.Running_});
  while (One.History_.size() > 1 &&
         One.History_[1].Time_ <= Now_ - Settings_.ReportLag_)
    One.History_.pop_front();
}

void FleetModel::poll(Daemon &Host) {
  for (std::size_t I = 0; I < Targets_.size(); ++I) {
    Target &One = *Targets_[I];
    SteadyTime Measured = Now_ - Settings_.ReportLag_;
    auto After =
        std::upper_bound(One.History_.begin(), One.History_.end(), Measured,
                         [](SteadyTime Time, const Target::Sample &Known) {
                           return Time < Known.Time_;
                         });
    if (After == One.History_.begin())
      continue;
    const Target::Sample &Then = *std::prev(After);
    LoadReport Report;
    Report.QueuedWork_ = Then.Work_;
    Report.Running_ = Then.Running_;
    Report.WorkPerSecond_ = Settings_.Slots_ / Settings_.TokenSeconds_ /
                            factorAt(One.Slow_, toSeconds(Measured - Origin));
    Report.Age_ = Settings_.ReportLag_;
    Host.Table_.onLoadReport(Document_.Targets_[I].Address_, Report);
  }
}

double FleetModel::quantile(double Share, double From, double To,
                            int Tokens) const {
  std::vector<double> Latencies;
  for (const ModelRequest &Request : Requests_)
    if (Request.Tokens_ == Tokens && Request.Arrival_ >= From &&
        Request.Arrival_ < To)
      Latencies.push_back(Request.Completed_ ? Request.End_ - Request.Arrival_
                                             : toSeconds(Settings_.Deadline_));
  std::sort(Latencies.begin(), Latencies.end());
  return Latencies.at(
      static_cast<std::size_t>(Share * double(Latencies.size())));
}

double FleetModel::goodput(double From, double To) const {
  double Work = 0;
  for (const ModelRequest &Request : Requests_)
    if (Request.Completed_ && Request.End_ >= From && Request.End_ < To)
      Work += Request.Tokens_;
  double Capacity =
      Settings_.Targets_ * Settings_.Slots_ / Settings_.TokenSeconds_;
  return Work / Capacity / (To - From);
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

double FleetModel::served(const std::string &Account) const {
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

int FleetModel::attemptsAt(int Index, double From, double To) const {
  const auto &Starts = Targets_[static_cast<std::size_t>(Index)]->Starts_;
  return static_cast<int>(
      std::count_if(Starts.begin(), Starts.end(),
                    [=](double Time) { return Time >= From && Time < To; }));
}

} // namespace amaranth::testing
