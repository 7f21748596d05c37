#include "Coordination/PipelineRunner.h"

#include "Coordination/AttemptPolicy.h"
#include "Support/Digest.h"
#include "Support/Log.h"

#include <algorithm>
#include <bit>
#include <condition_variable>
#include <thread>

namespace amaranth::coordination {

using protocol::OutcomeKind;
using protocol::PipelineData;
using protocol::StageCall;
using protocol::StageReply;
using protocol::StageStatus;
using state::StageKind;
using transport::CallFailure;

namespace {

/// Quantile of recent stage durations after which a hedge is started.
constexpr double HedgeQuantile = 0.95;

/// Shortest progress timeout of an attempt.
constexpr Milliseconds MinProgressTimeout{50};

/// Interval at which an input that waits for its repetition after a crash
/// checks whether another input has been found to be the cause.
constexpr Milliseconds RepeatCheckInterval{50};

Microseconds elapsed(SteadyTime Since) {
  return std::chrono::duration_cast<Microseconds>(SteadyClock::now() - Since);
}

/// Passes each token on once. When a stage restarts from its first token after
/// a corrupt attempt, the new tokens must equal those already passed on.
class TokenRelay final : public protocol::TokenListener {
public:
  explicit TokenRelay(protocol::TokenListener *Listener)
      : Listener_(Listener) {}

  bool onToken(int Index, const std::string &Text) override {
    auto Position = static_cast<std::size_t>(Index);
    if (Position < SentTokens_.size()) {
      Diverged_ = Diverged_ || SentTokens_[Position] != Text;
      return !Diverged_;
    }
    SentTokens_.push_back(Text);
    CallerDisconnected_ = !Listener_->onToken(Index, Text);
    return !CallerDisconnected_;
  }

  protocol::TokenListener *listener() { return Listener_ ? this : nullptr; }
  bool diverged() const { return Diverged_; }
  bool callerDisconnected() const { return CallerDisconnected_; }

private:
  protocol::TokenListener *Listener_;
  std::vector<std::string> SentTokens_;
  bool Diverged_ = false;
  bool CallerDisconnected_ = false;
};

/// State shared by the thread of a request and the task of its hedge.
struct HedgeState {
  std::mutex Mutex_;
  std::condition_variable Changed_;
  transport::CancelToken *Primary_ = nullptr; ///< Null once it has ended.
  transport::CancelToken Cancel_;
  bool Started_ = false;
  bool Finished_ = false;
  const state::Target *Target_ = nullptr; ///< Valid while the request runs.
  PipelineData Data_;
  StageReply Reply_;
  SteadyTime Start_;
  Microseconds Duration_{0};
};

/// Detaches a hedge from its request at the end of the attempt, also on an
/// exception, so that it never cancels a primary attempt that no longer exists.
class HedgeDetacher final {
public:
  explicit HedgeDetacher(HedgeState &Hedge) : Hedge_(Hedge) {}
  ~HedgeDetacher() {
    std::lock_guard Lock(Hedge_.Mutex_);
    Hedge_.Primary_ = nullptr;
    Hedge_.Cancel_.cancel();
  }
  HedgeDetacher(const HedgeDetacher &) = delete;
  HedgeDetacher &operator=(const HedgeDetacher &) = delete;

private:
  HedgeState &Hedge_;
};

} // namespace

/// Runs one stage of one request.
class PipelineRunner::StageRun final {
public:
  StageRun(PipelineRunner &Runner, const state::ServiceDocument &Document,
           const state::Stage &Stage, const PipelineRequest &Request,
           const std::string &Digest, int StageIndex, PipelineResult &Result)
      : Runner_(Runner), Parts_(Runner.Parts_), Document_(Document),
        Stage_(Stage), Request_(Request), Digest_(Digest),
        StageIndex_(StageIndex), Result_(Result), Data_(Result.Data_),
        Relay_(Request.Listener_) {
    Cost_.Stage_ = Stage.Name_;
  }

  /// True when the stage is complete; otherwise Result_ holds the refusal.
  bool run() {
    bool IsComplete = runAttempts();
    Result_.Stages_.push_back(Cost_);
    return IsComplete;
  }

private:
  /// An ended attempt.
  struct Attempt {
    const state::Target *Target_ = nullptr;
    StageReply Reply_;
    Microseconds Duration_{0};
    /// Duration for the statistics: a lower bound of the duration without a
    /// hedge. Recording the hedge's own duration would lower the quantile that
    /// starts hedges, and so start ever more of them.
    Microseconds UnhedgedDuration_{0};
  };

