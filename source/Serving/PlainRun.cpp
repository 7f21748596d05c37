#include "Serving/PlainRun.h"

#include "Support/Log.h"

#include <limits>

namespace amaranth::serving {

using coordination::TargetResult;
using state::TargetRecord;
using transport::Awaitable;

namespace {

/// Bounds all attempts, also those that a target refused without running the
/// request: each adds load to a service that may be overloaded.
constexpr int MaxSentAttempts = 3;
constexpr int MaxUnreachedTargets = 4;
/// Time reserved for the request itself when its stages are scheduled.
constexpr Milliseconds RunReserve{250};

} // namespace

PlainRun::PlainRun(RequestScope &Scope, StageClient &Client) : Scope_(Scope) {
  std::string AnyDataCentre;
  if (!Scope.Route_->Stages_.empty())
    Stages_.emplace(Scope, Client, Scope.AimBy_ - RunReserve,
                    Scope.Deadline_ - RunReserve, AnyDataCentre);
}

const TargetRecord *
PlainRun::chooseFrom(const std::vector<const TargetRecord *> &Candidates) {
  EntryContext &Context = Scope_.Context_;
  SteadyTime Now = SteadyClock::now();
  const TargetRecord *BestTarget = nullptr;
  double BestCost = std::numeric_limits<double>::max();
  for (const TargetRecord *Target : Candidates) {
    if (TriedTargets_.count(Target->Id_))
      continue;
    double Cost = Context.Health_.cost(Target->Id_, Now);
    if (!Context.Health_.isUsable(Target->Id_, Now))
      Cost += 1e6; // Chosen only if no target is usable.
    // Spreads requests over targets of equal cost.
    Cost *= 1 + 0.2 *
                    static_cast<double>(coordination::rendezvousRank(
                                            Scope_.Request_.Id_, Target->Id_) %
                                        1000) /
                    1000;
    if (Cost < BestCost) {
      BestTarget = Target;
      BestCost = Cost;
    }
  }
  return BestTarget;
}

bool PlainRun::mayTryAgain() const {
  if (PossibleRuns_ > 0 && !Scope_.isIdempotent())
    return false;
  if (Scope_.HostStops_)
    return false;
  return PossibleRuns_ < Scope_.Route_->MaxAttempts_ &&
         SentAttempts_ < MaxSentAttempts &&
         UnreachedTargets_ < MaxUnreachedTargets &&
         SteadyClock::now() < Scope_.Deadline_;
}

SteadyTime PlainRun::attemptDeadline() const {
  if (!Scope_.isIdempotent() ||
      PossibleRuns_ + 1 >= Scope_.Route_->MaxAttempts_)
    return Scope_.Deadline_;
  return middleOfTimeLeft();
}

SteadyTime PlainRun::middleOfTimeLeft() const {
  SteadyTime Now = SteadyClock::now();
  return Now + (Scope_.Deadline_ - Now) / 2;
}

Awaitable<void> PlainRun::run() {
  EntryContext &Context = Scope_.Context_;
  Context.RetryBudget_.onRequest(Scope_.Service_, SteadyClock::now());
  while (!Succeeded_ && !FailureIsFinal_ && mayTryAgain() &&
         !Scope_.hasCallerLeft() && crashReason(Scope_).empty()) {
    bool HasInputs = co_await runStages();
    if (!HasInputs)
      co_return;
    if (SentAttempts_ > 0 &&
        !Context.RetryBudget_.tryTake(Scope_.Service_, SteadyClock::now()))
      break;
    SteadyTime WaitUntil = middleOfTimeLeft();
    std::string Service = Scope_.Service_;
    std::optional<TargetRecord> Target =
        co_await Context.Permits_.choose(Service, *this, WaitUntil);
    if (!Target || Scope_.HostStops_ || Scope_.hasCallerLeft() ||
        !crashReason(Scope_).empty())
      break;
    co_await attempt(*Target);
  }
  if (Scope_.CallerDisconnected_)
    co_return;
  if (Success_) {
    co_await sendTargetAnswer(Scope_, std::move(Success_->Head_),
                              std::move(Success_->Body_));
    co_return;
  }
  co_await answerFailure();
}

Awaitable<bool> PlainRun::runStages() {
  if (!Stages_)
    co_return true;
  StageEnd End = co_await Stages_->run();
  if (End == StageEnd::Completed)
    co_return true;
  if (End == StageEnd::CallerDisconnected)
    co_return false;
  if (SentAttempts_ > 0 || End == StageEnd::HostStops)
    co_await answerFailure();
  else
    co_await Stages_->refuse(End);
  co_return false;
}

Awaitable<void> PlainRun::attempt(TargetRecord Target) {
  EntryContext &Context = Scope_.Context_;
  TriedTargets_.insert(Target.Id_);
  Scope_.TargetId_ = Target.Id_;
  SteadyTime AttemptDeadline = attemptDeadline();
  protocol::TargetCallFields Fields =
      targetFields(Scope_, Target, AttemptDeadline);
  if (Stages_) {
    Fields.Inputs_ = Stages_->inputHandles();
    Scope_.RemoteInputs_ = Stages_->countRemoteInputs(Target.DataCentre_);
  }
  std::string Request =
      Context.Edge_.targetRequest(Scope_.Head_, Scope_.Body_, Fields);
  TargetExchangeSettings Settings = Context.exchangeSettings(Target);
  TargetExchange Exchange(Context.Connections_, Context.Edge_,
                          Context.MessageBytes_, Target, Settings);
  Scope_.Interrupt_ = [&Exchange] { Exchange.stop(); };
  SteadyTime StartedAt = SteadyClock::now();
  Context.SuspectParts_.onSent(Scope_.SharedParts_, StartedAt);
  Context.Health_.begin(Target.Id_);
  std::string Id = Scope_.Request_.Id_;
  co_await Exchange.start(Request, Id, AttemptDeadline);
  recordStatement(Context, Exchange);
  co_await Exchange.readAll();
  Scope_.Interrupt_ = nullptr;
  auto Elapsed =
      std::chrono::ceil<Milliseconds>(SteadyClock::now() - StartedAt);
  if (Scope_.CallerDisconnected_) {
    Context.Health_.cancel(Target.Id_);
    co_return;
  }
  recordOutcome(Exchange, Elapsed);
}

void PlainRun::recordOutcome(TargetExchange &Exchange, Milliseconds Elapsed) {
  EntryContext &Context = Scope_.Context_;
  const std::string &Id = Exchange.target().Id_;
  if (wasEndedForStop(Scope_, Exchange)) {
    PossibleRuns_ += Exchange.state() == ExchangeState::Broken;
    Context.Health_.cancel(Id);
    return;
  }
  reportToSuspects(Scope_, Exchange, Elapsed);
  switch (Exchange.state()) {
  case ExchangeState::NotSent:
    ++UnreachedTargets_;
    recordResult(Exchange, TargetResult::Unreachable, Elapsed);
    return;
  case ExchangeState::Withheld:
    ++UnreachedTargets_;
    Context.Health_.cancel(Id);
    return;
  case ExchangeState::NotExecuted:
    ++SentAttempts_;
    // 409: a stage result that the request needs no longer exists.
    if (Stages_ && Exchange.head().Status_ == 409)
      Stages_->discardInputs();
    recordResult(Exchange, TargetResult::Overloaded, Elapsed);
    return;
  case ExchangeState::Complete:
    break;
  default:
    ++SentAttempts_;
    ++PossibleRuns_;
    recordResult(Exchange, TargetResult::Broken, Elapsed);
    if (Exchange.state() == ExchangeState::Broken)
      reportPromptEnd(Scope_, Id, PromptEnd::Lost);
    return;
  }
  ++SentAttempts_;
  ++PossibleRuns_;
  const protocol::TargetReply &Reply = Exchange.reply();
  int Status = Exchange.head().Status_;
  bool Success = Status >= 200 && Status < 300;
  if (!Reply.Signed_ || Reply.ContentEncoded_) {
    LogEvent(LogLevel::Warn, "answer_not_the_targets")
        .field("request", Scope_.Request_.Id_)
        .field("target", Id)
        .field("status", Status);
    recordResult(Exchange, TargetResult::Broken, Elapsed);
    return;
  }
  TargetAnswer Answer{Exchange.head(), Exchange.takeBody()};
  if (Success) {
    recordResult(Exchange, TargetResult::Success, Elapsed);
    reportPromptEnd(Scope_, Id, PromptEnd::Answered);
    Success_ = std::move(Answer);
    Succeeded_ = true;
    return;
  }
  recordResult(Exchange,
               Status >= 500 ? TargetResult::ErrorReply : TargetResult::Success,
               Elapsed);
  Failure_ = std::move(Answer);
  FailureIsFinal_ = Status < 500 || !Scope_.isIdempotent();
}

void PlainRun::recordResult(const TargetExchange &Exchange, TargetResult Result,
                            Milliseconds Elapsed) {
  EntryContext &Context = Scope_.Context_;
  Context.Health_.end(Exchange.target().Id_, Result, Elapsed,
                      SteadyClock::now());
  recordPace(Context, Exchange, Result, Elapsed, cost());
}

Awaitable<void> PlainRun::answerFailure() {
  if (Failure_) {
    co_await sendTargetFailure(Scope_, std::move(Failure_->Head_),
                               std::move(Failure_->Body_));
    co_return;
  }
  co_await sendUnservedAnswer(Scope_, PossibleRuns_ > 0);
}

} // namespace amaranth::serving
