#include "Coordination/Stages/StagePlan.h"

#include <algorithm>

namespace amaranth::coordination {

using state::StageStep;

Milliseconds expectedStageTime(const state::RoutingTable &Table,
                               const std::string &Service) {
  const state::Service *StageService = Table.findService(Service);
  if (!StageService || !StageService->Stage_)
    return Milliseconds(0);
  // On average a call is half full, and a piece waits half a call time for the
  // end of another call.
  auto AverageWork =
      StageService->Stage_->PieceTime_ *
      static_cast<std::int64_t>(StageService->Stage_->MaxBatchPieces_) / 2;
  Milliseconds Call = StageService->Stage_->CallOverhead_ +
                      std::chrono::ceil<Milliseconds>(AverageWork);
  return Call + StageService->Stage_->CallOverhead_ / 2;
}

StagePlan::StagePlan(std::vector<StageStep> Steps,
                     const std::vector<std::size_t> &Counts,
                     const state::RoutingTable &Table)
    : Steps_(std::move(Steps)), Stages_(Steps_.size()) {
  for (std::size_t I = 0; I < Steps_.size(); ++I) {
    // The other functions rely on every index in Dependencies_ being valid.
    std::erase_if(Steps_[I].Dependencies_, [&](std::size_t Predecessor) {
      return Predecessor >= Steps_.size();
    });
    Stages_[I].Pieces_.resize(I < Counts.size() ? Counts[I] : 0);
    const state::Service *Service = Table.findService(Steps_[I].Service_);
    if (Service && Service->Stage_)
      Stages_[I].ResultLifetime_ = Service->Stage_->ResultLifetime_;
    if (!Stages_[I].Pieces_.empty())
      Stages_[I].Duration_ = expectedStageTime(Table, Steps_[I].Service_);
  }
  for (const StageStep &Step : Steps_)
    for (std::size_t Predecessor : Step.Dependencies_)
      Stages_[Predecessor].IsFinal_ = false;
  computeTimesAfter();
}

void StagePlan::computeTimesAfter() {
  // Stages may be listed in any order. Each round propagates the times one step
  // further back from the final stages.
  for (std::size_t Round = 0; Round < Steps_.size(); ++Round)
    for (std::size_t I = 0; I < Steps_.size(); ++I)
      for (std::size_t Predecessor : Steps_[I].Dependencies_)
        Stages_[Predecessor].TimeAfter_ =
            std::max(Stages_[Predecessor].TimeAfter_,
                     Stages_[I].TimeAfter_ + Stages_[I].Duration_);
}

Milliseconds StagePlan::timeToFinish() const {
  return timeToFinish(
      [](const std::string &, Milliseconds) { return Milliseconds(0); });
}

std::size_t StagePlan::unfinishedPieces(std::size_t Stage) const {
  const std::vector<Piece> &Pieces = Stages_[Stage].Pieces_;
  auto Unfinished = static_cast<std::size_t>(
      std::count_if(Pieces.begin(), Pieces.end(), [](const Piece &Item) {
        return Item.State_ == State::Missing || Item.State_ == State::Submitted;
      }));
  return Unfinished > 0 && isNeeded(Stage) ? Unfinished : 0;
}

Milliseconds StagePlan::timeToFinish(const DelayFunction &Delay) const {
  std::vector<Milliseconds> EndTimes(Stages_.size(), Milliseconds(0));
  Milliseconds LatestEnd{0};
  // As in computeTimesAfter(), but forwards from the first stages.
  for (std::size_t Round = 0; Round < Steps_.size(); ++Round)
    for (std::size_t I = 0; I < Steps_.size(); ++I) {
      Milliseconds StartTime{0};
      for (std::size_t Predecessor : Steps_[I].Dependencies_)
        StartTime = std::max(StartTime, EndTimes[Predecessor]);
      bool IsPending = !isStageComplete(I) && isNeeded(I);
      Milliseconds EndTime = StartTime + Stages_[I].Duration_;
      EndTimes[I] =
          IsPending ? EndTime + Delay(Steps_[I].Service_, EndTime) : StartTime;
      LatestEnd = std::max(LatestEnd, EndTimes[I]);
    }
  return LatestEnd;
}

bool StagePlan::contains(PieceId Id) const {
  return Id.Stage_ < Stages_.size() &&
         Id.Piece_ < Stages_[Id.Stage_].Pieces_.size();
}

bool StagePlan::isStageComplete(std::size_t Stage) const {
  const std::vector<Piece> &Pieces = Stages_[Stage].Pieces_;
  return std::all_of(Pieces.begin(), Pieces.end(), [](const Piece &Item) {
    return Item.State_ == State::Completed || Item.State_ == State::Released;
  });
}

bool StagePlan::allReadersDone(std::size_t Index) const {
  if (Stages_[Index].IsFinal_)
    return false;
  for (std::size_t I = 0; I < Steps_.size(); ++I) {
    const std::vector<std::size_t> &Dependencies = Steps_[I].Dependencies_;
    if (std::find(Dependencies.begin(), Dependencies.end(), Index) ==
        Dependencies.end())
      continue;
    for (const Piece &Reader : Stages_[I].Pieces_)
      if (Reader.State_ == State::Missing ||
          (Reader.State_ == State::Submitted && !Reader.InputsRead_))
        return false;
  }
  return true;
}

bool StagePlan::isNeeded(std::size_t Index) const {
  if (Stages_[Index].IsFinal_)
    return true;
  // Results that were read and released are needed again only if a stage that
  // reads them is needed itself and not complete.
  for (std::size_t I = 0; I < Steps_.size(); ++I) {
    const std::vector<std::size_t> &Dependencies = Steps_[I].Dependencies_;
    bool Follows = std::find(Dependencies.begin(), Dependencies.end(), Index) !=
                   Dependencies.end();
    if (Follows && !isStageComplete(I) && isNeeded(I))
      return true;
  }
  return false;
}

bool StagePlan::isReady(std::size_t Index) const {
  const std::vector<std::size_t> &Dependencies = Steps_[Index].Dependencies_;
  return std::all_of(
      Dependencies.begin(), Dependencies.end(),
      [&](std::size_t Predecessor) { return isStageComplete(Predecessor); });
}

bool StagePlan::shouldDefer(std::size_t Index) const {
  // Results of a final stage that exist before those of the other stages only
  // occupy storage at their target. The stage starts when the others need no
  // more than twice its own time.
  if (!Stages_[Index].IsFinal_)
    return false;
  Milliseconds OtherStages{0};
  for (std::size_t I = 0; I < Stages_.size(); ++I)
    if (I != Index && !isStageComplete(I) && isNeeded(I))
      OtherStages =
          std::max(OtherStages, Stages_[I].TimeAfter_ + Stages_[I].Duration_);
  return OtherStages > 2 * Stages_[Index].Duration_;
}

bool StagePlan::isComplete() const {
  for (std::size_t I = 0; I < Stages_.size(); ++I)
    if (!isStageComplete(I) && isNeeded(I))
      return false;
  return true;
}

std::vector<StagePlan::PieceId> StagePlan::takeReadyPieces() {
  std::vector<PieceId> ReadyPieces;
  for (std::size_t I = 0; I < Stages_.size(); ++I) {
    if (!isReady(I) || !isNeeded(I) || shouldDefer(I))
      continue;
    for (std::size_t J = 0; J < Stages_[I].Pieces_.size(); ++J) {
      Piece &Item = Stages_[I].Pieces_[J];
      if (Item.State_ != State::Missing)
        continue;
      Item.State_ = State::Submitted;
      ++Item.Submissions_;
      ReadyPieces.push_back({I, J});
    }
  }
  return ReadyPieces;
}

std::vector<StagePlan::ReleasedResult>
StagePlan::onCompleted(PieceId Id, std::string Handle, SteadyTime Now) {
  std::vector<ReleasedResult> Freeable;
  Piece &Current = Stages_[Id.Stage_].Pieces_[Id.Piece_];
  if (Current.State_ != State::Submitted)
    return Freeable;
  Current.State_ = State::Completed;
  Current.InputsRead_ = false;
  Current.Handle_ = std::move(Handle);
  Current.CompletedAt_ = Now;
  for (std::size_t Predecessor : Steps_[Id.Stage_].Dependencies_)
    if (!isNeeded(Predecessor))
      releaseResults(Predecessor, Freeable);
  return Freeable;
}

std::vector<StagePlan::ReleasedResult> StagePlan::onInputsRead(PieceId Id) {
  std::vector<ReleasedResult> Freeable;
  Piece &Current = Stages_[Id.Stage_].Pieces_[Id.Piece_];
  if (Current.State_ != State::Submitted)
    return Freeable;
  Current.InputsRead_ = true;
  for (std::size_t Predecessor : Steps_[Id.Stage_].Dependencies_) {
    if (!allReadersDone(Predecessor))
      continue;
    for (Piece &Input : Stages_[Predecessor].Pieces_) {
      if (Input.State_ != State::Completed)
        continue;
      Freeable.push_back({Predecessor, std::move(Input.Handle_)});
      Input.Handle_.clear();
      Input.State_ = State::Released;
    }
  }
  return Freeable;
}

std::vector<StagePlan::ReleasedResult> StagePlan::onFailed(PieceId Id,
                                                           bool InputsGone) {
  std::vector<ReleasedResult> Freeable;
  Piece &Current = Stages_[Id.Stage_].Pieces_[Id.Piece_];
  if (Current.State_ != State::Submitted)
    return Freeable;
  Current.State_ = State::Missing;
  Current.InputsRead_ = false;
  ++Current.Failures_;
  for (std::size_t Predecessor : Steps_[Id.Stage_].Dependencies_) {
    const std::vector<Piece> &Inputs = Stages_[Predecessor].Pieces_;
    bool AnyReleased =
        std::any_of(Inputs.begin(), Inputs.end(), [](const Piece &Item) {
          return Item.State_ == State::Released;
        });
    if (InputsGone || AnyReleased)
      releaseResults(Predecessor, Freeable);
  }
  return Freeable;
}

std::vector<StagePlan::ReleasedResult> StagePlan::discardFinalResults() {
  std::vector<ReleasedResult> Freeable;
  for (std::size_t I = 0; I < Stages_.size(); ++I)
    if (Stages_[I].IsFinal_)
      releaseResults(I, Freeable);
  return Freeable;
}

std::vector<StagePlan::ReleasedResult> StagePlan::releaseAllResults() {
  std::vector<ReleasedResult> Freeable;
  for (std::size_t I = 0; I < Stages_.size(); ++I)
    releaseResults(I, Freeable);
  return Freeable;
}

void StagePlan::releaseResults(std::size_t Index,
                               std::vector<ReleasedResult> &Freeable) {
  for (Piece &Item : Stages_[Index].Pieces_) {
    if (Item.State_ == State::Released)
      Item.State_ = State::Missing;
    if (Item.State_ != State::Completed)
      continue;
    Freeable.push_back({Index, std::move(Item.Handle_)});
    Item.Handle_.clear();
    Item.State_ = State::Missing;
  }
}

std::vector<std::string> StagePlan::handles(std::size_t Stage) const {
  std::vector<std::string> Handles;
  for (const Piece &Item : Stages_[Stage].Pieces_)
    if (Item.State_ == State::Completed)
      Handles.push_back(Item.Handle_);
  return Handles;
}

std::optional<SteadyTime> StagePlan::inputsExpireAt(std::size_t Stage) const {
  std::optional<SteadyTime> Earliest;
  for (std::size_t Predecessor : Steps_[Stage].Dependencies_) {
    const StageState &Inputs = Stages_[Predecessor];
    if (Inputs.ResultLifetime_ <= Milliseconds(0))
      continue;
    for (const Piece &Input : Inputs.Pieces_)
      if (Input.State_ == State::Completed) {
        SteadyTime Expiry = Input.CompletedAt_ + Inputs.ResultLifetime_;
        Earliest = Earliest ? std::min(*Earliest, Expiry) : Expiry;
      }
  }
  return Earliest;
}

std::vector<std::string> StagePlan::inputHandles(std::size_t Stage) const {
  std::vector<std::string> Handles;
  for (std::size_t Predecessor : Steps_[Stage].Dependencies_)
    for (std::string &Handle : handles(Predecessor))
      Handles.push_back(std::move(Handle));
  return Handles;
}

std::vector<std::string> StagePlan::finalHandles() const {
  std::vector<std::string> Handles;
  for (std::size_t I = 0; I < Stages_.size(); ++I)
    if (Stages_[I].IsFinal_)
      for (std::string &Handle : handles(I))
        Handles.push_back(std::move(Handle));
  return Handles;
}

bool StagePlan::wasSubmittedBefore(PieceId Id) const {
  return Stages_[Id.Stage_].Pieces_[Id.Piece_].Submissions_ > 1;
}

int StagePlan::failures(PieceId Id) const {
  return Stages_[Id.Stage_].Pieces_[Id.Piece_].Failures_;
}

} // namespace amaranth::coordination
