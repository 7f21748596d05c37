#include "Serving/StreamRun.h"

#include "Support/Log.h"

namespace amaranth::serving {

using coordination::TargetResult;
using state::TargetRecord;
using transport::Awaitable;
using transport::LinkStatus;

namespace {

constexpr int MaxSends = 4;
constexpr int MaxUnreached = 4;
/// Time from sending a prompt to its first event that is reserved when the
/// stages of a request are scheduled.
constexpr Milliseconds FirstEventReserve{250};
/// Least time that a generation needs after its stages.
constexpr Milliseconds GenerationReserve{700};

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

/// Callers give a stream up after a gap, also before its first event, that is
/// the longest of these: a fixed time, and multiples of the route's aims.
constexpr Milliseconds MinPatience{2000};
constexpr int PatienceInAims = 4;
constexpr int PatienceInPauses = 8;

/// The latest time at which the stages' results are still of use.
SteadyTime usableUntil(const RequestScope &Scope) {
  Milliseconds Patience =
      std::max({MinPatience, PatienceInAims * Scope.Route_->LatencyAim_,
                PatienceInPauses * Scope.Route_->PauseAim_});
  SteadyTime GivenUp = Scope.Arrival_ + Patience - FirstEventReserve;
  return std::min(GivenUp, Scope.Deadline_ - GenerationReserve);
}

/// The data centre of the engine that the request will probably go to.
std::string likelyDataCentre(const RequestScope &Scope) {
  EntryContext &Context = Scope.Context_;
  std::vector<const TargetRecord *> Engines =
      Context.Targets_.serving(Scope.Service_);
  std::set<std::string> None;
  const TargetRecord *Engine =
      Context.Engines_.choose(Engines, Scope.Request_.Prompt_, None,
                              Context.Health_, SteadyClock::now());
  return Engine ? Engine->DataCentre_ : "";
}

} // namespace

StreamRun::StreamRun(RequestScope &Scope, StageClient &Client)
    : Scope_(Scope), Stages_(Scope, Client, Scope.AimBy_ - FirstEventReserve,
                             usableUntil(Scope), likelyDataCentre(Scope)) {}

Awaitable<void> StreamRun::run() {
  EntryContext &Context = Scope_.Context_;
  Context.Budget_.onRequest(Scope_.Service_, SteadyClock::now());
  for (;;) {
    bool Ready = co_await makeInputs();
    if (!Ready)
      co_return;
    if (!mayTryAgain())
      break;
    const TargetRecord *Chosen = chooseTarget();
    if (!Chosen)
      break;
    if (Sent_ > 0 &&
        !Context.Budget_.tryTake(Scope_.Service_, SteadyClock::now()))
      break;
    TargetRecord Target = *Chosen;
    Step Next = co_await attempt(Target);
    if (Next == Step::Finished || Scope_.Gone_)
      co_return;
  }
  co_await giveUp();
}

Awaitable<bool> StreamRun::makeInputs() {
  StageEnd End = co_await Stages_.run();
  if (End == StageEnd::Done)
    co_return true;
  if (End == StageEnd::CallerGone)
    co_return false;
  if (Sent_ > 0) {
    co_await giveUp();
    co_return false;
  }
  std::string Reason = End == StageEnd::OutOfTime
                           ? "the stages cannot be finished in time"
                           : "a stage failed";
  Milliseconds RetryAfter = Stages_.retryAfter();
  co_await answerOwn(Scope_, 503, Reason, RetryAfter);
  co_return false;
}

const TargetRecord *StreamRun::chooseTarget() {
  EntryContext &Context = Scope_.Context_;
  std::vector<const TargetRecord *> Engines =
      Context.Targets_.serving(Scope_.Service_);
  return Context.Engines_.choose(Engines, Scope_.Request_.Prompt_, Tried_,
                                 Context.Health_, SteadyClock::now());
}

bool StreamRun::mayTryAgain() const {
  if (Ran_ > 0 && !Scope_.Route_->Resumable_)
    return false;
  return Ran_ < Scope_.Route_->MaxAttempts_ && Sent_ < MaxSends &&
         Unreached_ < MaxUnreached && SteadyClock::now() < Scope_.Deadline_;
}

Awaitable<StreamRun::Step> StreamRun::attempt(TargetRecord Target) {
  EntryContext &Context = Scope_.Context_;
  Tried_.insert(Target.Id_);
  Scope_.TargetId_ = Target.Id_;
  protocol::TargetCallFields Fields =
      targetFields(Scope_, Target, Scope_.Deadline_);
  Fields.Inputs_ = Stages_.inputs();
  Scope_.InputsAway_ = Stages_.inputsAway(Target.DataCentre_);
  if (Events_.started())
    Fields.LastEventId_ = Events_.lastId();
  std::string Request =
      Context.Edge_.targetRequest(Scope_.Head_, Scope_.Body_, Fields);
  TargetExchange Exchange(Context.Connections_, Context.Edge_, Target);
  Scope_.Interrupt_ = [&Exchange] { Exchange.stop(); };
  Begin_ = SteadyClock::now();
  Context.Health_.begin(Target.Id_);
  Context.Engines_.onSent(Target.Id_, Scope_.Request_.Prompt_, Begin_);
  std::string Id = Scope_.Request_.Id_;
  co_await Exchange.start(Request, Id, Scope_.Deadline_);
  Step Next = Step::Again;
  bool HasAnswer = Exchange.state() == ExchangeState::Answering ||
                   Exchange.state() == ExchangeState::Complete;
  if (HasAnswer && isSuccess(Exchange.head().Status_)) {
    ++Sent_;
    ++Ran_;
    Next = co_await passOn(Exchange);
  } else if (HasAnswer) {
    Next = co_await passFailure(Exchange);
  } else if (Exchange.state() == ExchangeState::NotSent) {
    ++Unreached_;
  } else if (Exchange.state() == ExchangeState::NotExecuted) {
    ++Sent_;
    if (Exchange.head().Status_ == 409)
      Stages_.forgetInputs();
  } else {
    ++Sent_;
    ++Ran_;
  }
  Scope_.Interrupt_ = nullptr;
  noteEnd(Exchange);
  co_return Next;
}

void StreamRun::noteEnd(const TargetExchange &Exchange) {
  EntryContext &Context = Scope_.Context_;
  const std::string &Id = Exchange.target().Id_;
  SteadyTime Now = SteadyClock::now();
  if (Scope_.Gone_) {
    Context.Health_.cancelled(Id);
    return;
  }
  auto Took = std::chrono::ceil<Milliseconds>(Now - Begin_);
  noteSuspicion(Scope_, Exchange, Took);
  TargetResult Result = TargetResult::Broken;
  if (Exchange.state() == ExchangeState::NotSent)
    Result = TargetResult::Unreachable;
  else if (Exchange.state() == ExchangeState::NotExecuted)
    Result = TargetResult::Full;
  else if (Exchange.state() == ExchangeState::Complete)
    Result = isSuccess(Exchange.head().Status_) ? TargetResult::Good
                                                : TargetResult::Error;
  Context.Health_.end(Id, Result, Took, Now);
}

Awaitable<StreamRun::Step> StreamRun::passOn(TargetExchange &Exchange) {
  const protocol::TargetReply &Reply = Exchange.reply();
  if (!Reply.Signed_ || Reply.Encoded_) {
    LogEvent(LogLevel::Warn, "answer_not_the_targets")
        .field("request", Scope_.Request_.Id_)
        .field("target", Exchange.target().Id_);
    co_return Step::Again;
  }
  for (;;) {
    std::string Body = Exchange.takeBody();
    std::string Whole = Events_.add(Body);
    if (!Whole.empty()) {
      bool Written = co_await writeEvents(Exchange, Whole);
      if (!Written)
        co_return Step::Finished;
    }
    if (Exchange.state() != ExchangeState::Answering)
      break;
    co_await Exchange.readMore();
    if (Scope_.Gone_)
      co_return Step::Finished;
  }
  bool Complete = Exchange.state() == ExchangeState::Complete &&
                  !Events_.hasPartialEvent() && HeadWritten_;
  if (!Complete) {
    Events_.dropPartialEvent();
    co_return Step::Again;
  }
  std::string End(transport::LastChunk);
  LinkStatus Status = co_await Scope_.Caller_->write(End);
  if (Status != LinkStatus::Ok)
    Scope_.CloseAfter_ = true;
  co_return Step::Finished;
}

Awaitable<bool> StreamRun::writeEvents(TargetExchange &Exchange,
                                       std::string Events) {
  std::string Message;
  if (!HeadWritten_) {
    // The engine has read its inputs.
    Stages_.release();
    HeadWritten_ = true;
    Scope_.FirstEvent_ = std::chrono::duration_cast<Milliseconds>(
        SteadyClock::now() - Scope_.Arrival_);
    Scope_.Status_ = Exchange.head().Status_;
    Message = Scope_.Context_.Edge_.answerHead(Exchange.head());
    if (Scope_.Context_.Draining_) {
      Scope_.CloseAfter_ = true;
      transport::appendField(Message, "Connection", "close");
    }
    transport::appendField(Message, "Transfer-Encoding", "chunked");
    Message.append("\r\n");
  }
  Message += transport::encodeChunk(Events);
  LinkStatus Status = co_await Scope_.Caller_->write(Message);
  if (Status == LinkStatus::Ok)
    co_return true;
  Scope_.Reason_ = "caller does not read";
  Scope_.CloseAfter_ = true;
  co_return false;
}

Awaitable<StreamRun::Step> StreamRun::passFailure(TargetExchange &Exchange) {
  bool NotExecuted = Exchange.reply().NotExecuted_;
  int Status = Exchange.head().Status_;
  co_await Exchange.readAll();
  ++Sent_;
  if (NotExecuted) {
    // 409: a result that the request needs no longer exists.
    if (Status == 409)
      Stages_.forgetInputs();
    co_return Step::Again;
  }
  ++Ran_;
  bool Usable = Exchange.state() == ExchangeState::Complete &&
                Exchange.reply().Signed_ && !HeadWritten_;
  if (!Usable || (Status >= 500 && mayTryAgain()))
    co_return Step::Again;
  Scope_.Reason_ = "target_failed";
  std::string Body = Exchange.takeBody();
  transport::HttpHead Head = Exchange.head();
  co_await answerWhole(Scope_, Head, Body);
  co_return Step::Finished;
}

Awaitable<void> StreamRun::giveUp() {
  if (!HeadWritten_) {
    co_await answerUnserved(Scope_, Ran_ > 0);
    co_return;
  }
  // Without the last chunk the answer cannot be taken as complete.
  Scope_.Reason_ = "stream broken off";
  Scope_.CloseAfter_ = true;
  Scope_.Caller_->abort();
}

} // namespace amaranth::serving
