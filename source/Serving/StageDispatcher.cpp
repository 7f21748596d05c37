#include "Serving/StageDispatcher.h"

#include "Serving/TargetExchange.h"
#include "Support/Log.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace amaranth::serving {

using coordination::QueuedPiece;
using coordination::TargetResult;
using protocol::PieceEnd;
using protocol::PieceOutcome;
using protocol::PieceReports;
using state::StageCapacity;
using state::TargetRecord;
using transport::Awaitable;

namespace {

/// How long a target that reported no room is taken as full: about the time
/// in which results of other calls are used and freed.
constexpr Milliseconds NoRoomPause{120};

Milliseconds expectedTime(const StageCapacity &Capacity, std::size_t Pieces) {
  auto Work = Capacity.PieceTime_ * static_cast<std::int64_t>(Pieces);
  return Capacity.CallTime_ + std::chrono::ceil<Milliseconds>(Work);
}

std::uint64_t totalBytes(const std::vector<QueuedPiece> &Call) {
  std::uint64_t Sum = 0;
  for (const QueuedPiece &Piece : Call)
    Sum += Piece.ResultBytes_;
  return Sum;
}

/// How long the piece that came first waited for its call.
Milliseconds longestWait(const std::vector<QueuedPiece> &Call,
                         SteadyTime Begin) {
  SteadyTime First = Begin;
  for (const QueuedPiece &Piece : Call)
    First = std::min(First, Piece.Since_);
  return std::chrono::floor<Milliseconds>(Begin - First);
}

/// Pieces that had better been made in another data centre.
std::size_t piecesAway(const std::vector<QueuedPiece> &Call,
                       const TargetRecord &Target) {
  return static_cast<std::size_t>(
      std::count_if(Call.begin(), Call.end(), [&](const QueuedPiece &Piece) {
        return !Piece.DataCentre_.empty() &&
               Piece.DataCentre_ != Target.DataCentre_;
      }));
}

std::size_t countOf(const std::vector<PieceOutcome> &Outcomes, PieceEnd End) {
  return static_cast<std::size_t>(
      std::count_if(Outcomes.begin(), Outcomes.end(),
                    [=](const PieceOutcome &One) { return One.End_ == End; }));
}

void addReport(std::map<std::string, PieceReports> &Reports,
               const QueuedPiece &Piece, const PieceOutcome &Outcome) {
  Reports[Piece.Owner_].Reports_.push_back({Piece.Piece_.RequestId_,
                                            Piece.Piece_.Stage_,
                                            Piece.Piece_.Piece_, Outcome});
}

/// What a finished exchange tells about the target.
TargetResult resultOf(const TargetExchange &Exchange) {
  switch (Exchange.state()) {
  case ExchangeState::NotSent:
    return TargetResult::Unreachable;
  case ExchangeState::NotExecuted:
    // It is called only when it has nothing else to do from here.
    return TargetResult::Failing;
  case ExchangeState::Complete:
    return Exchange.head().Status_ == 200 ? TargetResult::Good
                                          : TargetResult::Failing;
  case ExchangeState::TimedOut:
    // The next call would wait as long for nothing.
    return TargetResult::Failing;
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
    for (auto &[Service, Of] : Services_) {
      if (Of.Queue_.empty())
        continue;
      expirePieces(Of);
      pump(Service);
    }
  }
}

void StageDispatcher::order(const std::string &Owner,
                            const protocol::PieceOrder &Order) {
  SteadyTime Now = SteadyClock::now();
  QueuedPiece Piece;
  Piece.Piece_ = Order.Piece_;
  Piece.Owner_ = Owner;
  Piece.Service_ = Order.Service_;
  Piece.ResultBytes_ = Order.ResultBytes_;
  Piece.Priority_ = Order.Priority_;
  Piece.AimBy_ = Now + Order.AimLeft_;
  Piece.ExpiresAt_ = Now + Order.ExpiryLeft_;
  Piece.DataCentre_ = Order.DataCentre_;
  Piece.Repeat_ = Order.Repeat_;
  Piece.Since_ = Now;
  Context_.Budget_.onRequest(Order.Service_, Now);
  Services_[Order.Service_].Queue_.push(std::move(Piece));
  pumpSoon(Order.Service_);
}

void StageDispatcher::cancel(const std::string &Owner,
                             const std::string &RequestId) {
  for (auto &[Service, Of] : Services_)
    Of.Queue_.cancel(Owner, RequestId);
  SteadyTime Now = SteadyClock::now();
  std::erase_if(Cancelled_,
                [&](const auto &Item) { return Now >= Item.second; });
  Cancelled_[{Owner, RequestId}] = Now + Settings_.CancelMemory_;
}

void StageDispatcher::cancelOwner(const std::string &Owner) {
  for (auto &[Service, Of] : Services_)
    Of.Queue_.cancelOwner(Owner);
}

void StageDispatcher::expirePieces(ServiceState &Of) {
  std::map<std::string, PieceReports> Reports;
  PieceOutcome Late{PieceEnd::Late, ""};
  for (const QueuedPiece &Piece : Of.Queue_.takeExpired(SteadyClock::now()))
    addReport(Reports, Piece, Late);
  for (auto &[Owner, Batch] : Reports)
    Listener_.onPieceReports(Owner, std::move(Batch));
}

void StageDispatcher::pumpSoon(const std::string &Service) {
  ServiceState &Of = Services_[Service];
  if (Of.PumpPending_)
    return;
  Of.PumpPending_ = true;
  boost::asio::post(Context_.Loop_, [this, Service] {
    Services_[Service].PumpPending_ = false;
    pump(Service);
  });
}

void StageDispatcher::pump(const std::string &Service) {
  state::RoutingTablePtr Table = Context_.Table_;
  const state::Service *Known = Table ? Table->findService(Service) : nullptr;
  if (!Known || !Known->Stage_)
    return;
  ServiceState &Of = Services_[Service];
  while (!Of.Queue_.empty() && startCall(Service, Of, *Known->Stage_))
    ;
}

std::map<std::string, SteadyTime>
StageDispatcher::nextFree(const std::string &Service, ServiceState &Of,
                          const StageCapacity &Capacity, SteadyTime Now) {
  std::map<std::string, SteadyTime> Out;
  for (const TargetRecord *Target : Context_.Targets_.serving(Service)) {
    if (!Context_.Health_.usable(Target->Id_, Now))
      continue;
    const TargetState &State = Of.Targets_[Target->Id_];
    SteadyTime Free = State.Calls_ < Capacity.Slots_ ? Now : State.FreeAt_;
    auto [Known, Added] = Out.emplace(Target->DataCentre_, Free);
    if (!Added)
      Known->second = std::min(Known->second, Free);
  }
  return Out;
}

bool StageDispatcher::startCall(const std::string &Service, ServiceState &Of,
                                const StageCapacity &Capacity) {
  SteadyTime Now = SteadyClock::now();
  std::vector<std::pair<double, const TargetRecord *>> Free;
  for (const TargetRecord *Target : Context_.Targets_.serving(Service)) {
    const TargetState &State = Of.Targets_[Target->Id_];
    if (State.Calls_ < Capacity.Slots_ &&
        Context_.Health_.usable(Target->Id_, Now))
      Free.emplace_back(Context_.Health_.cost(Target->Id_, Now), Target);
  }
  std::sort(Free.begin(), Free.end());
  std::map<std::string, SteadyTime> NextFree =
      nextFree(Service, Of, Capacity, Now);
  for (const auto &[Cost, Target] : Free) {
    coordination::FreeTarget Offer;
    Offer.NextFree_ = NextFree;
    Offer.DataCentre_ = Target->DataCentre_;
    Offer.RoomLeft_ = Of.Ledger_.left(Target->Id_, Capacity.ResultRoom_, Now);
    Pieces Call = Of.Queue_.compose(Offer, Capacity, Now);
    if (Call.empty())
      continue;
    TargetState &State = Of.Targets_[Target->Id_];
    ++State.Calls_;
    State.FreeAt_ = Now + expectedTime(Capacity, Call.size());
    Of.Ledger_.reserve(Target->Id_, totalBytes(Call));
    auto Running = std::make_shared<RunningCall>();
    Running->Service_ = Service;
    Running->Target_ = *Target;
    Running->Capacity_ = Capacity;
    Running->Begin_ = Now;
    Running->Expected_ = expectedTime(Capacity, Call.size());
    Running->Pieces_ = std::move(Call);
    transport::startTask(Context_.Loop_, runCall(Running));
    if (State.Sole_ && Capacity.Slots_ == 1)
      transport::startTask(
          Context_.Loop_,
          reportInputsRead(Running,
                           Capacity.CallTime_ / Settings_.InputReadDivisor_));
    return true;
  }
  return false;
}

std::string StageDispatcher::requestFor(const RunningCall &Call) const {
  std::vector<protocol::StagePiece> Items;
  std::vector<std::optional<Milliseconds>> TimeLeft;
  for (const QueuedPiece &Piece : Call.Pieces_) {
    Items.push_back(Piece.Piece_);
    TimeLeft.push_back(remaining(Piece.ExpiresAt_));
  }
  return Context_.Edge_.stageCall(Items, Call.Target_.Id_, TimeLeft);
}

Awaitable<void> StageDispatcher::runCall(RunningCallPtr Running) {
  SteadyTime Deadline = Running->Begin_ +
                        Running->Expected_ * Settings_.TimeoutFactor_ +
                        Settings_.TimeoutBase_;
  std::string Request = requestFor(*Running);
  Context_.Health_.begin(Running->Target_.Id_);
  TargetExchange Exchange(Context_.Connections_, Context_.Edge_,
                          Running->Target_);
  std::string NoId;
  co_await Exchange.start(Request, NoId, Deadline);
  co_await Exchange.readAll();
  Running->Ended_ = true;
  finishCall(*Running, Exchange);
}

void StageDispatcher::finishCall(RunningCall &Call, TargetExchange &Exchange) {
  SteadyTime Now = SteadyClock::now();
  auto Took = std::chrono::ceil<Milliseconds>(Now - Call.Begin_);
  // Calls of different sizes are compared as if each had the usual time.
  Milliseconds Relative(Took.count() * 1000 /
                        std::max<std::int64_t>(1, Call.Expected_.count()));
  const std::string &Id = Call.Target_.Id_;
  std::vector<PieceOutcome> Outcomes;
  TargetResult Result = resultOf(Exchange);
  if (Result == TargetResult::Good) {
    std::string Body = Exchange.takeBody();
    auto Read = capture([&] { return Context_.Edge_.readStageAnswer(Body); });
    if (Read && Read->size() == Call.Pieces_.size())
      Outcomes = std::move(*Read);
    else
      Result = TargetResult::Failing;
  }
  Context_.Health_.end(Id, Result, Relative, Now);
  ServiceState &Of = Services_[Call.Service_];
  TargetState &State = Of.Targets_[Id];
  --State.Calls_;
  State.Sole_ = Result == TargetResult::Good &&
                Took < Call.Expected_ + Call.Capacity_.CallTime_ / 2;
  Of.Ledger_.unreserve(Id, totalBytes(Call.Pieces_));
  if (Outcomes.empty()) {
    bool NotRun = Exchange.state() == ExchangeState::NotExecuted ||
                  Exchange.state() == ExchangeState::NotSent;
    PieceOutcome Lost{NotRun ? PieceEnd::Refused : PieceEnd::Failed, ""};
    Outcomes.assign(Call.Pieces_.size(), Lost);
    LogEvent(LogLevel::Warn, "stage_call_failed")
        .field("service", Call.Service_)
        .field("target", Id)
        .field("pieces", Call.Pieces_.size())
        .field("state", static_cast<int>(Exchange.state()))
        .field("took_ms", Took.count());
  }
  logCall(Call, Outcomes, Took);
  settle(Call, Outcomes);
  pumpSoon(Call.Service_);
}

void StageDispatcher::logCall(const RunningCall &Call,
                              const std::vector<PieceOutcome> &Outcomes,
                              Milliseconds Took) {
  ServiceState &Of = Services_[Call.Service_];
  std::uint64_t RoomLeft = Of.Ledger_.left(
      Call.Target_.Id_, Call.Capacity_.ResultRoom_, SteadyClock::now());
  LogEvent(LogLevel::Info, "stage_call")
      .field("service", Call.Service_)
      .field("target", Call.Target_.Id_)
      .field("pieces", Call.Pieces_.size())
      .field("away", piecesAway(Call.Pieces_, Call.Target_))
      .field("made", countOf(Outcomes, PieceEnd::Made))
      .field("gone", countOf(Outcomes, PieceEnd::Gone))
      .field("late", countOf(Outcomes, PieceEnd::Late))
      .field("no_room", countOf(Outcomes, PieceEnd::NoRoom))
      .field("waited_ms", longestWait(Call.Pieces_, Call.Begin_).count())
      .field("took_ms", Took.count())
      .field("expected_ms", Call.Expected_.count())
      .field("queue", Of.Queue_.size())
      .field("room_left", RoomLeft);
}

Awaitable<void> StageDispatcher::reportInputsRead(RunningCallPtr Running,
                                                  Milliseconds ReadTime) {
  co_await transport::pause(Context_.Loop_, ReadTime);
  if (Running->Ended_)
    co_return;
  std::map<std::string, PieceReports> Reports;
  PieceOutcome Read{PieceEnd::InputsRead, ""};
  for (QueuedPiece &Piece : Running->Pieces_) {
    if (Piece.Piece_.Inputs_.empty())
      continue;
    Piece.InputsRead_ = true;
    addReport(Reports, Piece, Read);
  }
  for (auto &[Owner, Batch] : Reports)
    Listener_.onPieceReports(Owner, std::move(Batch));
}

void StageDispatcher::settle(RunningCall &Ended,
                             const std::vector<PieceOutcome> &Outcomes) {
  const std::string &Service = Ended.Service_;
  const TargetRecord &Target = Ended.Target_;
  Pieces &Call = Ended.Pieces_;
  ServiceState &Of = Services_[Service];
  SteadyTime Now = SteadyClock::now();
  std::map<std::string, PieceReports> Reports;
  Of.Made_.emplace_back(Now, countOf(Outcomes, PieceEnd::Made));
  for (std::size_t I = 0; I < Call.size(); ++I) {
    const PieceOutcome &Outcome = Outcomes[I];
    switch (Outcome.End_) {
    case PieceEnd::Made:
      // A handle that is known already comes from a repeated answer.
      if (Of.Ledger_.contains(Target.Id_, Outcome.Handle_)) {
        LogEvent(LogLevel::Warn, "stage_answer_repeated")
            .field("target", Target.Id_);
        retryOrReport(Of, std::move(Call[I]), PieceEnd::Failed, Reports);
        break;
      }
      Of.Ledger_.add(Target.Id_, Outcome.Handle_, Call[I].ResultBytes_,
                     Now + Ended.Capacity_.ResultLifetime_);
      if (Cancelled_.count(
              OwnedRequest{Call[I].Owner_, Call[I].Piece_.RequestId_}))
        release({Outcome.Handle_, Service});
      else
        addReport(Reports, Call[I], Outcome);
      break;
    case PieceEnd::Late:
    case PieceEnd::Gone:
      addReport(Reports, Call[I], Outcome);
      break;
    case PieceEnd::NoRoom:
      Of.Ledger_.onNoRoom(Target.Id_, Now + NoRoomPause);
      retryOrReport(Of, std::move(Call[I]), Outcome.End_, Reports);
      break;
    case PieceEnd::Failed:
    case PieceEnd::Refused:
    case PieceEnd::InputsRead:
      retryOrReport(Of, std::move(Call[I]), Outcome.End_, Reports);
      break;
    }
  }
  for (auto &[Owner, Batch] : Reports)
    Listener_.onPieceReports(Owner, std::move(Batch));
}

void StageDispatcher::retryOrReport(
    ServiceState &Of, QueuedPiece Piece, PieceEnd End,
    std::map<std::string, PieceReports> &Reports) {
  SteadyTime Now = SteadyClock::now();
  // Without its inputs it cannot be made again from here.
  if (!Piece.InputsRead_ && Now < Piece.ExpiresAt_ &&
      Context_.Budget_.tryTake(Piece.Service_, Now)) {
    Piece.Repeat_ = true;
    Of.Queue_.push(std::move(Piece));
    return;
  }
  PieceOutcome Outcome{End, ""};
  addReport(Reports, Piece, Outcome);
}

void StageDispatcher::release(const protocol::UnneededResult &Result) {
  std::string Address = Context_.Edge_.makerOf(Result.Handle_);
  for (const TargetRecord *Target :
       Context_.Targets_.serving(Result.Service_)) {
    if (Target->Address_ != Address)
      continue;
    TargetState &State = Services_[Result.Service_].Targets_[Target->Id_];
    State.ToFree_.push_back(Result.Handle_);
    if (!State.Freeing_) {
      State.Freeing_ = true;
      transport::startTask(Context_.Loop_,
                           freeResults(Result.Service_, *Target));
    }
    return;
  }
}

Awaitable<void> StageDispatcher::freeResults(std::string Service,
                                             TargetRecord Target) {
  // References into the maps stay valid: services and targets are not erased.
  ServiceState &Of = Services_[Service];
  TargetState &State = Of.Targets_[Target.Id_];
  while (!State.ToFree_.empty()) {
    std::vector<std::string> Handles = std::move(State.ToFree_);
    State.ToFree_.clear();
    std::string Request = Context_.Edge_.freeCall(Handles, Target.Id_);
    TargetExchange Exchange(Context_.Connections_, Context_.Edge_, Target);
    SteadyTime Deadline = SteadyClock::now() + Settings_.TimeoutBase_;
    std::string NoId;
    co_await Exchange.start(Request, NoId, Deadline);
    co_await Exchange.readAll();
    // Results that could not be freed expire by themselves.
    if (Exchange.state() == ExchangeState::Complete)
      for (const std::string &Handle : Handles)
        Of.Ledger_.remove(Target.Id_, Handle);
  }
  State.Freeing_ = false;
  pumpSoon(Service);
}

double StageDispatcher::fullRate(const std::string &Service) const {
  const state::Service *Known =
      Context_.Table_ ? Context_.Table_->findService(Service) : nullptr;
  if (!Known || !Known->Stage_)
    return 0;
  const StageCapacity &Capacity = *Known->Stage_;
  SteadyTime Now = SteadyClock::now();
  std::size_t Targets = 0;
  for (const TargetRecord *Target : Context_.Targets_.serving(Service))
    Targets += Context_.Health_.usable(Target->Id_, Now);
  auto Call = expectedTime(Capacity, Capacity.Batch_);
  return 1000.0 *
         static_cast<double>(Targets * Capacity.Slots_ * Capacity.Batch_) /
         std::max(1.0, static_cast<double>(Call.count()));
}

protocol::QueueState StageDispatcher::queueOf(const std::string &Service) {
  protocol::QueueState Out;
  Out.Service_ = Service;
  auto Found = Services_.find(Service);
  if (Found == Services_.end())
    return Out;
  ServiceState &Of = Found->second;
  coordination::StageQueue::Waiting Waiting = Of.Queue_.waiting();
  Out.InTime_ = std::move(Waiting.InTime_);
  Out.Late_ = Waiting.Late_;
  SteadyTime Oldest = SteadyClock::now() - Settings_.RateWindow_;
  while (!Of.Made_.empty() && Of.Made_.front().first < Oldest)
    Of.Made_.pop_front();
  std::size_t Made = 0;
  for (const auto &[Time, Count] : Of.Made_)
    Made += Count;
  double Measured = 1000.0 * static_cast<double>(Made) /
                    static_cast<double>(Settings_.RateWindow_.count());
  Out.PiecesPerSecond_ =
      std::max(Measured, Settings_.LeastRate_ * fullRate(Service));
  return Out;
}

std::vector<protocol::QueueState> StageDispatcher::queues() {
  std::vector<protocol::QueueState> Out;
  for (const auto &[Service, Of] : Services_)
    if (!Of.Queue_.empty())
      Out.push_back(queueOf(Service));
  return Out;
}

} // namespace amaranth::serving
