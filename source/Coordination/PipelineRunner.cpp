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

/// Share of stage durations after which a hedge is started.
constexpr double HedgeQuantile = 0.95;

/// Shortest progress timeout of an attempt.
constexpr Milliseconds MinProgressTimeout{50};

/// How often an input that waits for its turn after a crash looks whether
/// another input has been found to be the cause.
constexpr Milliseconds TurnCheck{50};

Microseconds elapsed(SteadyTime Start) {
  return std::chrono::duration_cast<Microseconds>(SteadyClock::now() - Start);
}

/// Passes each token on once. When a stage starts again from its first token
/// after a corrupt attempt, the tokens already passed on must come again.
class TokenRelay final : public protocol::TokenListener {
public:
  explicit TokenRelay(protocol::TokenListener *Listener)
      : Listener_(Listener) {}

  bool onToken(int Index, const std::string &Text) override {
    auto Position = static_cast<std::size_t>(Index);
    if (Position < Sent_.size()) {
      Diverged_ = Diverged_ || Sent_[Position] != Text;
      return !Diverged_;
    }
    Sent_.push_back(Text);
    CallerGone_ = !Listener_->onToken(Index, Text);
    return !CallerGone_;
  }

  protocol::TokenListener *listener() { return Listener_ ? this : nullptr; }
  bool diverged() const { return Diverged_; }
  bool callerGone() const { return CallerGone_; }

private:
  protocol::TokenListener *Listener_;
  std::vector<std::string> Sent_;
  bool Diverged_ = false;
  bool CallerGone_ = false;
};

/// What the thread of a request and the task of its hedge share.
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

/// Detaches a hedge from its request on every path out of an attempt, so that
/// it never cancels a primary attempt that no longer exists.
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

/// One stage of one request.
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
    bool Done = runAttempts();
    Result_.Stages_.push_back(Cost_);
    return Done;
  }

