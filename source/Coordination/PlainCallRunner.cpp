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

/// Time after which a call that found no target can be repeated.
constexpr Milliseconds RefusalRetryAfter{1000};

RequestOutcome outcome(OutcomeKind Kind, int Status, std::string Detail) {
  RequestOutcome Outcome;
  Outcome.Kind_ = Kind;
  Outcome.Status_ = Status;
  Outcome.Detail_ = std::move(Detail);
  if (Kind == OutcomeKind::NotRun && Status == 503)
    Outcome.RetryAfter_ = RefusalRetryAfter;
  return Outcome;
}

/// Outcome of a non-idempotent attempt that the target may have run.
RequestOutcome finalOutcome(const PlainServiceReply &Reply) {
  if (Reply.Reply_.Status_ == StageStatus::Rejected)
    return outcome(OutcomeKind::Failed, 422, Reply.Reply_.Detail_);
  if (Reply.Reply_.Status_ == StageStatus::TargetError)
    return outcome(OutcomeKind::Failed, 502, Reply.Reply_.Detail_);
  return outcome(OutcomeKind::Unknown, 504, Reply.Reply_.Detail_);
}

} // namespace

PlainCallRunner::PlainCallRunner(PlainCallParts Parts,
                                 PlainCallRunnerSettings Settings)
    : Parts_(std::move(Parts)), Settings_(std::move(Settings)),
      Backoff_(Settings_.BackoffBase_, Settings_.BackoffLimit_,
               Settings_.Seed_) {
  if (!Settings_.Wait_)
    Settings_.Wait_ = [](Milliseconds Delay) {
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
                                    SteadyTime Deadline, bool Repeatable) {
  auto Document = Parts_.Documents_(Request.Service_);
  if (!Document)
    return outcome(OutcomeKind::NotRun, 404, "no such service");
  const state::PlainCall *Call = Document->findCall(Request.Call_);
  if (!Call)
    return outcome(OutcomeKind::NotRun, 404, "no such call");
  RouteQuery Query;
  for (const std::string &Name : Call->Targets_)
    if (const state::Target *Found = Document->findTarget(Name))
      Query.Targets_.push_back(Found);
  Query.Class_ = WorkClass::Plain;
  Query.InputDigest_ = sha256Hex(Request.Call_ + "\n" + Request.Body_);
  bool Ran = false;
  std::string Last = "no target may run the call";
  for (int Attempt = 0; Attempt < Settings_.MaxAttempts_; ++Attempt) {
    Query.TimeLeft_ = remaining(Deadline);
    if (Query.TimeLeft_.count() == 0)
      break;
    std::optional<Route> Choice = Parts_.Router_.choose(Query);
    if (!Choice && !Query.Tried_.empty()) {
      Query.Tried_.clear();
      Choice = Parts_.Router_.choose(Query);
    }
    if (!Choice)
      break;
    const state::Target &Target = *Choice->Target_;
    PlainServiceReply Reply =
        attempt(Request, Target, Attempt, Deadline, Repeatable);
    if (Reply.Reply_.Status_ == StageStatus::Ok) {
      Parts_.Budget_.onSuccess();
      RequestOutcome Done = outcome(OutcomeKind::Completed, 200, {});
      Done.Body_ = std::move(Reply.Body_);
      return Done;
    }
    LogEvent(LogLevel::Info, "call_attempt_failed")
        .field("request", Request.RequestId_)
        .field("target", Target.Name_)
        .field("attempt", Attempt)
        .field("reason", Reply.Reply_.Detail_);
    bool NotRun = certainlyNotRun(Reply.Reply_);
    if (!NotRun && !Repeatable)
      return finalOutcome(Reply);
    if (Reply.Reply_.Status_ == StageStatus::Rejected)
      return finalOutcome(Reply);
    Ran = Ran || !NotRun;
    Last = Reply.Reply_.Detail_;
    Query.Tried_.push_back(Target.Name_);
    bool Free = NotRun && Reply.Reply_.Status_ != StageStatus::Overloaded;
    if (!Free && !Parts_.Budget_.tryTake())
      break;
    if (Reply.Reply_.Status_ == StageStatus::Leaving)
      continue;
    Milliseconds Delay = Backoff_.next(Attempt);
    if (Delay >= remaining(Deadline))
      break;
    Settings_.Wait_(Delay);
  }
  return outcome(Ran ? OutcomeKind::Failed : OutcomeKind::NotRun, 503, Last);
}

PlainServiceReply PlainCallRunner::attempt(const ForwardedRequest &Request,
                                           const state::Target &Target,
                                           int Attempt, SteadyTime Deadline,
                                           bool Repeatable) {
  protocol::PlainServiceCall Call;
  Call.Attempt_.RequestId_ =
      Request.RequestId_ + "/" + Request.Call_ + "/" + std::to_string(Attempt);
  Call.Attempt_.TraceParent_ = Request.TraceParent_;
  Call.Attempt_.Target_ = Target;
  Call.Attempt_.Deadline_ = Deadline;
  Call.Attempt_.ProgressTimeout_ = Settings_.ProgressTimeout_;
  // A silent target must leave time to repeat the call elsewhere; a call that
  // must not be repeated waits as long as it may.
  if (Repeatable)
    Call.Attempt_.ProgressTimeout_ =
        std::min(Settings_.ProgressTimeout_,
                 std::max(Milliseconds{50}, remaining(Deadline) / 2));
  // A reused connection may be dead, and then nothing tells whether the call
  // ran.
  Call.Attempt_.FreshConnection_ = !Repeatable || Attempt > 0;
  Call.Name_ = Request.Call_;
  Call.Body_ = Request.Body_;
  CountedAttempt Counted(Parts_.Targets_, Target.Address_, WorkClass::Plain, 1);
  PlainServiceReply Reply = Parts_.Client_.run(Call);
  Counted.end(attemptEnd(Reply.Reply_, Deadline), 1);
  return Reply;
}

} // namespace amaranth::coordination
