#include "Serving/StreamRun.h"

#include "Support/Log.h"

#include <algorithm>

namespace amaranth::serving {

using coordination::TargetResult;
using state::TargetRecord;
using transport::Awaitable;
using transport::LinkStatus;

namespace {

constexpr int MaxSentAttempts = 4;
constexpr int MaxUnreachedTargets = 4;
/// Retry-After of a prompt that fits into no engine; only another configuration
/// can change that.
constexpr Milliseconds RetryAfterTooLarge{30000};
/// How often a request looks for an engine when the memory of all is full.
constexpr Milliseconds MemoryCheckPeriod{50};
/// Time reserved for the engine's first event when the stages of a request are
/// scheduled.
constexpr Milliseconds FirstEventReserve{250};
/// Time reserved for the generation after the stages.
constexpr Milliseconds GenerationReserve{700};

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

/// An engine that has sent events for this long has not crashed because of the
/// prompt: that happens when it begins to answer.
constexpr Milliseconds MinAnswerTime{200};

/// Callers abandon a stream after a gap without events, also before the first
/// one. The gap is the longest of a fixed time and multiples of the route's
/// aims for latency and for pauses.
constexpr Milliseconds MinGapTolerance{2000};
constexpr int GapToleranceInAims = 4;
constexpr int GapToleranceInPauses = 8;

Milliseconds gapTolerance(const RequestScope &Scope) {
  return std::max({MinGapTolerance,
                   GapToleranceInAims * Scope.Route_->LatencyAim_,
                   GapToleranceInPauses * Scope.Route_->PauseAim_});
}

/// Time after which the stage results are useless.
SteadyTime usableUntil(const RequestScope &Scope) {
  SteadyTime CallerGivesUpAt =
      Scope.Arrival_ + gapTolerance(Scope) - FirstEventReserve;
  return std::min(CallerGivesUpAt, Scope.Deadline_ - GenerationReserve);
}

/// Memory of each engine of the request's service in tokens; 0 if not stated.
std::uint64_t engineMemory(const RequestScope &Scope) {
  auto Found = Scope.Table_->Services_.find(Scope.Service_);
  bool IsEngine =
      Found != Scope.Table_->Services_.end() && Found->second.Engine_;
  return IsEngine ? Found->second.Engine_->MemoryTokens_ : 0;
}

/// The request as EngineChooser needs it.
coordination::EngineQuery engineQuery(const RequestScope &Scope) {
  constexpr std::uint64_t MaxCount = coordination::TokenDemand::MaxCount;
  coordination::EngineQuery Query;
  Query.Prompt_ = Scope.Request_.Prompt_;
  std::uint64_t PartTokens = 0;
  for (const protocol::PromptPart &Part : Query.Prompt_)
    PartTokens =
        std::min(MaxCount, PartTokens + std::min(MaxCount, Part.Tokens_));
  Query.Demand_.Prompt_ =
      std::min(MaxCount, std::max(PartTokens, Scope.Request_.PromptTokens_));
  Query.Demand_.MaxOutput_ =
      std::min(MaxCount, Scope.Request_.MaxOutputTokens_);
  Query.MemoryTokens_ = engineMemory(Scope);
  return Query;
}

/// Data centre of the engine that would be chosen now.
std::string likelyDataCentre(const RequestScope &Scope) {
  EntryContext &Context = Scope.Context_;
  std::vector<const TargetRecord *> Engines =
      Context.eligibleTargets(Scope.Service_);
  std::set<std::string> NoneTried;
  const TargetRecord *Engine = Context.Engines_.choose(
      Engines, engineQuery(Scope), NoneTried, Context.Health_,
      Context.EngineMemory_, SteadyClock::now());
  return Engine ? Engine->DataCentre_ : "";
}

} // namespace

StreamRun::StreamRun(RequestScope &Scope, StageClient &Client)
    : Scope_(Scope), PendingEvent_(Scope.Context_.MessageBytes_),
      Stages_(Scope, Client, Scope.AimBy_ - FirstEventReserve,
              usableUntil(Scope), likelyDataCentre(Scope)),
      Writer_(std::make_shared<CallerWriter>(
          Scope.Caller_, Scope.Context_.MessageBytes_, Scope.deliveryLimit())),
      Continuation_(Scope) {
  // The engine is not read any longer for a caller that is given up.
  Writer_->onFailure([&Scope] {
    if (Scope.Interrupt_)
      Scope.Interrupt_();
  });
}

StreamRun::~StreamRun() { Writer_->onFailure(nullptr); }

Awaitable<void> StreamRun::run() {
  EntryContext &Context = Scope_.Context_;
  coordination::EngineQuery Query = engineQuery(Scope_);
  if (coordination::EngineMemory::exceeds(Query.Demand_, Query.MemoryTokens_)) {
    std::string TooLarge = "the prompt is larger than the engines' memory";
    co_await sendOwnAnswer(Scope_, 503, TooLarge, RetryAfterTooLarge);
    co_return;
  }
  if (Scope_.isTakeUp()) {
    bool HasOrigin = co_await Continuation_.findOrigin();
    if (!HasOrigin)
      co_return;
  }
  Context.RetryBudget_.onRequest(Scope_.Service_, SteadyClock::now());
  for (;;) {
    bool HasInputs = co_await runStages();
    if (!HasInputs)
      co_return;
    if (Scope_.hasCallerLeft())
      co_return;
    std::string CrashReason = crashReason(Scope_);
    if (!CrashReason.empty() && PossibleRuns_ == 0) {
      co_await sendOwnAnswer(Scope_, 503, CrashReason, RetryAfterCrashes);
      co_return;
    }
    if (!mayTryAgain() || !CrashReason.empty())
      break;
    if (SentAttempts_ > 0 &&
        !Context.RetryBudget_.tryTake(Scope_.Service_, SteadyClock::now()))
      break;
    std::optional<TargetRecord> Target = co_await chooseEngine();
    if (Scope_.hasCallerLeft())
      co_return;
    if (!Target || Scope_.HostStops_)
      break;
    // Crashes may have been reported while the request waited for its place.
    if (!crashReason(Scope_).empty())
      continue;
    // Its process may have been replaced by one of another version meanwhile.
    if (!Continuation_.isAllowed(*Target))
      continue;
    Step NextStep = co_await attempt(*Target);
    if (AnswerCompleted_ && !hasCallerFailed())
      co_await finishAnswer();
    if (NextStep == Step::Finished || Scope_.CallerDisconnected_)
      co_return;
  }
  co_await answerOrAbort();
}

Awaitable<std::optional<TargetRecord>> StreamRun::chooseEngine() {
  EntryContext &Context = Scope_.Context_;
  SteadyTime WaitUntil = usableUntil(Scope_);
  std::string Service = Scope_.Service_;
  std::optional<TargetRecord> Target;
  for (;;) {
    Target = co_await Context.Permits_.choose(Service, *this, WaitUntil);
    // Other requests may have taken the memory while this one waited for its
    // place.
    if (Target && !hasMemory(*Target))
      Target.reset();
    if (Target || !isMemoryFull() || Scope_.HostStops_ ||
        Scope_.hasCallerLeft() ||
        SteadyClock::now() + MemoryCheckPeriod >= WaitUntil)
      co_return Target;
    co_await transport::pause(Context.Loop_, MemoryCheckPeriod);
  }
}

bool StreamRun::hasMemory(const TargetRecord &Engine) const {
  coordination::EngineQuery Query = engineQuery(Scope_);
  return Scope_.Context_.EngineMemory_.fits(
      Engine.Id_, Query.Demand_, Query.MemoryTokens_, SteadyClock::now());
}

bool StreamRun::isMemoryFull() const {
  std::vector<const TargetRecord *> Engines = Continuation_.engines();
  return !Engines.empty() && std::none_of(Engines.begin(), Engines.end(),
                                          [this](const TargetRecord *Engine) {
                                            return hasMemory(*Engine);
                                          });
}

Awaitable<bool> StreamRun::runStages() {
  StageEnd End = co_await Stages_.run();
  if (End == StageEnd::Completed)
    co_return true;
  if (End == StageEnd::CallerDisconnected)
    co_return false;
  bool IsEvacuated = End == StageEnd::Evacuated;
  if (PossibleRuns_ > 0 || (SentAttempts_ > 0 && !IsEvacuated) ||
      End == StageEnd::HostStops) {
    co_await answerOrAbort();
    co_return false;
  }
  co_await Stages_.refuse(End);
  co_return false;
}

const TargetRecord *
StreamRun::chooseFrom(const std::vector<const TargetRecord *> &Candidates) {
  EntryContext &Context = Scope_.Context_;
  coordination::EngineQuery Query = engineQuery(Scope_);
  Query.InputBytes_ = Stages_.inputBytesByDataCentre();
  std::vector<const TargetRecord *> Engines = Candidates;
  Continuation_.removeOthers(Engines);
  return Context.Engines_.choose(Engines, Query, TriedTargets_, Context.Health_,
                                 Context.EngineMemory_, SteadyClock::now());
}

bool StreamRun::mayTakeLimitedPlace() const {
  return Scope_.Context_.Engines_.isLarge(Scope_.Request_.Prompt_);
}

double StreamRun::cost() const {
  return Scope_.Context_.Engines_.relativeSize(Scope_.Request_.Prompt_);
}

bool StreamRun::mayTryAgain() const {
  if (PossibleRuns_ > 0 && !Scope_.Route_->IsResumable_)
    return false;
  if (Scope_.HostStops_)
    return false;
  return PossibleRuns_ < Scope_.Route_->MaxAttempts_ &&
         SentAttempts_ < MaxSentAttempts &&
         UnreachedTargets_ < MaxUnreachedTargets &&
         SteadyClock::now() < Scope_.Deadline_;
}

Awaitable<StreamRun::Step> StreamRun::attempt(TargetRecord Target) {
  EntryContext &Context = Scope_.Context_;
  TriedTargets_.insert(Target.Id_);
  Scope_.TargetId_ = Target.Id_;
  protocol::TargetCallFields Fields =
      targetFields(Scope_, Target, Scope_.Deadline_);
  Fields.Inputs_ = Stages_.inputHandles();
  Scope_.RemoteInputs_ = Stages_.countRemoteInputs(Target.DataCentre_);
  if (Events_.hasReturnedEvents())
    Fields.LastEventId_ = Events_.lastEventId();
  std::string Request =
      Context.Edge_.targetRequest(Scope_.Head_, Scope_.Body_, Fields);
  TargetExchangeSettings Settings = Context.exchangeSettings(Target);
  TargetExchange Exchange(Context.Connections_, Context.Edge_,
                          Context.MessageBytes_, Target, Settings);
  Scope_.Interrupt_ = [this, &Exchange] {
    Exchange.stop();
    if (Scope_.CallerDisconnected_)
      Writer_->abandon();
  };
  AttemptStart_ = SteadyClock::now();
  FirstEventAt_.reset();
  AnswerCompleted_ = false;
  Context.SuspectParts_.onSent(Scope_.SharedParts_, AttemptStart_);
  Context.Health_.begin(Target.Id_);
  Context.Engines_.onPromptSent(Target.Id_, Scope_.Request_.Prompt_,
                                AttemptStart_);
  coordination::EngineQuery Query = engineQuery(Scope_);
  Context.EngineMemory_.begin(Target.Id_, Query.Demand_, Query.MemoryTokens_);
  std::string Id = Scope_.Request_.Id_;
  co_await Exchange.start(Request, Id, Scope_.Deadline_);
  recordStatement(Context, Exchange);
  Step NextStep = Step::TryAgain;
  bool HasAnswer = Exchange.state() == ExchangeState::Answering ||
                   Exchange.state() == ExchangeState::Complete;
  if (HasAnswer && isSuccess(Exchange.head().Status_)) {
    ++SentAttempts_;
    ++PossibleRuns_;
    NextStep = co_await forwardEvents(Exchange);
  } else if (HasAnswer) {
    NextStep = co_await handleFailure(Exchange);
  } else if (Exchange.state() == ExchangeState::NotSent ||
             Exchange.state() == ExchangeState::Withheld) {
    ++UnreachedTargets_;
  } else if (Exchange.state() == ExchangeState::NotExecuted) {
    ++SentAttempts_;
    if (Exchange.head().Status_ == 409)
      Stages_.discardInputs();
  } else {
    ++SentAttempts_;
    ++PossibleRuns_;
  }
  Scope_.Interrupt_ = nullptr;
  Context.EngineMemory_.end(Target.Id_, Query.Demand_);
  recordOutcome(Exchange);
  co_return NextStep;
}

void StreamRun::recordOutcome(const TargetExchange &Exchange) {
  EntryContext &Context = Scope_.Context_;
  const std::string &Id = Exchange.target().Id_;
  SteadyTime Now = SteadyClock::now();
  if (Scope_.CallerDisconnected_ || hasCallerFailed() ||
      wasEndedForStop(Scope_, Exchange) ||
      Exchange.state() == ExchangeState::Withheld) {
    Context.Health_.cancel(Id);
    return;
  }
  auto Elapsed = std::chrono::ceil<Milliseconds>(Now - AttemptStart_);
  reportToSuspects(Scope_, Exchange, Elapsed);
  reportPromptEnd(Scope_, Id, promptEnd(Exchange));
  TargetResult Result = TargetResult::Broken;
  if (Exchange.state() == ExchangeState::NotSent)
    Result = TargetResult::Unreachable;
  else if (Exchange.state() == ExchangeState::NotExecuted)
    Result = TargetResult::Overloaded;
  else if (Exchange.state() == ExchangeState::Complete)
    Result = isSuccess(Exchange.head().Status_) ? TargetResult::Success
                                                : TargetResult::ErrorReply;
  Context.Health_.end(Id, Result, Elapsed, Now);
  if (!FirstEventAt_ || Result == TargetResult::Broken)
    recordPace(Context, Exchange, Result, Elapsed, cost());
}

PromptEnd StreamRun::promptEnd(const TargetExchange &Exchange) const {
  if (AnswerCompleted_)
    return PromptEnd::Answered;
  // An answer without a length ends with its connection, also in a crash.
  bool HasEnded = Exchange.state() == ExchangeState::Broken ||
                  (Exchange.state() == ExchangeState::Complete &&
                   isSuccess(Exchange.head().Status_));
  bool IsAnswering =
      FirstEventAt_ && SteadyClock::now() - *FirstEventAt_ >= MinAnswerTime;
  return HasEnded && !IsAnswering ? PromptEnd::Lost : PromptEnd::Other;
}

Awaitable<StreamRun::Step> StreamRun::forwardEvents(TargetExchange &Exchange) {
  const protocol::TargetReply &Reply = Exchange.reply();
  if (!Reply.Signed_ || Reply.ContentEncoded_) {
    LogEvent(LogLevel::Warn, "answer_not_the_targets")
        .field("request", Scope_.Request_.Id_)
        .field("target", Exchange.target().Id_);
    co_return Step::TryAgain;
  }
  for (;;) {
    std::string Body = Exchange.takeBody();
    std::string WholeEvents = Events_.addBytes(Body);
    if (!WholeEvents.empty()) {
      if (!FirstEventAt_) {
        FirstEventAt_ = SteadyClock::now();
        recordPace(Scope_.Context_, Exchange, TargetResult::Success,
                   FirstEventAt_.value() - AttemptStart_, cost());
      }
      bool Written = co_await writeEvents(Exchange, std::move(WholeEvents));
      if (!Written)
        co_return Step::Finished;
    }
    if (Exchange.state() != ExchangeState::Answering)
      break;
    bool MayHold = PendingEvent_.resize(Events_.pendingBytes());
    if (!MayHold || Events_.pendingBytes() > EventStream::MaxEventBytes) {
      LogEvent(LogLevel::Warn, "event_too_large")
          .field("request", Scope_.Request_.Id_)
          .field("target", Exchange.target().Id_);
      Exchange.stop();
      break;
    }
    SteadyTime ReadUntil = readUntil();
    Exchange.setDeadline(ReadUntil);
    co_await Exchange.readMore();
    if (hasCallerFailed())
      noteCallerFailure();
    if (Scope_.CallerDisconnected_ || hasCallerFailed())
      co_return Step::Finished;
  }
  bool Complete = Exchange.state() == ExchangeState::Complete &&
                  !Events_.hasPartialEvent() && HeadWritten_;
  if (!Complete) {
    Events_.discardPartialEvent();
    co_return Step::TryAgain;
  }
  AnswerCompleted_ = true;
  Continuation_.onCompleted();
  co_return Step::Finished;
}

Awaitable<bool> StreamRun::writeEvents(TargetExchange &Exchange,
                                       std::string Events) {
  std::string Message;
  if (!HeadWritten_) {
    // An engine that sends events has read its inputs.
    Stages_.releaseAll();
    HeadWritten_ = true;
    Continuation_.onBegun(Exchange.target().Version_);
    Scope_.TimeToFirstEvent_ = std::chrono::duration_cast<Milliseconds>(
        SteadyClock::now() - Scope_.Arrival_);
    Scope_.Status_ = Exchange.head().Status_;
    Message = Scope_.Context_.Edge_.answerHead(Exchange.head());
    if (Scope_.Context_.Drain_.hasBegun()) {
      Scope_.CloseAfterAnswer_ = true;
      transport::appendField(Message, "Connection", "close");
    }
    transport::appendField(Message, "Transfer-Encoding", "chunked");
    Message.append("\r\n");
  }
  Message += transport::encodeChunk(Events);
  // The engine waits for the caller; that is not its fault.
  if (!Writer_->hasRoom(Message.size()))
    Exchange.setDeadline(Writer_->limit().deliverBy());
  LinkStatus Status = co_await Writer_->write(std::move(Message));
  if (Status == LinkStatus::Ok)
    co_return true;
  noteCallerFailure();
  co_return false;
}

Awaitable<void> StreamRun::finishAnswer() {
  Scope_.Interrupt_ = [this] {
    if (Scope_.CallerDisconnected_)
      Writer_->abandon();
  };
  std::string FinalChunk(transport::LastChunk);
  co_await Writer_->write(std::move(FinalChunk));
  co_await Writer_->finish();
  Scope_.Interrupt_ = nullptr;
  if (hasCallerFailed())
    noteCallerFailure();
}

SteadyTime StreamRun::readUntil() const {
  if (!HeadWritten_)
    return Scope_.Deadline_;
  SteadyTime NextEventBy = SteadyClock::now() + gapTolerance(Scope_);
  return std::min(Writer_->limit().deliverBy(),
                  std::max(Scope_.Deadline_, NextEventBy));
}

bool StreamRun::hasCallerFailed() const {
  return Writer_->status() != LinkStatus::Ok;
}

void StreamRun::noteCallerFailure() {
  Scope_.Reason_ = CallerDoesNotRead;
  Scope_.CloseAfterAnswer_ = true;
}

Awaitable<StreamRun::Step> StreamRun::handleFailure(TargetExchange &Exchange) {
  bool NotExecuted = Exchange.reply().NotExecuted_;
  int Status = Exchange.head().Status_;
  co_await Exchange.readAll();
  ++SentAttempts_;
  if (NotExecuted) {
    // 409: a stage result that the request needs no longer exists.
    if (Status == 409)
      Stages_.discardInputs();
    co_return Step::TryAgain;
  }
  ++PossibleRuns_;
  bool Usable = Exchange.state() == ExchangeState::Complete &&
                Exchange.reply().Signed_ && !HeadWritten_;
  if (!Usable || (Status >= 500 && mayTryAgain()))
    co_return Step::TryAgain;
  std::string Body = Exchange.takeBody();
  transport::HttpHead Head = Exchange.head();
  co_await sendTargetFailure(Scope_, Head, Body);
  co_return Step::Finished;
}

Awaitable<void> StreamRun::answerOrAbort() {
  if (!HeadWritten_) {
    co_await sendUnservedAnswer(Scope_, PossibleRuns_ > 0);
    co_return;
  }
  // Without the last chunk the caller sees that the answer is incomplete.
  Scope_.Reason_ = Continuation_.engines().empty()
                       ? "stream broken off: no target of its version serves"
                       : "stream broken off";
  Scope_.CloseAfterAnswer_ = true;
  Scope_.Caller_->abort();
}

} // namespace amaranth::serving