  bool runAttempts() {
    int Retries = 0;
    while (true) {
      if (remaining(Request_.Deadline_).count() == 0)
        return refuse(504, "deadline exceeded" + lastFailureText());
      if (Parts_.Suspects_.inputStatus(Digest_) == InputStatus::Refused)
        return refuse(422, "the input crashed as many targets as it may");
      std::optional<Route> Choice = choose(TriedTargets_, predictedWork());
      if (!Choice)
        return refuse(503, "no target may run the stage" + lastFailureText());
      SteadyTime AttemptStart = SteadyClock::now();
      Attempt Ended = attempt(*Choice->Target_);
      if (Ended.Reply_.Status_ == StageStatus::Ok)
        return succeed(Ended);
      Cost_.Wasted_ += Ended.Duration_;
      LastReply_ = Ended.Reply_;
      TriedTargets_.push_back(Ended.Target_->Name_);
      if (!isKnownNotRun(Ended.Reply_))
        MayHaveRun_ = true;
      logFailure(Ended);
      if (Relay_.callerDisconnected())
        return refuse(499, "the caller is gone");
      if (Relay_.diverged())
        return refuse(502, "a repeated stream differs from the text sent");
      if (Ended.Reply_.Status_ == StageStatus::Rejected)
        return refuse(422, "the target rejected the input" + lastFailureText());
      if (Ended.Reply_.Status_ == StageStatus::Corrupt)
        restartOutput();
      if (Cost_.Attempts_ >= Runner_.Settings_.MaxAttempts_)
        return refuse(503, "no attempt succeeded" + lastFailureText());
      if (!tryRetry(Ended.Reply_))
        return refuse(503, "retry budget used up" + lastFailureText());
      if (!waitBeforeRetry(Ended.Reply_, Retries++))
        return refuse(504, "deadline exceeded" + lastFailureText());
      if (Ended.Reply_.Status_ != StageStatus::Overloaded)
        Cost_.Lost_ += elapsed(AttemptStart);
    }
  }

  std::optional<Route> choose(const std::vector<std::string> &TriedTargets,
                              double Work) {
    RouteQuery Query;
    for (const std::string &Name : Stage_.Targets_)
      if (const state::Target *Found = Document_.findTarget(Name))
        Query.Targets_.push_back(Found);
    Query.Class_ = workClass(Stage_.Kind_);
    Query.Work_ = Work;
    Query.Place_ =
        Request_.Priority_ > 0 ? QueuePlace::Front : QueuePlace::Back;
    Query.InputDigest_ = Digest_;
    Query.TriedTargets_ = TriedTargets;
    Query.TimeLeft_ = remaining(Request_.Deadline_);
    std::vector<std::string> Crashed = Parts_.Suspects_.crashedTargets(Digest_);
    Query.Suspect_ =
        Parts_.Suspects_.inputStatus(Digest_) != InputStatus::Clear;
    auto Choice = Parts_.Router_.choose(Query);
    if (Choice)
      return Choice;
    // When all targets were tried, those that did not crash may be tried again.
    Query.TriedTargets_ = std::move(Crashed);
    return Parts_.Router_.choose(Query);
  }

  double predictedWork() const {
    double Tokens = Request_.PredictedTokens_ > 0 ? Request_.PredictedTokens_
                                                  : Request_.MaxTokens_;
    return stageWork(Stage_.Kind_, Tokens - Data_.Tokens_);
  }

  /// Durations are compared only among stages of similar size.
  std::string statisticsKey() const {
    auto Size = std::bit_width(static_cast<unsigned>(predictedWork()));
    return Document_.Name_ + "/" + Stage_.Name_ + "/" + std::to_string(Size);
  }

  protocol::StageClient &client() const {
    return Stage_.Kind_ == StageKind::Generate ? Parts_.Engines_
                                               : Parts_.Pools_;
  }

