#include "Serving/StageRun.h"

#include "Support/Log.h"

#include <algorithm>
#include <map>

namespace amaranth::serving {

using protocol::PieceEnd;
using protocol::UnneededResult;
using state::StageStep;
using transport::Awaitable;

namespace {

/// Times that a piece is made anew before the request is given up.
constexpr int MaxPieceFailures = 4;

} // namespace

Milliseconds expectedStageTime(const state::RoutingTable &Table,
                               const std::string &Service) {
  const state::Service *Known = Table.findService(Service);
  if (!Known || !Known->Stage_)
    return Milliseconds(0);
  // Calls are half full on the average, and a piece waits for the end of
  // another call, half a call on the average.
  auto Work = Known->Stage_->PieceTime_ *
              static_cast<std::int64_t>(Known->Stage_->Batch_) / 2;
  Milliseconds Call =
      Known->Stage_->CallTime_ + std::chrono::ceil<Milliseconds>(Work);
  return Call + Known->Stage_->CallTime_ / 2;
}

StageRun::StageRun(RequestScope &Scope, StageClient &Client, SteadyTime ReadyBy,
                   SteadyTime UsableUntil, std::string DataCentre)
    : Scope_(Scope), Client_(Client), ReadyBy_(ReadyBy),
      UsableUntil_(UsableUntil), DataCentre_(std::move(DataCentre)),
      Changed_(Scope.Context_.Loop_) {
  const std::vector<StageStep> &Steps = Scope_.Route_->Stages_;
  const std::vector<std::size_t> &Counts = Scope_.Request_.Pieces_;
  Stages_.resize(Steps.size());
  for (std::size_t I = 0; I < Steps.size(); ++I) {
    Stages_[I].Pieces_.resize(I < Counts.size() ? Counts[I] : 0);
    for (std::size_t Earlier : Steps[I].After_)
      if (Earlier < Steps.size())
        Stages_[Earlier].Last_ = false;
  }
  computeTimes();
}

StageRun::~StageRun() {
  Scope_.Interrupt_ = nullptr;
  Client_.cancel(Scope_.Request_.Id_);
  release();
}

void StageRun::computeTimes() {
  const std::vector<StageStep> &Steps = Scope_.Route_->Stages_;
  // Stages may be listed in any order; each round reaches one step further
  // back from the last stages.
  for (std::size_t Round = 0; Round < Steps.size(); ++Round)
    for (std::size_t I = 0; I < Steps.size(); ++I) {
      Milliseconds Mine =
          Stages_[I].Pieces_.empty()
              ? Milliseconds(0)
              : expectedStageTime(*Scope_.Table_, Steps[I].Service_);
      for (std::size_t Earlier : Steps[I].After_)
        if (Earlier < Steps.size())
          Stages_[Earlier].TimeAfter_ = std::max(Stages_[Earlier].TimeAfter_,
                                                 Stages_[I].TimeAfter_ + Mine);
    }
}

bool StageRun::stageMade(std::size_t Index) const {
  return std::all_of(
      Stages_[Index].Pieces_.begin(), Stages_[Index].Pieces_.end(),
      [](const Piece &One) { return One.State_ == PieceState::Made; });
}

bool StageRun::needed(std::size_t Index) const {
  if (Stages_[Index].Last_)
    return true;
  // Results that were used and freed are needed again only if a stage that
  // reads them is itself still to be made for a later one.
  const std::vector<StageStep> &Steps = Scope_.Route_->Stages_;
  for (std::size_t I = 0; I < Steps.size(); ++I) {
    const std::vector<std::size_t> &After = Steps[I].After_;
    bool Follows = std::find(After.begin(), After.end(), Index) != After.end();
    if (Follows && !stageMade(I) && needed(I))
      return true;
  }
  return false;
}

bool StageRun::allMade() const {
  for (std::size_t I = 0; I < Stages_.size(); ++I)
    if (!stageMade(I) && needed(I))
      return false;
  return true;
}

PieceRequest StageRun::request(std::size_t StageIndex, std::size_t PieceIndex) {
  const StageStep &Step = Scope_.Route_->Stages_[StageIndex];
  PieceRequest Out;
  protocol::PieceOrder &Order = Out.Order_;
  Order.Piece_.RequestId_ = Scope_.Request_.Id_;
  Order.Piece_.Stage_ = StageIndex;
  Order.Piece_.Piece_ = PieceIndex;
  for (std::size_t Earlier : Step.After_)
    if (Earlier < Stages_.size())
      for (const Piece &Input : Stages_[Earlier].Pieces_)
        Order.Piece_.Inputs_.push_back(Input.Handle_);
  if (Order.Piece_.Inputs_.empty())
    Order.Piece_.Key_ = Scope_.Request_.PieceKey_;
  Order.Service_ = Step.Service_;
  Order.ResultBytes_ = Step.ResultBytes_;
  Order.Priority_ = Scope_.Priority_;
  Order.DataCentre_ = preferredDataCentre(StageIndex);
  Order.Repeat_ = Stages_[StageIndex].Pieces_[PieceIndex].Ordered_;
  Milliseconds After = Stages_[StageIndex].TimeAfter_;
  Out.AimBy_ = ReadyBy_ - After;
  Out.ExpiresAt_ = UsableUntil_ - After;
  return Out;
}

std::string StageRun::preferredDataCentre(std::size_t Index) const {
  const std::vector<StageStep> &Steps = Scope_.Route_->Stages_;
  std::map<std::string, std::uint64_t> Bytes;
  for (std::size_t Earlier : Steps[Index].After_) {
    if (Earlier >= Stages_.size())
      continue;
    for (const Piece &Input : Stages_[Earlier].Pieces_)
      for (const state::TargetRecord *Maker :
           Scope_.Context_.Targets_.serving(Steps[Earlier].Service_))
        if (Maker->Address_ == Scope_.Context_.Edge_.makerOf(Input.Handle_))
          Bytes[Maker->DataCentre_] += Steps[Earlier].ResultBytes_;
  }
  std::string Best;
  std::uint64_t Most = Steps[Index].ResultBytes_;
  if (Stages_[Index].Last_)
    Best = DataCentre_;
  for (const auto &[DataCentre, Sum] : Bytes)
    if (Sum > Most) {
      Best = DataCentre;
      Most = Sum;
    }
  return Best;
}

Milliseconds StageRun::timeOfOthers(std::size_t Index) const {
  const std::vector<StageStep> &Steps = Scope_.Route_->Stages_;
  Milliseconds Longest{0};
  for (std::size_t I = 0; I < Stages_.size(); ++I) {
    if (I == Index || stageMade(I) || !needed(I))
      continue;
    Longest = std::max(
        Longest, Stages_[I].TimeAfter_ +
                     expectedStageTime(*Scope_.Table_, Steps[I].Service_));
  }
  return Longest;
}

bool StageRun::canWait(std::size_t Index) const {
  // Results that nobody can use yet only take up room at their target. Twice
  // the stage's own time is left for its wait and its call.
  if (!Stages_[Index].Last_)
    return false;
  const StageStep &Step = Scope_.Route_->Stages_[Index];
  return timeOfOthers(Index) >
         2 * expectedStageTime(*Scope_.Table_, Step.Service_);
}

void StageRun::orderReady() {
  const std::vector<StageStep> &Steps = Scope_.Route_->Stages_;
  std::vector<PieceRequest> Orders;
  for (std::size_t I = 0; I < Stages_.size(); ++I) {
    bool Ready =
        std::all_of(Steps[I].After_.begin(), Steps[I].After_.end(),
                    [&](std::size_t Earlier) {
                      return Earlier >= Stages_.size() || stageMade(Earlier);
                    });
    bool Needed = needed(I);
    if (!Ready || !Needed || canWait(I))
      continue;
    for (std::size_t J = 0; J < Stages_[I].Pieces_.size(); ++J) {
      Piece &One = Stages_[I].Pieces_[J];
      if (One.State_ != PieceState::Missing)
        continue;
      Orders.push_back(request(I, J));
      One.State_ = PieceState::Ordered;
      One.Ordered_ = true;
    }
  }
  if (!Orders.empty())
    Client_.order(std::move(Orders), *this);
}

Awaitable<StageEnd> StageRun::run() {
  Scope_.Interrupt_ = [this] { Changed_.notify(); };
  while (!allMade()) {
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

void StageRun::onPiece(const protocol::PieceReport &Report) {
  if (Report.Stage_ >= Stages_.size() ||
      Report.Piece_ >= Stages_[Report.Stage_].Pieces_.size())
    return;
  Piece &Of = Stages_[Report.Stage_].Pieces_[Report.Piece_];
  Changed_.notify();
  if (Report.Outcome_.End_ == PieceEnd::Made) {
    Of.State_ = PieceState::Made;
    Of.Handle_ = Report.Outcome_.Handle_;
    if (stageMade(Report.Stage_))
      logStageDone(Report.Stage_);
    for (std::size_t Earlier : Scope_.Route_->Stages_[Report.Stage_].After_)
      if (Earlier < Stages_.size() && !needed(Earlier))
        releaseStage(Earlier);
    return;
  }
  Of.State_ = PieceState::Missing;
  if (Report.Outcome_.End_ == PieceEnd::Late) {
    OutOfTime_ = true;
    return;
  }
  if (++Of.Failures_ > MaxPieceFailures)
    Failed_ = true;
  if (Report.Outcome_.End_ == PieceEnd::Gone)
    remakeInputs(Report.Stage_);
}

void StageRun::logStageDone(std::size_t Index) const {
  auto Since = std::chrono::duration_cast<Milliseconds>(SteadyClock::now() -
                                                        Scope_.Arrival_);
  LogEvent(LogLevel::Info, "stage_done")
      .field("id", Scope_.Request_.Id_)
      .field("stage", Index)
      .field("pieces", Stages_[Index].Pieces_.size())
      .field("ms", Since.count());
}

void StageRun::remakeInputs(std::size_t Index) {
  for (std::size_t Earlier : Scope_.Route_->Stages_[Index].After_)
    if (Earlier < Stages_.size())
      releaseStage(Earlier);
}

void StageRun::releaseStage(std::size_t Index) {
  std::vector<UnneededResult> Results;
  for (Piece &One : Stages_[Index].Pieces_) {
    if (One.State_ != PieceState::Made || One.Handle_.empty())
      continue;
    Results.push_back({One.Handle_, Scope_.Route_->Stages_[Index].Service_});
    One.State_ = PieceState::Missing;
    One.Handle_.clear();
  }
  if (!Results.empty())
    Client_.release(Results);
}

std::vector<std::string> StageRun::inputs() const {
  std::vector<std::string> Out;
  for (const Stage &One : Stages_)
    if (One.Last_)
      for (const Piece &Made : One.Pieces_)
        Out.push_back(Made.Handle_);
  return Out;
}

void StageRun::forgetInputs() {
  for (std::size_t I = 0; I < Stages_.size(); ++I)
    if (Stages_[I].Last_)
      releaseStage(I);
}

void StageRun::release() {
  for (std::size_t I = 0; I < Stages_.size(); ++I)
    releaseStage(I);
}

} // namespace amaranth::serving
