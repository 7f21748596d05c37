#include "Serving/StageDispatcher.h"

#include "Serving/RequestScope.h"
#include "Serving/SendPermits.h"
#include "Serving/TargetExchange.h"
#include "Support/Digest.h"
#include "Support/Log.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace amaranth::serving {

using coordination::configuredCallTime;
using coordination::QueuedPiece;
using coordination::TargetResult;
using protocol::PieceOutcome;
using protocol::PieceReports;
using protocol::PieceStatus;
using state::StageCapacity;
using state::TargetRecord;
using transport::Awaitable;

namespace {

/// How long a target that reported no memory for results counts as full: about
/// the time in which results of other calls are read and freed.
constexpr Milliseconds FullTargetPause{120};

/// Limits for the answers to calls, far above what sound targets send: decoding
/// an answer can take eighty times its size in memory.
constexpr std::size_t MaxAnswerBytes = 16 * 1024;
/// Of the id of a call, which the targets echo.
constexpr std::size_t CallIdBytes = 8;
constexpr std::size_t MaxAnswerBytesPerPiece = 1024;

std::uint64_t totalBytes(const std::vector<QueuedPiece> &CallPieces) {
  std::uint64_t Sum = 0;
  for (const QueuedPiece &Piece : CallPieces)
    Sum += Piece.ResultBytes_;
  return Sum;
}

/// Time that the piece enqueued first waited for its call.
Milliseconds longestWait(const std::vector<QueuedPiece> &CallPieces,
                         SteadyTime CallStart) {
  SteadyTime FirstEnqueued = CallStart;
  for (const QueuedPiece &Piece : CallPieces)
    FirstEnqueued = std::min(FirstEnqueued, Piece.EnqueuedAt_);
  return std::chrono::floor<Milliseconds>(CallStart - FirstEnqueued);
}

/// Number of pieces that prefer another data centre than the target's.
std::size_t countMisplacedPieces(const std::vector<QueuedPiece> &CallPieces,
                                 const TargetRecord &Target) {
  return static_cast<std::size_t>(std::count_if(
      CallPieces.begin(), CallPieces.end(), [&](const QueuedPiece &Piece) {
        return !Piece.DataCentre_.empty() &&
               Piece.DataCentre_ != Target.DataCentre_;
      }));
}

std::size_t countOutcomes(const std::vector<PieceOutcome> &Outcomes,
                          PieceStatus End) {
  return static_cast<std::size_t>(std::count_if(
      Outcomes.begin(), Outcomes.end(),
      [=](const PieceOutcome &Outcome) { return Outcome.Status_ == End; }));
}

/// Identifies a piece among those of all requests.
std::string pieceName(const QueuedPiece &Piece) {
  return Piece.Piece_.RequestId_ + "/" + std::to_string(Piece.Piece_.Stage_) +
         "/" + std::to_string(Piece.Piece_.Piece_);
}

void addReport(std::map<std::string, PieceReports> &Reports,
               const QueuedPiece &Piece, const PieceOutcome &Outcome) {
  Reports[Piece.EntryHost_].Reports_.push_back({Piece.Piece_.RequestId_,
                                                Piece.Piece_.Stage_,
                                                Piece.Piece_.Piece_, Outcome});
}

/// Classifies a finished exchange for the health of its target.
TargetResult classifyExchange(const TargetExchange &Exchange) {
  switch (Exchange.state()) {
  case ExchangeState::NotSent:
    return TargetResult::Unreachable;
  case ExchangeState::NotExecuted:
    // A target refuses although this dispatcher has not filled its slots.
    return TargetResult::TargetFault;
  case ExchangeState::Complete:
    return Exchange.head().Status_ == 200 ? TargetResult::Success
                                          : TargetResult::TargetFault;
  case ExchangeState::TimedOut:
    // Another call to this target would probably time out as well.
    return TargetResult::TargetFault;
  default:
    return TargetResult::Broken;
  }
}

} // namespace

StageDispatcher::StageDispatcher(EntryContext &Context,
                                 PieceReportListener &Listener,
                                 StageDispatcherSettings Settings)
    : Context_(Context), Listener_(Listener), Settings_(Settings) {}

