#include "Coordination/PlainCallRunner.h"

#include "Coordination/AttemptPolicy.h"
#include "Support/Digest.h"
#include "Support/Log.h"

#include <algorithm>
#include <thread>

namespace amaranth::coordination {

using protocol::ForwardedRequest;
using protocol::OutcomeKind;
using protocol::PlainServiceReply;
using protocol::RequestOutcome;
using protocol::StageStatus;

namespace {

/// Retry delay given for a call that no target ran.
constexpr Milliseconds RefusalRetryAfter{1000};

RequestOutcome makeOutcome(OutcomeKind Kind, int Status, std::string Detail) {
  RequestOutcome Outcome;
  Outcome.Kind_ = Kind;
  Outcome.Status_ = Status;
  Outcome.Detail_ = std::move(Detail);
  if (Kind == OutcomeKind::NotRun && Status == 503)
    Outcome.RetryAfter_ = RefusalRetryAfter;
  return Outcome;
}

/// Outcome of an attempt that the target may have run and that is not retried.
RequestOutcome finalOutcome(const PlainServiceReply &Reply) {
  if (Reply.Reply_.Status_ == StageStatus::Rejected)
    return makeOutcome(OutcomeKind::Failed, 422, Reply.Reply_.Detail_);
  if (Reply.Reply_.Status_ == StageStatus::TargetError)
    return makeOutcome(OutcomeKind::Failed, 502, Reply.Reply_.Detail_);
  return makeOutcome(OutcomeKind::Unknown, 504, Reply.Reply_.Detail_);
}

} // namespace

PlainCallRunner::PlainCallRunner(PlainCallDependencies Parts,
                                 PlainCallRunnerSettings Settings)
    : Parts_(std::move(Parts)), Settings_(std::move(Settings)),
      Backoff_(Settings_.BackoffBase_, Settings_.BackoffLimit_,
               Settings_.Seed_) {
  if (!Settings_.Sleep_)
    Settings_.Sleep_ = [](Milliseconds Delay) {
      std::this_thread::sleep_for(Delay);
    };
}

RequestOutcome PlainCallRunner::runIdempotent(const ForwardedRequest &Request,
                                              SteadyTime Deadline) {
  return run(Request, Deadline, true);
}

RequestOutcome PlainCallRunner::dispatch(const ForwardedRequest &Request,
                                         SteadyTime Deadline) {
  return run(Request, Deadline, false);
}

RequestOutcome PlainCallRunner::run(const ForwardedRequest &Request,
                                    SteadyTime Deadline, bool IsIdempotent) {
  auto Document = Parts_.FindDocument_(Request.Service_);
  if (!Document)
    return makeOutcome(OutcomeKind::NotRun, 404, "no such service");
  const state::PlainCall *Call = Document->findCall(Request.Call_);
  if (!Call)
    return makeOutcome(OutcomeKind::NotRun, 404, "no such call");
  RouteQuery Query;
  for (const std::string &Name : Call->Targets_)
    if (const state::Target *Found = Document->findTarget(Name))
      Query.Targets_.push_back(Found);
  Query.Class_ = WorkClass::Plain;
  Query.InputDigest_ = sha256Hex(Request.Call_ + "\n" + Request.Body_);
  bool MayHaveRun = false;
  std::string LastFailure = "no target may run the call";
  for (int Attempt = 0; Attempt < Settings_.MaxAttempts_; ++Attempt) {
    Query.TimeLeft_ = remaining(Deadline);
    if (Query.TimeLeft_.count() == 0)
      break;
    std::optional<Route> Choice = Parts_.Router_.choose(Query);
    if (!Choice && !Query.TriedTargets_.empty()) {
      Query.TriedTargets_.clear();
      Choice = Parts_.Router_.choose(Query);
    }
    if (!Choice)
      break;
    const state::Target &Target = *Choice->Target_;
    PlainServiceReply Reply =
        attempt(Request, Target, Attempt, Deadline, IsIdempotent);
    if (Reply.Reply_.Status_ == StageStatus::Ok) {
      Parts_.Budget_.onSuccess();
      RequestOutcome Success = makeOutcome(OutcomeKind::Completed, 200, {});
      Success.Body_ = std::move(Reply.Body_);
      return Success;
    }
    LogEvent(LogLevel::Info, "call_attempt_failed")
        .field("request", Request.RequestId_)
        .field("target", Target.Name_)
        .field("attempt", Attempt)
        .field("reason", Reply.Reply_.Detail_);
    bool KnownNotRun = isKnownNotRun(Reply.Reply_);
    if (!KnownNotRun && !IsIdempotent)
      return finalOutcome(Reply);
    if (Reply.Reply_.Status_ == StageStatus::Rejected)
      return finalOutcome(Reply);
    MayHaveRun = MayHaveRun || !KnownNotRun;
    LastFailure = Reply.Reply_.Detail_;
    Query.TriedTargets_.push_back(Target.Name_);
    bool CostsNoCapacity =
        KnownNotRun && Reply.Reply_.Status_ != StageStatus::Overloaded;
    if (!CostsNoCapacity && !Parts_.Budget_.tryTake())
      break;
    if (Reply.Reply_.Status_ == StageStatus::Leaving)
      continue;
    Milliseconds Delay = Backoff_.next(Attempt);
    if (Delay >= remaining(Deadline))
      break;
    Settings_.Sleep_(Delay);
  }
  return makeOutcome(MayHaveRun ? OutcomeKind::Failed : OutcomeKind::NotRun,
                     503, LastFailure);
}

PlainServiceReply PlainCallRunner::attempt(const ForwardedRequest &Request,
                                           const state::Target &Target,
                                           int Attempt, SteadyTime Deadline,
                                           bool IsIdempotent) {
  protocol::PlainServiceCall Call;
  Call.Attempt_.RequestId_ =
      Request.RequestId_ + "/" + Request.Call_ + "/" + std::to_string(Attempt);
  Call.Attempt_.TraceParent_ = Request.TraceParent_;
  Call.Attempt_.Target_ = Target;
  Call.Attempt_.Deadline_ = Deadline;
  Call.Attempt_.ProgressTimeout_ = Settings_.ProgressTimeout_;
  // A silent target must leave time to retry an idempotent call elsewhere;
  // other calls are not retried and use the whole time-out.
  if (IsIdempotent)
    Call.Attempt_.ProgressTimeout_ =
        std::min(Settings_.ProgressTimeout_,
                 std::max(Milliseconds{50}, remaining(Deadline) / 2));
  // A reused connection may be closed already, and then it is unknown whether
  // the call ran.
  Call.Attempt_.FreshConnection_ = !IsIdempotent || Attempt > 0;
  Call.Name_ = Request.Call_;
  Call.Body_ = Request.Body_;
  CountedAttempt TrackedAttempt(Parts_.Targets_, Target.Address_,
                                WorkClass::Plain, 1);
  PlainServiceReply Reply = Parts_.Client_.run(Call);
  TrackedAttempt.end(attemptEnd(Reply.Reply_, Deadline), 1);
  return Reply;
}

} // namespace amaranth::coordination