  StageCall stageCall(const state::Target &Target,
                      transport::CancelToken &Cancel) {
    StageCall Call;
    Call.RequestId_ = Request_.RequestId_ + "/" + std::to_string(StageIndex_) +
                      "/" + std::to_string(Cost_.Attempts_);
    Call.TraceParent_ = Request_.TraceParent_;
    Call.Target_ = Target;
    Call.Stage_ = Stage_;
    Call.Priority_ = Request_.Priority_;
    Call.Deadline_ = Request_.Deadline_;
    // Leaves time for another attempt when the target is silent.
    Call.ProgressTimeout_ = std::clamp(
        remaining(Request_.Deadline_) / 2, MinProgressTimeout,
        std::max(MinProgressTimeout, Runner_.Settings_.ProgressTimeout_));
    Call.FreshConnection_ = Cost_.Attempts_ > 0;
    Call.Cancel_ = &Cancel;
    return Call;
  }

  /// Runs one attempt and, if it is slow, a hedge beside it.
  Attempt attempt(const state::Target &Target) {
    transport::CancelToken Cancel;
    StageCall Call = stageCall(Target, Cancel);
    ++Cost_.Attempts_;
    auto Hedge = std::make_shared<HedgeState>();
    Hedge->Primary_ = &Cancel;
    HedgeDetacher Detacher(*Hedge);
    transport::TimerSubscription Timer = scheduleHedge(Hedge, Target);
    Attempt Primary;
    Primary.Target_ = &Target;
    SteadyTime StartTime = SteadyClock::now();
    Primary.Reply_ = runTracked(Parts_, client(), Call, Data_,
                                Relay_.listener(), predictedWork());
    Primary.Duration_ = elapsed(StartTime);
    Primary.UnhedgedDuration_ = Primary.Duration_;
    Timer.cancel();
    updateSuspects(Target, Primary.Reply_, Primary.Duration_);
    return resolveHedge(*Hedge, std::move(Primary));
  }

  /// Runs an attempt and records it in the target table.
  static StageReply runTracked(const PipelineDependencies &Parts,
                               protocol::StageClient &Client,
                               const StageCall &Call, PipelineData &Data,
                               protocol::TokenListener *Listener, double Work) {
    int TokensBefore = Data.Tokens_;
    CountedAttempt TrackedAttempt(Parts.Targets_, Call.Target_.Address_,
                                  workClass(Call.Stage_.Kind_), Work);
    StageReply Reply = Client.run(Call, Data, Listener);
    TrackedAttempt.end(
        attemptEnd(Reply, Call.Deadline_),
        stageWork(Call.Stage_.Kind_, Data.Tokens_ - TokensBefore));
    return Reply;
  }

  /// Reports the end of an attempt to the registry of suspect inputs.
  void updateSuspects(const state::Target &Target, const StageReply &Reply,
                      Microseconds RunTime) {
    if (Reply.Status_ == StageStatus::Ok)
      Parts_.Suspects_.onCompleted(Digest_, Target.Name_);
    bool ConnectionRefused = Reply.Status_ == StageStatus::NoReply &&
                             Reply.Failure_ == CallFailure::NotSent &&
                             remaining(Request_.Deadline_).count() > 0;
    if (wasReset(Reply)) {
      Parts_.Suspects_.onConnectionReset(
          Digest_, Target.Name_, std::chrono::floor<Milliseconds>(RunTime));
      const auto &AcceptsConnections = Runner_.Settings_.Answers_;
      ConnectionRefused = AcceptsConnections && !AcceptsConnections(Target);
    }
    if (ConnectionRefused)
      Parts_.Suspects_.onConnectionRefused(Target.Name_);
  }

  transport::TimerSubscription
  scheduleHedge(const std::shared_ptr<HedgeState> &Hedge,
                const state::Target &Primary) {
    if (!Runner_.Settings_.Hedge_ || Request_.Listener_)
      return {};
    if (Parts_.Suspects_.inputStatus(Digest_) != InputStatus::Clear)
      return {};
    auto SlowDuration =
        Parts_.Statistics_.quantile(statisticsKey(), HedgeQuantile);
    if (!SlowDuration)
      return {};
    auto Delay = std::max(Runner_.Settings_.MinHedgeDelay_,
                          std::chrono::ceil<Milliseconds>(*SlowDuration));
    if (Delay >= remaining(Request_.Deadline_))
      return {};
    // A copy, because a cancelled hedge can outlive the request. It is taken
    // now, because the primary attempt changes the original while it runs.
    Hedge->Data_ = Data_;
    auto StartTask = [this, Hedge, &Primary, Work = predictedWork()] {
      startHedge(Hedge, Primary, Work);
    };
    return Parts_.Timers_.schedule(Delay, std::move(StartTask));
  }