void StageDispatcher::start() {
  transport::startTask(Context_.Loop_, checkQueues());
}

Awaitable<void> StageDispatcher::checkQueues() {
  for (;;) {
    co_await transport::pause(Context_.Loop_, Settings_.CheckPeriod_);
    Schedule_.forgetUnused(SteadyClock::now());
    for (auto &[ServiceName, Service] : Services_) {
      if (Service.Queue_.empty())
        continue;
      if (Context_.isEvacuated(ServiceName))
        refuseAllPieces(Service);
      reportExpiredPieces(Service);
      startCalls(ServiceName);
    }
  }
}

void StageDispatcher::enqueue(const std::string &OrderingHost,
                              const protocol::PieceOrder &Order) {
  SteadyTime Now = SteadyClock::now();
  QueuedPiece Piece;
  Piece.Piece_ = Order.Piece_;
  Piece.EntryHost_ = OrderingHost;
  Piece.Service_ = Order.Service_;
  Piece.ResultBytes_ = Order.ResultBytes_;
  Piece.Priority_ = Order.Priority_;
  Piece.AimBy_ = Now + Order.AimLeft_;
  Piece.ExpiresAt_ = Now + Order.ExpiryLeft_;
  Piece.DataCentre_ = Order.DataCentre_;
  Piece.WasSubmittedBefore_ = Order.Repeat_;
  Piece.EnqueuedAt_ = Now;
  Context_.RetryBudget_.onRequest(Order.Service_, Now);
  Services_[Order.Service_].Queue_.push(std::move(Piece));
  postStartCalls(Order.Service_);
}

void StageDispatcher::cancel(const std::string &OrderingHost,
                             const std::string &RequestId) {
  for (auto &[ServiceName, Service] : Services_)
    Service.Queue_.cancelRequest(OrderingHost, RequestId);
  SteadyTime Now = SteadyClock::now();
  std::erase_if(Cancelled_,
                [&](const auto &Item) { return Now >= Item.second; });
  Cancelled_[{OrderingHost, RequestId}] = Now + Settings_.CancelRetention_;
}

void StageDispatcher::dropEntryHost(const std::string &OrderingHost) {
  std::map<std::string, PieceReports> Reports;
  PieceOutcome NotRun{PieceStatus::Refused, ""};
  for (auto &[ServiceName, Service] : Services_)
    for (const QueuedPiece &Piece : Service.Queue_.takeEntryHost(OrderingHost))
      addReport(Reports, Piece, NotRun);
  for (auto &[Host, Batch] : Reports)
    Listener_.onPieceReports(Host, std::move(Batch));
}

void StageDispatcher::reportExpiredPieces(ServiceState &Service) {
  std::map<std::string, PieceReports> Reports;
  PieceOutcome LateOutcome{PieceStatus::Expired, ""};
  for (const QueuedPiece &Piece :
       Service.Queue_.takeExpired(SteadyClock::now()))
    addReport(Reports, Piece, LateOutcome);
  for (auto &[OrderingHost, Batch] : Reports)
    Listener_.onPieceReports(OrderingHost, std::move(Batch));
}

void StageDispatcher::refuseAllPieces(ServiceState &Service) {
  std::map<std::string, PieceReports> Reports;
  PieceOutcome NotRun{PieceStatus::Refused, ""};
  // At the end of time, the deadlines of all pieces have passed.
  for (const QueuedPiece &Piece : Service.Queue_.takeExpired(SteadyTime::max()))
    addReport(Reports, Piece, NotRun);
  for (auto &[OrderingHost, Batch] : Reports)
    Listener_.onPieceReports(OrderingHost, std::move(Batch));
}

void StageDispatcher::postStartCalls(const std::string &ServiceName) {
  ServiceState &Service = Services_[ServiceName];
  if (Service.StartCallsPosted_)
    return;
  Service.StartCallsPosted_ = true;
  boost::asio::post(Context_.Loop_, [this, ServiceName] {
    Services_[ServiceName].StartCallsPosted_ = false;
    startCalls(ServiceName);
  });
}

