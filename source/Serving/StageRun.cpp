#include "Serving/StageRun.h"

#include "Support/Log.h"

namespace amaranth::serving {

using coordination::StagePlan;
using protocol::PieceEnd;
using state::StageStep;
using transport::Awaitable;

namespace {

/// Times that a piece is made anew before the request is given up.
constexpr int MaxPieceFailures = 4;
/// How often a request that is held asks whether its stages may begin.
constexpr Milliseconds HoldPeriod{60};

} // namespace

StageRun::StageRun(RequestScope &Scope, StageClient &Client, SteadyTime ReadyBy,
                   SteadyTime UsableUntil, std::string DataCentre)
    : Scope_(Scope), Client_(Client),
      Plan_(Scope.Route_->Stages_, Scope.Request_.Pieces_, *Scope.Table_),
      ReadyBy_(ReadyBy), UsableUntil_(UsableUntil),
      DataCentre_(std::move(DataCentre)), Changed_(Scope.Context_.Loop_) {}

StageRun::~StageRun() {
  Scope_.Interrupt_ = nullptr;
  Client_.cancel(Scope_.Request_.Id_);
  release();
}

Awaitable<StageEnd> StageRun::run() {
  Scope_.Interrupt_ = [this] { Changed_.notify(); };
  std::optional<StageEnd> Early = co_await waitForStart();
  if (Early)
    co_return *Early;
  while (!Plan_.allMade()) {
    orderReady();
    bool Woken = co_await Changed_.wait(UsableUntil_);
    if (Scope_.Gone_)
      co_return StageEnd::CallerGone;
    if (!Woken || OutOfTime_)
      co_return StageEnd::OutOfTime;
    if (Failed_)
      co_return StageEnd::Failed;
  }
  Scope_.Interrupt_ = nullptr;
  co_return StageEnd::Done;
}

Awaitable<std::optional<StageEnd>> StageRun::waitForStart() {
  using coordination::StageStart;
  while (!Begun_ && !Plan_.allMade()) {
    SteadyTime Now = SteadyClock::now();
    StageStart Start = Scope_.Context_.StageAdmission_.decide(
        Plan_, Scope_.Priority_, ReadyBy_, UsableUntil_, Now);
    if (Start == StageStart::Begin)
      break;
    if (Start == StageStart::Refuse)
      co_return StageEnd::OutOfTime;
    SteadyTime Next = Now + HoldPeriod;
    co_await Changed_.wait(Next);
    if (Scope_.Gone_)
      co_return StageEnd::CallerGone;
  }
  Begun_ = true;
  co_return std::nullopt;
}

Milliseconds StageRun::retryAfter() const {
  return Scope_.Context_.StageAdmission_.retryAfter(Plan_);
}

void StageRun::orderReady() {
  std::vector<PieceRequest> Orders;
  for (PieceId Id : Plan_.takeReady())
    Orders.push_back(request(Id));
  if (!Orders.empty())
    Client_.order(std::move(Orders), *this);
}

PieceRequest StageRun::request(PieceId Id) {
  const StageStep &Step = Plan_.step(Id.Stage_);
  PieceRequest Out;
  protocol::PieceOrder &Order = Out.Order_;
  Order.Piece_.RequestId_ = Scope_.Request_.Id_;
  Order.Piece_.Stage_ = Id.Stage_;
  Order.Piece_.Piece_ = Id.Piece_;
  Order.Piece_.Inputs_ = Plan_.inputsOf(Id.Stage_);
  if (Order.Piece_.Inputs_.empty())
    Order.Piece_.Key_ = Scope_.Request_.PieceKey_;
  Order.Service_ = Step.Service_;
  Order.ResultBytes_ = Step.ResultBytes_;
  Order.Priority_ = Scope_.Priority_;
  Order.DataCentre_ = preferredDataCentre(Id.Stage_);
  Order.Repeat_ = Plan_.orderedBefore(Id);
  Milliseconds After = Plan_.timeAfter(Id.Stage_);
  Out.AimBy_ = ReadyBy_ - After;
  Out.ExpiresAt_ = UsableUntil_ - After;
  return Out;
}

std::string StageRun::dataCentreOf(const std::string &Handle,
                                   const std::string &Service) const {
  const EntryContext &Context = Scope_.Context_;
  std::string Address = Context.Edge_.makerOf(Handle);
  for (const state::TargetRecord *Maker : Context.Targets_.serving(Service))
    if (Maker->Address_ == Address)
      return Maker->DataCentre_;
  return "";
}

std::string StageRun::preferredDataCentre(std::size_t Stage) const {
  std::map<std::string, std::uint64_t> BytesAt;
  for (std::size_t Earlier : Plan_.step(Stage).After_) {
    const StageStep &Step = Plan_.step(Earlier);
    for (const std::string &Handle : Plan_.handles(Earlier))
      BytesAt[dataCentreOf(Handle, Step.Service_)] += Step.ResultBytes_;
  }
  std::string Best = Plan_.isLast(Stage) ? DataCentre_ : "";
  std::uint64_t Most = Plan_.step(Stage).ResultBytes_;
  for (const auto &[DataCentre, Sum] : BytesAt)
    if (Sum > Most) {
      Best = DataCentre;
      Most = Sum;
    }
  return Best;
}

std::map<std::string, std::uint64_t> StageRun::inputBytes() const {
  std::map<std::string, std::uint64_t> Out;
  for (std::size_t Stage = 0; Stage < Plan_.stages(); ++Stage)
    if (Plan_.isLast(Stage))
      for (const std::string &Handle : Plan_.handles(Stage))
        Out[dataCentreOf(Handle, Plan_.step(Stage).Service_)] +=
            Plan_.step(Stage).ResultBytes_;
  return Out;
}

std::size_t StageRun::inputsAway(const std::string &DataCentre) const {
  std::size_t Away = 0;
  for (std::size_t Stage = 0; Stage < Plan_.stages(); ++Stage)
    if (Plan_.isLast(Stage))
      for (const std::string &Handle : Plan_.handles(Stage))
        Away += dataCentreOf(Handle, Plan_.step(Stage).Service_) != DataCentre;
  return Away;
}

void StageRun::onPiece(const protocol::PieceReport &Report) {
  PieceId Id{Report.Stage_, Report.Piece_};
  if (!Plan_.contains(Id))
    return;
  if (Report.Outcome_.End_ == PieceEnd::InputsRead) {
    free(Plan_.onInputsRead(Id));
    return;
  }
  Changed_.notify();
  switch (Report.Outcome_.End_) {
  case PieceEnd::Made:
    free(Plan_.onMade(Id, Report.Outcome_.Handle_));
    if (Plan_.stageMade(Id.Stage_))
      logStageDone(Id.Stage_);
    return;
  case PieceEnd::Late:
    OutOfTime_ = true;
    return;
  default:
    free(Plan_.onFailed(Id, Report.Outcome_.End_ == PieceEnd::Gone));
    Failed_ = Failed_ || Plan_.failures(Id) > MaxPieceFailures;
  }
}

void StageRun::logStageDone(std::size_t Stage) const {
  auto Since = std::chrono::duration_cast<Milliseconds>(SteadyClock::now() -
                                                        Scope_.Arrival_);
  LogEvent(LogLevel::Info, "stage_done")
      .field("id", Scope_.Request_.Id_)
      .field("stage", Stage)
      .field("pieces", Plan_.pieces(Stage))
      .field("ms", Since.count());
}

void StageRun::free(const std::vector<StagePlan::Freed> &Results) {
  std::vector<protocol::UnneededResult> Unneeded;
  for (const StagePlan::Freed &One : Results)
    Unneeded.push_back({One.Handle_, Plan_.step(One.Stage_).Service_});
  if (!Unneeded.empty())
    Client_.release(Unneeded);
}

void StageRun::forgetInputs() { free(Plan_.forgetLast()); }

void StageRun::release() { free(Plan_.freeAll()); }

} // namespace amaranth::serving