  /// Runs on the timer thread, while the primary attempt is still running: the
  /// subscription's cancel() waits for this call.
  void startHedge(const std::shared_ptr<HedgeState> &Hedge,
                  const state::Target &Primary, double Work) {
    std::vector<std::string> TriedTargets = TriedTargets_;
    TriedTargets.push_back(Primary.Name_);
    std::optional<Route> Choice = choose(TriedTargets, Work);
    if (!Choice || Choice->Target_ == &Primary)
      return;
    if (!Parts_.Budget_.tryTakeAboveReserve(Runner_.Settings_.HedgeReserve_))
      return;
    StageCall Call = stageCall(*Choice->Target_, Hedge->Cancel_);
    Call.FreshConnection_ = true;
    ++Cost_.Attempts_;
    ++Cost_.Hedges_;
    {
      std::lock_guard Lock(Hedge->Mutex_);
      Hedge->Started_ = true;
      Hedge->Start_ = SteadyClock::now();
      Hedge->Target_ = Choice->Target_;
    }
    Runner_.Hedges_.enqueue([Parts = Parts_, &Client = client(), Hedge,
                             Call = std::move(Call), Work] {
      PipelineData Data = Hedge->Data_;
      StageReply Reply = runTracked(Parts, Client, Call, Data, nullptr, Work);
      std::lock_guard Lock(Hedge->Mutex_);
      Hedge->Data_ = std::move(Data);
      Hedge->Reply_ = Reply;
      Hedge->Duration_ = elapsed(Hedge->Start_);
      Hedge->Finished_ = true;
      if (Reply.Status_ == StageStatus::Ok && Hedge->Primary_)
        Hedge->Primary_->cancel();
      Hedge->Changed_.notify_all();
    });
  }

  /// Returns the hedge if it succeeded and the primary attempt did not, else
  /// the primary attempt.
  Attempt resolveHedge(HedgeState &Hedge, Attempt Primary) {
    std::unique_lock Lock(Hedge.Mutex_);
    Hedge.Primary_ = nullptr;
    if (!Hedge.Started_)
      return Primary;
    if (Primary.Reply_.Status_ == StageStatus::Ok) {
      Hedge.Cancel_.cancel();
      Cost_.Wasted_ += elapsed(Hedge.Start_);
      return Primary;
    }
    Hedge.Changed_.wait_until(Lock, Request_.Deadline_,
                              [&] { return Hedge.Finished_; });
    if (!Hedge.Finished_) {
      Hedge.Cancel_.cancel();
      Cost_.Wasted_ += elapsed(Hedge.Start_);
      MayHaveRun_ = true;
      return Primary;
    }
    updateSuspects(*Hedge.Target_, Hedge.Reply_, Hedge.Duration_);
    if (Hedge.Reply_.Status_ != StageStatus::Ok) {
      Cost_.Wasted_ += Hedge.Duration_;
      MayHaveRun_ = MayHaveRun_ || !isKnownNotRun(Hedge.Reply_);
      TriedTargets_.push_back(Hedge.Target_->Name_);
      return Primary;
    }
    Cost_.Wasted_ += Primary.Duration_;
    Data_ = std::move(Hedge.Data_);
    Primary.Target_ = Hedge.Target_;
    Primary.Reply_ = Hedge.Reply_;
    Primary.UnhedgedDuration_ = std::max(Primary.Duration_, Hedge.Duration_);
    Primary.Duration_ = Hedge.Duration_;
    return Primary;
  }

  bool succeed(const Attempt &Succeeded) {
    Cost_.Target_ = Succeeded.Target_->Name_;
    Cost_.Useful_ = Succeeded.Duration_;
    Parts_.Budget_.onSuccess();
    Parts_.Statistics_.record(SuccessKey_, Succeeded.UnhedgedDuration_);
    return true;
  }

  /// Discards the output after a corrupt attempt, since none of it can be
  /// trusted.
  void restartOutput() {
    if (Stage_.Kind_ != StageKind::Generate)
      return;
    Data_.Output_.clear();
    Data_.Tokens_ = 0;
  }

  /// True if a retry is free or the budget allows it.
  bool tryRetry(const StageReply &Reply) {
    // A target that did not run the attempt did no work, so a retry elsewhere
    // costs no capacity. An overloaded target refuses for lack of capacity, and
    // unlimited retries would add to the overload.
    if (isKnownNotRun(Reply) && Reply.Status_ != StageStatus::Overloaded)
      return true;
    return Parts_.Budget_.tryTake();
  }