void StageDispatcher::startCalls(const std::string &ServiceName) {
  state::RoutingTablePtr Table = Context_.Table_;
  const state::Service *ServiceConfig =
      Table ? Table->findService(ServiceName) : nullptr;
  if (!ServiceConfig || !ServiceConfig->Stage_)
    return;
  ServiceState &Service = Services_[ServiceName];
  while (!Service.Queue_.empty() &&
         tryStartCall(ServiceName, Service, *ServiceConfig->Stage_))
    ;
}

std::map<std::string, SteadyTime> StageDispatcher::earliestFreeTimes(
    const std::string &ServiceName, ServiceState &Service,
    const StageCapacity &Capacity, SteadyTime Now) {
  std::map<std::string, SteadyTime> FreeTimes;
  for (const TargetRecord *Target : Context_.eligibleTargets(ServiceName)) {
    if (!Context_.Health_.isUsable(Target->Id_, Now))
      continue;
    const TargetState &State = Service.Targets_[Target->Id_];
    SteadyTime FreeAt =
        State.Calls_ < Capacity.Slots_ ? Now : State.ExpectedFreeAt_;
    FreeAt = std::max(FreeAt, Now + timeToPlace(Target->Id_, Now));
    auto [Entry, Inserted] = FreeTimes.emplace(Target->DataCentre_, FreeAt);
    if (!Inserted)
      Entry->second = std::min(Entry->second, FreeAt);
  }
  return FreeTimes;
}

bool StageDispatcher::tryStartCall(const std::string &ServiceName,
                                   ServiceState &Service,
                                   const StageCapacity &Capacity) {
  SteadyTime Now = SteadyClock::now();
  std::vector<std::pair<double, const TargetRecord *>> FreeTargets;
  for (const TargetRecord *Target : Context_.eligibleTargets(ServiceName)) {
    const TargetState &State = Service.Targets_[Target->Id_];
    if (State.Calls_ < Capacity.Slots_ &&
        Context_.Health_.isUsable(Target->Id_, Now) &&
        timeToPlace(Target->Id_, Now) == SteadyClock::duration(0))
      FreeTargets.emplace_back(Context_.Health_.cost(Target->Id_, Now), Target);
  }
  std::sort(FreeTargets.begin(), FreeTargets.end());
  std::map<std::string, SteadyTime> EarliestFree =
      earliestFreeTimes(ServiceName, Service, Capacity, Now);
  for (const auto &[Cost, Target] : FreeTargets) {
    coordination::FreeTarget Offer;
    Offer.NextFreeTimes_ = EarliestFree;
    Offer.DataCentre_ = Target->DataCentre_;
    Offer.FreeResultBytes_ = Service.Ledger_.freeBytes(
        Target->Id_, Capacity.ResultMemoryBytes_, Now);
    Pieces CallPieces = Service.Queue_.composeCall(Offer, Capacity, Now);
    if (CallPieces.empty())
      continue;
    takePlace(Target->Id_, Now);
    TargetState &State = Service.Targets_[Target->Id_];
    ++State.Calls_;
    State.ExpectedFreeAt_ =
        Now + configuredCallTime(Capacity, CallPieces.size());
    Service.Ledger_.reserve(Target->Id_, totalBytes(CallPieces));
    auto Running = std::make_shared<RunningCall>();
    Running->Service_ = ServiceName;
    Running->Target_ = *Target;
    Running->Capacity_ = Capacity;
    Running->StartedAt_ = Now;
    Running->ExpectedTime_ = configuredCallTime(Capacity, CallPieces.size());
    Running->Pieces_ = std::move(CallPieces);
    Running->Saturated_ = Service.Queue_.size() >= Capacity.MaxBatchPieces_;
    transport::startTask(Context_.Loop_, runCall(Running));
    if (State.IsOnlyDispatcher_ && Capacity.Slots_ == 1)
      transport::startTask(
          Context_.Loop_,
          reportInputsRead(Running, Capacity.CallOverhead_ /
                                        Settings_.InputReadDivisor_));
    return true;
  }
  return false;
}