private:
  /// An attempt with everything that its classification needs.
  struct Attempt {
    const state::Target *Target_ = nullptr;
    StageReply Reply_;
    Microseconds Duration_{0};
    /// Duration for the statistics: without the help of a hedge it would have
    /// been at least this long. Recording the hedge's own duration would lower
    /// the quantile that starts hedges, and so start ever more of them.
    Microseconds Observed_{0};
  };

  bool runAttempts() {
    int Retries = 0;
    while (true) {
      if (remaining(Request_.Deadline_).count() == 0)
        return refuse(504, "deadline exceeded" + lastFault());
      if (Parts_.Suspects_.standing(Digest_) == InputStanding::Refused)
        return refuse(422, "the input crashed as many targets as it may");
      std::optional<Route> Choice = choose(Tried_, predictedWork());
      if (!Choice)
        return refuse(503, "no target may run the stage" + lastFault());
      Attempt Last = attempt(*Choice->Target_);
      if (Last.Reply_.Status_ == StageStatus::Ok)
        return succeed(Last);
      Cost_.Wasted_ += Last.Duration_;
      LastReply_ = Last.Reply_;
      Tried_.push_back(Last.Target_->Name_);
      if (!certainlyNotRun(Last.Reply_))
        Ran_ = true;
      logFailure(Last);
      if (Relay_.callerGone())
        return refuse(499, "the caller is gone");
      if (Relay_.diverged())
        return refuse(502, "a repeated stream differs from the text sent");
      if (Last.Reply_.Status_ == StageStatus::Rejected)
        return refuse(422, "the target rejected the input" + lastFault());
      if (Last.Reply_.Status_ == StageStatus::Corrupt)
        restartOutput();
      if (Cost_.Attempts_ >= Runner_.Settings_.MaxAttempts_)
        return refuse(503, "no attempt succeeded" + lastFault());
      if (!mayRetry(Last.Reply_))
        return refuse(503, "retry budget used up" + lastFault());
      if (!wait(Last.Reply_, Retries++))
        return refuse(504, "deadline exceeded" + lastFault());
    }
  }

  std::optional<Route> choose(const std::vector<std::string> &Tried,
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
    Query.Tried_ = Tried;
    Query.TimeLeft_ = remaining(Request_.Deadline_);
    std::vector<std::string> Crashed = Parts_.Suspects_.crashedTargets(Digest_);
    Query.Suspect_ = Parts_.Suspects_.standing(Digest_) != InputStanding::Clear;
    auto Choice = Parts_.Router_.choose(Query);
    if (Choice)
      return Choice;
    // With every target tried, one that merely failed may be tried again.
    Query.Tried_ = std::move(Crashed);
    return Parts_.Router_.choose(Query);
  }

  double predictedWork() const {
    double Tokens = Request_.PredictedTokens_ > 0 ? Request_.PredictedTokens_
                                                  : Request_.MaxTokens_;
    return stageWork(Stage_.Kind_, Tokens - Data_.Tokens_);
  }

  /// Durations are compared among stages of similar size.
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
    // A silent target must leave time for another attempt.
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
    SteadyTime Start = SteadyClock::now();
    Primary.Reply_ = runCounted(Parts_, client(), Call, Data_,
                                Relay_.listener(), predictedWork());
    Primary.Duration_ = elapsed(Start);
    Primary.Observed_ = Primary.Duration_;
    Timer.cancel();
    noteTarget(Target, Primary.Reply_, Primary.Duration_);
    return settleHedge(*Hedge, std::move(Primary));
  }

  /// Runs an attempt and records it in the target table.
  static StageReply runCounted(const PipelineParts &Parts,
                               protocol::StageClient &Client,
                               const StageCall &Call, PipelineData &Data,
                               protocol::TokenListener *Listener, double Work) {
    int TokensBefore = Data.Tokens_;
    CountedAttempt Counted(Parts.Targets_, Call.Target_.Address_,
                           workClass(Call.Stage_.Kind_), Work);
    StageReply Reply = Client.run(Call, Data, Listener);
    Counted.end(attemptEnd(Reply, Call.Deadline_),
                stageWork(Call.Stage_.Kind_, Data.Tokens_ - TokensBefore));
    return Reply;
  }

  /// Keeps the registry of suspect inputs up to date.
  void noteTarget(const state::Target &Target, const StageReply &Reply,
                  Microseconds Ran) {
    if (Reply.Status_ == StageStatus::Ok)
      Parts_.Suspects_.onCompleted(Digest_, Target.Name_);
    bool Refused = Reply.Status_ == StageStatus::NoReply &&
                   Reply.Failure_ == CallFailure::NotSent &&
                   remaining(Request_.Deadline_).count() > 0;
    if (wasReset(Reply)) {
      Parts_.Suspects_.onReset(Digest_, Target.Name_,
                               std::chrono::floor<Milliseconds>(Ran));
      const auto &Answers = Runner_.Settings_.Answers_;
      Refused = Answers && !Answers(Target);
    }
    if (Refused)
      Parts_.Suspects_.onConnectionRefused(Target.Name_);
  }

  transport::TimerSubscription
  scheduleHedge(const std::shared_ptr<HedgeState> &Hedge,
                const state::Target &Primary) {
    if (!Runner_.Settings_.Hedge_ || Request_.Listener_)
      return {};
    if (Parts_.Suspects_.standing(Digest_) != InputStanding::Clear)
      return {};
    auto Slow = Parts_.Statistics_.quantile(statisticsKey(), HedgeQuantile);
    if (!Slow)
      return {};
    auto Delay = std::max(Runner_.Settings_.HedgeMinimum_,
                          std::chrono::ceil<Milliseconds>(*Slow));
    if (Delay >= remaining(Request_.Deadline_))
      return {};
    // A copy, because a hedge that loses can outlive the request. It is taken
    // now: the primary attempt changes the original while it runs.
    Hedge->Data_ = Data_;
    auto Start = [this, Hedge, &Primary, Work = predictedWork()] {
      startHedge(Hedge, Primary, Work);
    };
    return Parts_.Timers_.schedule(Delay, std::move(Start));
  }

  /// Runs on the timer thread, while the primary attempt is still running: the
  /// subscription's cancel() waits for this call.
  void startHedge(const std::shared_ptr<HedgeState> &Hedge,
                  const state::Target &Primary, double Work) {
    std::vector<std::string> Tried = Tried_;
    Tried.push_back(Primary.Name_);
    std::optional<Route> Choice = choose(Tried, Work);
    if (!Choice || Choice->Target_ == &Primary)
      return;
    if (!Parts_.Budget_.tryTakeKeeping(Runner_.Settings_.HedgeReserve_))
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
      StageReply Reply = runCounted(Parts, Client, Call, Data, nullptr, Work);
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

  /// Decides between the primary attempt and its hedge, if there was one.
  Attempt settleHedge(HedgeState &Hedge, Attempt Primary) {
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
      Ran_ = true;
      return Primary;
    }
    noteTarget(*Hedge.Target_, Hedge.Reply_, Hedge.Duration_);
    if (Hedge.Reply_.Status_ != StageStatus::Ok) {
      Cost_.Wasted_ += Hedge.Duration_;
      Ran_ = Ran_ || !certainlyNotRun(Hedge.Reply_);
      Tried_.push_back(Hedge.Target_->Name_);
      return Primary;
    }
    Cost_.Wasted_ += Primary.Duration_;
    Data_ = std::move(Hedge.Data_);
    Primary.Target_ = Hedge.Target_;
    Primary.Reply_ = Hedge.Reply_;
    Primary.Observed_ = std::max(Primary.Duration_, Hedge.Duration_);
    Primary.Duration_ = Hedge.Duration_;
    return Primary;
  }

  bool succeed(const Attempt &Last) {
    Cost_.Target_ = Last.Target_->Name_;
    Cost_.Useful_ = Last.Duration_;
    Parts_.Budget_.onSuccess();
    Parts_.Statistics_.record(SuccessKey_, Last.Observed_);
    return true;
  }

  /// After a corrupt attempt no text of this stage can be trusted.
  void restartOutput() {
    if (Stage_.Kind_ != StageKind::Generate)
      return;
    Data_.Output_.clear();
    Data_.Tokens_ = 0;
  }

  bool mayRetry(const StageReply &Reply) {
    // A target that did not take the attempt did no work, so another target
    // costs nothing extra. An overloaded one did refuse for lack of capacity,
    // and repeating that without limit would add to the overload.
    if (certainlyNotRun(Reply) && Reply.Status_ != StageStatus::Overloaded)
      return true;
    return Parts_.Budget_.tryTake();
  }

  /// Waits before a retry; false if the deadline comes first.
  bool wait(const StageReply &Reply, int Retry) {
    bool OtherTargets = Tried_.size() < Stage_.Targets_.size();
    if (Reply.Status_ == StageStatus::Leaving && OtherTargets)
      return true;
    Milliseconds Delay = Runner_.Backoff_.next(Retry);
    if (Delay >= remaining(Request_.Deadline_))
      return false;
    Runner_.Settings_.Wait_(Delay);
    if (wasReset(Reply))
      waitForTurn();
    return true;
  }

  /// After a crash: waits for the news of peers, then for this input's turn
  /// among those that lost the same target.
  void waitForTurn() {
    SteadyTime Lost = SteadyClock::now();
    Milliseconds Waited{0};
    for (;;) {
      Milliseconds Delay = Parts_.Suspects_.repeatDelay(Digest_);
      if (Delay <= Waited || Delay >= remaining(Request_.Deadline_))
        return;
      Milliseconds Step = std::min(Delay - Waited, TurnCheck);
      Runner_.Settings_.Wait_(Step);
      Waited =
          std::max(Waited + Step,
                   std::chrono::floor<Milliseconds>(SteadyClock::now() - Lost));
    }
  }

  bool refuse(int Status, std::string Detail) {
    bool NothingRan = StageIndex_ == 0 && !Ran_;
    Result_.Outcome_ = NothingRan ? OutcomeKind::NotRun : OutcomeKind::Failed;
    Result_.Status_ = Status;
    Result_.Detail_ = "stage " + Stage_.Name_ + ": " + std::move(Detail);
    if (Status == 503)
      Result_.RetryAfter_ = Seconds{1};
    return false;
  }

  std::string lastFault() const {
    if (!LastReply_)
      return {};
    return " (last: " + LastReply_->Detail_ + ")";
  }

  void logFailure(const Attempt &Last) const {
    LogEvent(LogLevel::Info, "attempt_failed")
        .field("request", Request_.RequestId_)
        .field("stage", Stage_.Name_)
        .field("target", Last.Target_->Name_)
        .field("attempt", Cost_.Attempts_)
        .field("reason", Last.Reply_.Detail_);
  }

  PipelineRunner &Runner_;
  const PipelineParts &Parts_;
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
  std::vector<std::string> Tried_;
  std::optional<StageReply> LastReply_;
  bool Ran_ = false;
};

PipelineRunner::PipelineRunner(const PipelineParts &Parts,
                               PipelineRunnerSettings Settings)
    : Parts_(Parts), Settings_(std::move(Settings)),
      Backoff_(Settings_.BackoffBase_, Settings_.BackoffLimit_,
               Settings_.Seed_),
      Hedges_({Settings_.MaxHedges_}) {
  if (!Settings_.Wait_)
    Settings_.Wait_ = [](Milliseconds Delay) {
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