  /// Waits before a retry; false if the deadline comes first.
  bool waitBeforeRetry(const StageReply &Reply, int RetryIndex) {
    bool OtherTargets = TriedTargets_.size() < Stage_.Targets_.size();
    if (Reply.Status_ == StageStatus::Leaving && OtherTargets)
      return true;
    Milliseconds Delay = Runner_.Backoff_.next(RetryIndex);
    if (Delay >= remaining(Request_.Deadline_))
      return false;
    Runner_.Settings_.Sleep_(Delay);
    if (wasReset(Reply))
      waitForRepeatTurn();
    return true;
  }

  /// After a crash: waits for reports from peers, then for this input's turn
  /// among the inputs that were running at the same target.
  void waitForRepeatTurn() {
    SteadyTime ResetTime = SteadyClock::now();
    Milliseconds Waited{0};
    for (;;) {
      Milliseconds Delay = Parts_.Suspects_.repeatDelay(Digest_);
      if (Delay <= Waited || Delay >= remaining(Request_.Deadline_))
        return;
      Milliseconds Step = std::min(Delay - Waited, RepeatCheckInterval);
      Runner_.Settings_.Sleep_(Step);
      Waited = std::max(Waited + Step, std::chrono::floor<Milliseconds>(
                                           SteadyClock::now() - ResetTime));
    }
  }

  bool refuse(int Status, std::string Detail) {
    bool IsKnownNotRun = StageIndex_ == 0 && !MayHaveRun_;
    Result_.Outcome_ =
        IsKnownNotRun ? OutcomeKind::NotRun : OutcomeKind::Failed;
    Result_.Status_ = Status;
    Result_.Detail_ = "stage " + Stage_.Name_ + ": " + std::move(Detail);
    if (Status == 503)
      Result_.RetryAfter_ = Seconds{1};
    return false;
  }

  std::string lastFailureText() const {
    if (!LastReply_)
      return {};
    return " (last: " + LastReply_->Detail_ + ")";
  }

  void logFailure(const Attempt &FailedAttempt) const {
    LogEvent(LogLevel::Info, "attempt_failed")
        .field("request", Request_.RequestId_)
        .field("stage", Stage_.Name_)
        .field("target", FailedAttempt.Target_->Name_)
        .field("attempt", Cost_.Attempts_)
        .field("reason", FailedAttempt.Reply_.Detail_);
  }

  PipelineRunner &Runner_;
  const PipelineDependencies &Parts_;
  const state::ServiceDocument &Document_;
  const state::Stage &Stage_;
  const PipelineRequest &Request_;
  const std::string &Digest_;
  int StageIndex_;
  PipelineResult &Result_;
  PipelineData &Data_;
  TokenRelay Relay_;
  std::string SuccessKey_ = statisticsKey();
  StageCost Cost_;
  std::vector<std::string> TriedTargets_;
  std::optional<StageReply> LastReply_;
  bool MayHaveRun_ = false;
};

PipelineRunner::PipelineRunner(const PipelineDependencies &Parts,
                               PipelineRunnerSettings Settings)
    : Parts_(Parts), Settings_(std::move(Settings)),
      Backoff_(Settings_.BackoffBase_, Settings_.BackoffLimit_,
               Settings_.Seed_),
      Hedges_({Settings_.MaxHedges_}) {
  if (!Settings_.Sleep_)
    Settings_.Sleep_ = [](Milliseconds Delay) {
      std::this_thread::sleep_for(Delay);
    };
}

PipelineRunner::~PipelineRunner() = default;

PipelineResult PipelineRunner::run(const state::ServiceDocument &Document,
                                   const PipelineRequest &Request) {
  PipelineResult Result;
  Result.Data_.Input_ = Request.Input_;
  Result.Data_.MaxTokens_ = Request.MaxTokens_;
  std::string Digest = sha256Hex(Request.Input_);
  int Index = 0;
  for (const state::Stage &Stage : Document.Stages_) {
    StageRun Run(*this, Document, Stage, Request, Digest, Index++, Result);
    if (!Run.run())
      return Result;
  }
  Result.Outcome_ = OutcomeKind::Completed;
  return Result;
}

} // namespace amaranth::coordination