std::string StageDispatcher::encodeCall(const RunningCall &Call,
                                        const std::string &CallId) const {
  std::vector<protocol::StagePiece> Items;
  std::vector<std::optional<Milliseconds>> TimeLeft;
  for (const QueuedPiece &Piece : Call.Pieces_) {
    Items.push_back(Piece.Piece_);
    TimeLeft.push_back(remaining(Piece.ExpiresAt_));
  }
  return Context_.Edge_.stageCall(Items, Call.Target_.Id_, CallId, TimeLeft);
}

Awaitable<void> StageDispatcher::runCall(RunningCallPtr Running) {
  SteadyTime Deadline = Running->StartedAt_ +
                        Running->ExpectedTime_ * Settings_.TimeoutFactor_ +
                        Settings_.TimeoutBase_;
  std::string CallId = randomHex(CallIdBytes);
  std::string Request = encodeCall(*Running, CallId);
  TargetExchangeSettings Settings = Context_.exchangeSettings(Running->Target_);
  Settings.MaxBody_ =
      MaxAnswerBytes + MaxAnswerBytesPerPiece * Running->Pieces_.size();
  Settings.HoldsConnection_ = true;
  Settings.MayLackId_ = true;
  Context_.Health_.begin(Running->Target_.Id_);
  TargetExchange Exchange(Context_.Connections_, Context_.Edge_,
                          Context_.MessageBytes_, Running->Target_, Settings);
  co_await Exchange.start(Request, CallId, Deadline);
  recordStatement(Context_, Exchange);
  co_await Exchange.readAll();
  Running->Ended_ = true;
  finishCall(*Running, Exchange);
}

void StageDispatcher::finishCall(RunningCall &Call, TargetExchange &Exchange) {
  SteadyTime Now = SteadyClock::now();
  auto Elapsed = std::chrono::ceil<Milliseconds>(Now - Call.StartedAt_);
  // Scaled to an expected time of 1000 ms, so that calls of different sizes
  // can be compared.
  Milliseconds NormalizedTime(
      Elapsed.count() * 1000 /
      std::max<std::int64_t>(1, Call.ExpectedTime_.count()));
  const std::string &Id = Call.Target_.Id_;
  std::vector<PieceOutcome> Outcomes;
  TargetResult Result = classifyExchange(Exchange);
  if (Result == TargetResult::Success) {
    std::string Body = Exchange.takeBody();
    auto Decoded =
        capture([&] { return Context_.Edge_.readStageAnswer(Body); });
    if (Decoded && Decoded->size() == Call.Pieces_.size())
      Outcomes = std::move(*Decoded);
    else
      Result = TargetResult::TargetFault;
  }
  // After a copy, the answer to this call is still due on the connection, and
  // an answer without results does not show whose it is.
  if (isEarlierAnswer(Call, Outcomes))
    Outcomes.clear();
  else if (countOutcomes(Outcomes, PieceStatus::Completed) > 0)
    Exchange.releaseConnection();
  bool IsWithheld = Exchange.state() == ExchangeState::Withheld;
  if (IsWithheld) {
    Context_.Health_.cancel(Id);
  } else {
    Context_.Health_.end(Id, Result, NormalizedTime, Now);
    Context_.Permits_.pace().onOwnResponse(Call.Target_, Result, NormalizedTime,
                                           Now);
  }
  ServiceState &Service = Services_[Call.Service_];
  TargetState &State = Service.Targets_[Id];
  --State.Calls_;
  State.IsOnlyDispatcher_ =
      Result == TargetResult::Success &&
      Elapsed < Call.ExpectedTime_ + Call.Capacity_.CallOverhead_ / 2;
  Service.Ledger_.unreserve(Id, totalBytes(Call.Pieces_));
  if (Result == TargetResult::Success)
    Service.Statistics_.add(Call.Capacity_,
                            countOutcomes(Outcomes, PieceStatus::Completed),
                            Call.Saturated_, Elapsed);
  if (IsWithheld) {
    // Nothing was sent, so that this takes nothing from the retry budget.
    for (QueuedPiece &Piece : Call.Pieces_)
      Service.Queue_.push(std::move(Piece));
    postStartCalls(Call.Service_);
    return;
  }
  if (Outcomes.empty()) {
    bool NotRun = Exchange.state() == ExchangeState::NotExecuted ||
                  Exchange.state() == ExchangeState::NotSent;
    PieceOutcome CallFailure{
        NotRun ? PieceStatus::Refused : PieceStatus::Failed, ""};
    Outcomes.assign(Call.Pieces_.size(), CallFailure);
    LogEvent(LogLevel::Warn, "stage_call_failed")
        .field("service", Call.Service_)
        .field("target", Id)
        .field("pieces", Call.Pieces_.size())
        .field("state", static_cast<int>(Exchange.state()))
        .field("took_ms", Elapsed.count());
  }
  logCall(Call, Outcomes, Elapsed);
  handleOutcomes(Call, Outcomes);
  postStartCalls(Call.Service_);
}

