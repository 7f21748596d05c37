#include "Serving/StageRun.h"

#include "Support/Log.h"

namespace amaranth::serving {

using coordination::StagePlan;
using protocol::PieceStatus;
using state::StageStep;
using transport::Awaitable;

namespace {

/// A request fails when one of its pieces has failed more often than this.
constexpr int MaxPieceFailures = 4;
/// Time between sending a call and the reading of its inputs.
constexpr Milliseconds InputReadReserve{100};
/// How often a request whose stages may not start yet checks again.
constexpr Milliseconds StartCheckPeriod{60};

} // namespace

StageRun::StageRun(RequestScope &Scope, StageClient &Client, SteadyTime ReadyBy,
                   SteadyTime UsableUntil, std::string DataCentre)
    : Scope_(Scope), Client_(Client),
      Plan_(Scope.Route_->Stages_, Scope.Request_.PieceCounts_, *Scope.Table_),
      ReadyBy_(ReadyBy), UsableUntil_(UsableUntil),
      DataCentre_(std::move(DataCentre)), PlanChanged_(Scope.Context_.Loop_) {
  Outstanding_ = {&Plan_, Scope.Priority_, ReadyBy_, false};
}

StageRun::~StageRun() {
  Scope_.Interrupt_ = nullptr;
  Scope_.Context_.OutstandingWork_.remove(Outstanding_);
  Client_.cancelRequest(Scope_.Request_.Id_);
  releaseAll();
}

Awaitable<StageEnd> StageRun::run() {
  Scope_.Interrupt_ = [this] { PlanChanged_.notify(); };
  std::optional<StageEnd> EarlyEnd = co_await waitForStart();
  if (EarlyEnd)
    co_return *EarlyEnd;
  while (!Plan_.isComplete()) {
    if (Scope_.HostStops_)
      co_return StageEnd::HostStops;
    if (needsEvacuatedService())
      co_return StageEnd::Evacuated;
    orderReadyPieces();
    bool Notified = co_await PlanChanged_.wait(UsableUntil_);
    if (Scope_.CallerDisconnected_)
      co_return StageEnd::CallerDisconnected;
    if (!Notified || OutOfTime_)
      co_return StageEnd::OutOfTime;
    if (Failed_)
      co_return StageEnd::Failed;
  }
  Scope_.Interrupt_ = nullptr;
  co_return StageEnd::Completed;
}

Awaitable<std::optional<StageEnd>> StageRun::waitForStart() {
  using coordination::StageStart;
  if (!Outstanding_.Started_)
    Scope_.Context_.StageAdmission_.onRequest(Plan_);
  while (!Outstanding_.Started_ && !Plan_.isComplete()) {
    if (Scope_.HostStops_)
      co_return StageEnd::HostStops;
    if (needsEvacuatedService())
      co_return StageEnd::Evacuated;
    SteadyTime Now = SteadyClock::now();
    StageStart Start = Scope_.Context_.StageAdmission_.decide(
        Plan_, Scope_.Priority_, ReadyBy_, UsableUntil_, Now);
    if (Start == StageStart::Begin)
      break;
    if (Start == StageStart::Refuse) {
      logRefusal(Now);
      co_return StageEnd::OutOfTime;
    }
    Scope_.Context_.OutstandingWork_.add(Outstanding_);
    SteadyTime NextCheck = Now + StartCheckPeriod;
    co_await PlanChanged_.wait(NextCheck);
    if (Scope_.CallerDisconnected_)
      co_return StageEnd::CallerDisconnected;
  }
  Outstanding_.Started_ = true;
  Scope_.Context_.OutstandingWork_.add(Outstanding_);
  co_return std::nullopt;
}

bool StageRun::needsEvacuatedService() const {
  const EntryContext &Context = Scope_.Context_;
  for (std::size_t Stage = 0; Stage < Plan_.stageCount(); ++Stage)
    if (!Plan_.isStageComplete(Stage) &&
        Context.isEvacuated(Plan_.step(Stage).Service_))
      return true;
  return Context.isEvacuated(Scope_.Service_);
}

Awaitable<void> StageRun::refuse(StageEnd End) const {
  std::string Reason = "a stage failed";
  Milliseconds RetryAfter = Scope_.Context_.StageAdmission_.retryAfter(Plan_);
  if (End == StageEnd::OutOfTime) {
    Reason = "the stages cannot be finished in time";
  } else if (End == StageEnd::Evacuated) {
    Reason = "all targets of a service are evacuated";
    RetryAfter = RetryAfterEvacuation;
  }
  co_await sendOwnAnswer(Scope_, 503, Reason, RetryAfter);
}

void StageRun::orderReadyPieces() {
  std::vector<PieceRequest> Orders;
  for (PieceId Id : Plan_.takeReadyPieces())
    Orders.push_back(makePieceRequest(Id));
  if (!Orders.empty())
    Client_.orderPieces(std::move(Orders), *this);
}

PieceRequest StageRun::makePieceRequest(PieceId Id) {
  const StageStep &Step = Plan_.step(Id.Stage_);
  PieceRequest Request;
  protocol::PieceOrder &Order = Request.Order_;
  Order.Piece_.RequestId_ = Scope_.Request_.Id_;
  Order.Piece_.Stage_ = Id.Stage_;
  Order.Piece_.Piece_ = Id.Piece_;
  Order.Piece_.Inputs_ = Plan_.inputHandles(Id.Stage_);
  if (Order.Piece_.Inputs_.empty())
    Order.Piece_.Key_ = Scope_.Request_.PieceKey_;
  Order.Service_ = Step.Service_;
  Order.ResultBytes_ = Step.ResultBytes_;
  Order.Priority_ = Scope_.Priority_;
  Order.DataCentre_ = preferredDataCentre(Id.Stage_);
  Order.Repeat_ = Plan_.wasSubmittedBefore(Id);
  Milliseconds LaterStagesTime = Plan_.timeAfterStage(Id.Stage_);
  Request.AimBy_ = ReadyBy_ - LaterStagesTime;
  Request.ExpiresAt_ = UsableUntil_ - LaterStagesTime;
  // A call that finds its inputs gone takes as long as any other.
  if (std::optional<SteadyTime> Expiry = Plan_.inputsExpireAt(Id.Stage_))
    Request.ExpiresAt_ =
        std::min(Request.ExpiresAt_, *Expiry - InputReadReserve);
  return Request;
}

std::string StageRun::findDataCentre(const std::string &Handle,
                                     const std::string &Service) const {
  const EntryContext &Context = Scope_.Context_;
  std::string Address = Context.Edge_.holderAddress(Handle);
  for (const state::TargetRecord *Target : Context.Targets_.serving(Service))
    if (Target->Address_ == Address)
      return Target->DataCentre_;
  return "";
}

std::string StageRun::preferredDataCentre(std::size_t Stage) const {
  std::map<std::string, std::uint64_t> BytesByDataCentre;
  for (std::size_t Earlier : Plan_.step(Stage).Dependencies_) {
    const StageStep &Step = Plan_.step(Earlier);
    for (const std::string &Handle : Plan_.handles(Earlier))
      BytesByDataCentre[findDataCentre(Handle, Step.Service_)] +=
          Step.ResultBytes_;
  }
  std::string BestDataCentre = Plan_.isFinalStage(Stage) ? DataCentre_ : "";
  std::uint64_t MostBytes = Plan_.step(Stage).ResultBytes_;
  for (const auto &[DataCentre, Bytes] : BytesByDataCentre)
    if (Bytes > MostBytes) {
      BestDataCentre = DataCentre;
      MostBytes = Bytes;
    }
  return BestDataCentre;
}

std::map<std::string, std::uint64_t> StageRun::inputBytesByDataCentre() const {
  std::map<std::string, std::uint64_t> BytesByDataCentre;
  for (std::size_t Stage = 0; Stage < Plan_.stageCount(); ++Stage)
    if (Plan_.isFinalStage(Stage))
      for (const std::string &Handle : Plan_.handles(Stage))
        BytesByDataCentre[findDataCentre(Handle, Plan_.step(Stage).Service_)] +=
            Plan_.step(Stage).ResultBytes_;
  return BytesByDataCentre;
}

std::size_t StageRun::countRemoteInputs(const std::string &DataCentre) const {
  std::size_t RemoteInputs = 0;
  for (std::size_t Stage = 0; Stage < Plan_.stageCount(); ++Stage)
    if (Plan_.isFinalStage(Stage))
      for (const std::string &Handle : Plan_.handles(Stage))
        RemoteInputs +=
            findDataCentre(Handle, Plan_.step(Stage).Service_) != DataCentre;
  return RemoteInputs;
}

void StageRun::onPiece(const protocol::PieceReport &Report) {
  PieceId Id{Report.Stage_, Report.Piece_};
  if (!Plan_.contains(Id))
    return;
  if (Report.Outcome_.Status_ == PieceStatus::InputsRead) {
    freeResults(Plan_.onInputsRead(Id));
    return;
  }
  PlanChanged_.notify();
  switch (Report.Outcome_.Status_) {
  case PieceStatus::Completed:
    freeResults(
        Plan_.onCompleted(Id, Report.Outcome_.Handle_, SteadyClock::now()));
    if (Plan_.isStageComplete(Id.Stage_))
      logStageDone(Id.Stage_);
    return;
  case PieceStatus::Expired:
    OutOfTime_ = true;
    return;
  default:
    freeResults(Plan_.onFailed(Id, Report.Outcome_.Status_ ==
                                       PieceStatus::InputMissing));
    Failed_ = Failed_ || Plan_.failures(Id) > MaxPieceFailures;
  }
}

void StageRun::logStageDone(std::size_t Stage) const {
  auto Elapsed = std::chrono::duration_cast<Milliseconds>(SteadyClock::now() -
                                                          Scope_.Arrival_);
  LogEvent(LogLevel::Info, "stage_done")
      .field("id", Scope_.Request_.Id_)
      .field("stage", Stage)
      .field("pieces", Plan_.pieceCount(Stage))
      .field("ms", Elapsed.count());
}

void StageRun::logRefusal(SteadyTime Now) const {
  Milliseconds Delay =
      Scope_.Context_.StageAdmission_.predictedDelay(Plan_, Scope_.Priority_);
  LogEvent(LogLevel::Info, "stages_refused")
      .field("id", Scope_.Request_.Id_)
      .field("priority", Scope_.Priority_)
      .field("left_ms",
             std::chrono::floor<Milliseconds>(UsableUntil_ - Now).count())
      .field("work_ms", Plan_.timeToFinish().count())
      .field("delay_ms", Delay.count());
}

void StageRun::freeResults(
    const std::vector<StagePlan::ReleasedResult> &Results) {
  std::vector<protocol::UnneededResult> Unneeded;
  for (const StagePlan::ReleasedResult &Result : Results)
    Unneeded.push_back({Result.Handle_, Plan_.step(Result.Stage_).Service_});
  if (!Unneeded.empty())
    Client_.releaseResults(Unneeded);
}

void StageRun::discardInputs() { freeResults(Plan_.discardFinalResults()); }

void StageRun::releaseAll() { freeResults(Plan_.releaseAllResults()); }

} // namespace amaranth::serving