bool StageDispatcher::isEarlierAnswer(
    const RunningCall &Call, const std::vector<PieceOutcome> &Outcomes) {
  const std::string &Target = Call.Target_.Id_;
  const coordination::ResultLedger &Ledger = Services_[Call.Service_].Ledger_;
  for (std::size_t I = 0; I < Outcomes.size(); ++I)
    if (Outcomes[I].Status_ == PieceStatus::Completed &&
        Ledger.wasReportedForOther(Target, Outcomes[I].Handle_,
                                   pieceName(Call.Pieces_[I]))) {
      LogEvent(LogLevel::Warn, "stage_answer_repeated").field("target", Target);
      return true;
    }
  return false;
}

void StageDispatcher::logCall(const RunningCall &Call,
                              const std::vector<PieceOutcome> &Outcomes,
                              Milliseconds Elapsed) {
  ServiceState &Service = Services_[Call.Service_];
  std::uint64_t FreeBytes = Service.Ledger_.freeBytes(
      Call.Target_.Id_, Call.Capacity_.ResultMemoryBytes_, SteadyClock::now());
  LogEvent(LogLevel::Info, "stage_call")
      .field("service", Call.Service_)
      .field("target", Call.Target_.Id_)
      .field("pieces", Call.Pieces_.size())
      .field("away", countMisplacedPieces(Call.Pieces_, Call.Target_))
      .field("made", countOutcomes(Outcomes, PieceStatus::Completed))
      .field("gone", countOutcomes(Outcomes, PieceStatus::InputMissing))
      .field("late", countOutcomes(Outcomes, PieceStatus::Expired))
      .field("no_room", countOutcomes(Outcomes, PieceStatus::NoCapacity))
      .field("waited_ms", longestWait(Call.Pieces_, Call.StartedAt_).count())
      .field("took_ms", Elapsed.count())
      .field("expected_ms", Call.ExpectedTime_.count())
      .field("queue", Service.Queue_.size())
      .field("room_left", FreeBytes);
}

Awaitable<void> StageDispatcher::reportInputsRead(RunningCallPtr Running,
                                                  Milliseconds ReadTime) {
  co_await transport::pause(Context_.Loop_, ReadTime);
  if (Running->Ended_)
    co_return;
  std::map<std::string, PieceReports> Reports;
  PieceOutcome InputsReadOutcome{PieceStatus::InputsRead, ""};
  for (QueuedPiece &Piece : Running->Pieces_) {
    if (Piece.Piece_.Inputs_.empty())
      continue;
    Piece.InputsRead_ = true;
    addReport(Reports, Piece, InputsReadOutcome);
  }
  for (auto &[OrderingHost, Batch] : Reports)
    Listener_.onPieceReports(OrderingHost, std::move(Batch));
}

void StageDispatcher::handleOutcomes(
    RunningCall &Call, const std::vector<PieceOutcome> &Outcomes) {
  const std::string &ServiceName = Call.Service_;
  const TargetRecord &Target = Call.Target_;
  Pieces &CallPieces = Call.Pieces_;
  ServiceState &Service = Services_[ServiceName];
  SteadyTime Now = SteadyClock::now();
  std::map<std::string, PieceReports> Reports;
  for (std::size_t I = 0; I < CallPieces.size(); ++I) {
    const PieceOutcome &Outcome = Outcomes[I];
    switch (Outcome.Status_) {
    case PieceStatus::Completed:
      Service.Ledger_.add(Target.Id_, Outcome.Handle_, pieceName(CallPieces[I]),
                          CallPieces[I].ResultBytes_,
                          Now + Call.Capacity_.ResultLifetime_);
      if (Cancelled_.count(RequestKey{CallPieces[I].EntryHost_,
                                      CallPieces[I].Piece_.RequestId_}))
        releaseResult({Outcome.Handle_, ServiceName});
      else
        addReport(Reports, CallPieces[I], Outcome);
      break;
    case PieceStatus::Expired:
    case PieceStatus::InputMissing:
      addReport(Reports, CallPieces[I], Outcome);
      break;
    case PieceStatus::NoCapacity:
      Service.Ledger_.onTargetFull(Target.Id_, Now + FullTargetPause);
      retryOrReport(Service, std::move(CallPieces[I]), Outcome.Status_,
                    Reports);
      break;
    case PieceStatus::Failed:
    case PieceStatus::Refused:
    case PieceStatus::InputsRead:
      retryOrReport(Service, std::move(CallPieces[I]), Outcome.Status_,
                    Reports);
      break;
    }
  }
  for (auto &[OrderingHost, Batch] : Reports)
    Listener_.onPieceReports(OrderingHost, std::move(Batch));
}

void StageDispatcher::retryOrReport(
    ServiceState &Service, QueuedPiece Piece, PieceStatus End,
    std::map<std::string, PieceReports> &Reports) {
  SteadyTime Now = SteadyClock::now();
  // A piece whose inputs may have been freed cannot be computed again here.
  if (!Piece.InputsRead_ && Now < Piece.ExpiresAt_ &&
      Context_.RetryBudget_.tryTake(Piece.Service_, Now)) {
    Piece.WasSubmittedBefore_ = true;
    Service.Queue_.push(std::move(Piece));
    return;
  }
  PieceOutcome Outcome{End, ""};
  addReport(Reports, Piece, Outcome);
}

void StageDispatcher::releaseResult(const protocol::UnneededResult &Result) {
  std::string Address = Context_.Edge_.holderAddress(Result.Handle_);
  for (const TargetRecord *Target :
       Context_.Targets_.serving(Result.Service_)) {
    if (Target->Address_ != Address)
      continue;
    TargetState &State = Services_[Result.Service_].Targets_[Target->Id_];
    State.HandlesToFree_.push_back(Result.Handle_);
    if (!State.FreeCallRunning_) {
      State.FreeCallRunning_ = true;
      transport::startTask(Context_.Loop_,
                           freeResults(Result.Service_, *Target));
    }
    return;
  }
}

SteadyClock::duration StageDispatcher::timeToPlace(const std::string &Target,
                                                   SteadyTime Now) {
  std::optional<double> Limit = Context_.Notices_.limit(Target);
  SteadyClock::duration Pace =
      Context_.Permits_.pace().timeToOwnPlace(Target, Now);
  return Limit ? std::max(Pace, Schedule_.timeToPlace(Target, *Limit, Now))
               : Pace;
}

void StageDispatcher::takePlace(const std::string &Target, SteadyTime Now) {
  if (std::optional<double> Limit = Context_.Notices_.limit(Target))
    Schedule_.reserve(Target, *Limit, SteadyClock::duration(0), Now);
  Context_.Permits_.pace().reserveOwn(Target, Now);
}

SteadyClock::duration StageDispatcher::timeToFree(const TargetRecord &Target,
                                                  const TargetState &State,
                                                  SteadyTime Now) {
  const coordination::TargetNotices &Notices = Context_.Notices_;
  SteadyTime At = Now;
  if (Notices.check(Target, Now) == coordination::Withheld::WantsNothing)
    At = Notices.wantsNothingUntil(Target.Id_).value_or(Now);
  if (Notices.limit(Target.Id_))
    At = std::max(At, State.FreeAgainAt_);
  return std::max(At - Now, timeToPlace(Target.Id_, Now));
}

Awaitable<void> StageDispatcher::freeResults(std::string ServiceName,
                                             TargetRecord Target) {
  // References into the maps stay valid: services and targets are not erased.
  ServiceState &Service = Services_[ServiceName];
  TargetState &State = Service.Targets_[Target.Id_];
  while (!State.HandlesToFree_.empty()) {
    SteadyTime Now = SteadyClock::now();
    auto Delay =
        std::chrono::ceil<Milliseconds>(timeToFree(Target, State, Now));
    if (Delay > Milliseconds(0)) {
      co_await transport::pause(Context_.Loop_, Delay);
      continue;
    }
    if (!Context_.findEligible(Target.Id_)) {
      // The results expire on the target.
      State.HandlesToFree_.clear();
      break;
    }
    takePlace(Target.Id_, Now);
    if (std::optional<double> Limit = Context_.Notices_.limit(Target.Id_))
      State.FreeAgainAt_ =
          Now + Schedule_.interval(*Limit) * Settings_.LimitedFreeDivisor_;
    std::vector<std::string> Handles = std::move(State.HandlesToFree_);
    State.HandlesToFree_.clear();
    std::string CallId = randomHex(CallIdBytes);
    std::string Request =
        Context_.Edge_.freeResultsCall(Handles, Target.Id_, CallId);
    TargetExchangeSettings Settings = Context_.exchangeSettings(Target);
    Settings.MaxBody_ = MaxAnswerBytes;
    Settings.MayLackId_ = true;
    TargetExchange Exchange(Context_.Connections_, Context_.Edge_,
                            Context_.MessageBytes_, Target, Settings);
    SteadyTime Deadline = SteadyClock::now() + Settings_.TimeoutBase_;
    co_await Exchange.start(Request, CallId, Deadline);
    recordStatement(Context_, Exchange);
    co_await Exchange.readAll();
    // If the call failed, the results expire on the target.
    if (Exchange.state() == ExchangeState::Complete)
      for (const std::string &Handle : Handles)
        Service.Ledger_.remove(Target.Id_, Handle);
  }
  State.FreeCallRunning_ = false;
  postStartCalls(ServiceName);
}

double StageDispatcher::maxPieceRate(const std::string &ServiceName) const {
  const state::Service *ServiceConfig =
      Context_.Table_ ? Context_.Table_->findService(ServiceName) : nullptr;
  if (!ServiceConfig || !ServiceConfig->Stage_)
    return 0;
  const StageCapacity &Capacity = *ServiceConfig->Stage_;
  SteadyTime Now = SteadyClock::now();
  auto CallTime = configuredCallTime(Capacity, Capacity.MaxBatchPieces_);
  double CallsPerTarget = 1000.0 * static_cast<double>(Capacity.Slots_) /
                          std::max(1.0, static_cast<double>(CallTime.count()));
  double Calls = 0;
  for (const TargetRecord *Target : Context_.eligibleTargets(ServiceName))
    if (Context_.Health_.isUsable(Target->Id_, Now))
      Calls += std::min(
          CallsPerTarget,
          Context_.Notices_.limit(Target->Id_).value_or(CallsPerTarget));
  return Calls * static_cast<double>(Capacity.MaxBatchPieces_);
}

protocol::QueueState
StageDispatcher::queueState(const std::string &ServiceName) {
  protocol::QueueState State;
  State.Service_ = ServiceName;
  auto Found = Services_.find(ServiceName);
  if (Found == Services_.end())
    return State;
  ServiceState &Service = Found->second;
  State.PiecesPerSecond_ =
      maxPieceRate(ServiceName) * Service.Statistics_.yield();
  return State;
}

std::vector<protocol::QueueState> StageDispatcher::queueStates() {
  std::vector<protocol::QueueState> States;
  for (const auto &[ServiceName, Service] : Services_)
    States.push_back(queueState(ServiceName));
  return States;
}

} // namespace amaranth::serving
