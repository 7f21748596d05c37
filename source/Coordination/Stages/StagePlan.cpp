#include "Coordination/Stages/StagePlan.h"

#include <algorithm>

namespace amaranth::coordination {

using state::StageStep;

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

StagePlan::StagePlan(std::vector<StageStep> Steps,
                     const std::vector<std::size_t> &Counts,
                     const state::RoutingTable &Table)
    : Steps_(std::move(Steps)), Stages_(Steps_.size()) {
  for (std::size_t I = 0; I < Steps_.size(); ++I) {
    // Readers rely on every number in After_ naming a stage.
    std::erase_if(Steps_[I].After_, [&](std::size_t Earlier) {
      return Earlier >= Steps_.size();
    });
    Stages_[I].Pieces_.resize(I < Counts.size() ? Counts[I] : 0);
    if (!Stages_[I].Pieces_.empty())
      Stages_[I].Time_ = expectedStageTime(Table, Steps_[I].Service_);
  }
  for (const StageStep &Step : Steps_)
    for (std::size_t Earlier : Step.After_)
      Stages_[Earlier].Last_ = false;
  computeTimesAfter();
}

void StagePlan::computeTimesAfter() {
  // Stages may be listed in any order; each round reaches one step further
  // back from the last stages.
  for (std::size_t Round = 0; Round < Steps_.size(); ++Round)
    for (std::size_t I = 0; I < Steps_.size(); ++I)
      for (std::size_t Earlier : Steps_[I].After_)
        Stages_[Earlier].TimeAfter_ =
            std::max(Stages_[Earlier].TimeAfter_,
                     Stages_[I].TimeAfter_ + Stages_[I].Time_);
}

Milliseconds StagePlan::timeToFinish(
    const std::function<Milliseconds(const std::string &)> &Delay) const {
  std::vector<Milliseconds> EndsAt(Stages_.size(), Milliseconds(0));
  Milliseconds Longest{0};
  // As in computeTimesAfter(), but forwards from the first stages.
  for (std::size_t Round = 0; Round < Steps_.size(); ++Round)
    for (std::size_t I = 0; I < Steps_.size(); ++I) {
      Milliseconds Begin{0};
      for (std::size_t Earlier : Steps_[I].After_)
        Begin = std::max(Begin, EndsAt[Earlier]);
      bool ToDo = !stageMade(I) && isNeeded(I);
      EndsAt[I] =
          ToDo ? Begin + Stages_[I].Time_ + Delay(Steps_[I].Service_) : Begin;
      Longest = std::max(Longest, EndsAt[I]);
    }
  return Longest;
}

bool StagePlan::contains(PieceId Id) const {
  return Id.Stage_ < Stages_.size() &&
         Id.Piece_ < Stages_[Id.Stage_].Pieces_.size();
}

bool StagePlan::stageMade(std::size_t Stage) const {
  const std::vector<Piece> &Pieces = Stages_[Stage].Pieces_;
  return std::all_of(Pieces.begin(), Pieces.end(), [](const Piece &One) {
    return One.State_ == State::Made || One.State_ == State::Read;
  });
}

bool StagePlan::isRead(std::size_t Index) const {
  if (Stages_[Index].Last_)
    return false;
  for (std::size_t I = 0; I < Steps_.size(); ++I) {
    const std::vector<std::size_t> &After = Steps_[I].After_;
    if (std::find(After.begin(), After.end(), Index) == After.end())
      continue;
    for (const Piece &Reader : Stages_[I].Pieces_)
      if (Reader.State_ == State::Missing ||
          (Reader.State_ == State::Ordered && !Reader.InputsRead_))
        return false;
  }
  return true;
}

bool StagePlan::isNeeded(std::size_t Index) const {
  if (Stages_[Index].Last_)
    return true;
  // Results that were used and freed are needed again only if a stage that
  // reads them is itself still to be made.
  for (std::size_t I = 0; I < Steps_.size(); ++I) {
    const std::vector<std::size_t> &After = Steps_[I].After_;
    bool Follows = std::find(After.begin(), After.end(), Index) != After.end();
    if (Follows && !stageMade(I) && isNeeded(I))
      return true;
  }
  return false;
}

bool StagePlan::isReady(std::size_t Index) const {
  const std::vector<std::size_t> &After = Steps_[Index].After_;
  return std::all_of(After.begin(), After.end(),
                     [&](std::size_t Earlier) { return stageMade(Earlier); });
}

bool StagePlan::canWait(std::size_t Index) const {
  // Results of a last stage that are ready before the others only take up room
  // at their target. Twice the stage's own time is left for it.
  if (!Stages_[Index].Last_)
    return false;
  Milliseconds Others{0};
  for (std::size_t I = 0; I < Stages_.size(); ++I)
    if (I != Index && !stageMade(I) && isNeeded(I))
      Others = std::max(Others, Stages_[I].TimeAfter_ + Stages_[I].Time_);
  return Others > 2 * Stages_[Index].Time_;
}

bool StagePlan::allMade() const {
  for (std::size_t I = 0; I < Stages_.size(); ++I)
    if (!stageMade(I) && isNeeded(I))
      return false;
  return true;
}

std::vector<StagePlan::PieceId> StagePlan::takeReady() {
  std::vector<PieceId> Out;
  for (std::size_t I = 0; I < Stages_.size(); ++I) {
    if (!isReady(I) || !isNeeded(I) || canWait(I))
      continue;
    for (std::size_t J = 0; J < Stages_[I].Pieces_.size(); ++J) {
      Piece &One = Stages_[I].Pieces_[J];
      if (One.State_ != State::Missing)
        continue;
      One.State_ = State::Ordered;
      ++One.Orders_;
      Out.push_back({I, J});
    }
  }
  return Out;
}

std::vector<StagePlan::Freed> StagePlan::onMade(PieceId Id,
                                                std::string Handle) {
  std::vector<Freed> Out;
  Piece &Of = Stages_[Id.Stage_].Pieces_[Id.Piece_];
  if (Of.State_ != State::Ordered)
    return Out;
  Of.State_ = State::Made;
  Of.InputsRead_ = false;
  Of.Handle_ = std::move(Handle);
  for (std::size_t Earlier : Steps_[Id.Stage_].After_)
    if (!isNeeded(Earlier))
      free(Earlier, Out);
  return Out;
}

std::vector<StagePlan::Freed> StagePlan::onInputsRead(PieceId Id) {
  std::vector<Freed> Out;
  Piece &Of = Stages_[Id.Stage_].Pieces_[Id.Piece_];
  if (Of.State_ != State::Ordered)
    return Out;
  Of.InputsRead_ = true;
  for (std::size_t Earlier : Steps_[Id.Stage_].After_) {
    if (!isRead(Earlier))
      continue;
    for (Piece &Input : Stages_[Earlier].Pieces_) {
      if (Input.State_ != State::Made)
        continue;
      Out.push_back({Earlier, std::move(Input.Handle_)});
      Input.Handle_.clear();
      Input.State_ = State::Read;
    }
  }
  return Out;
}

std::vector<StagePlan::Freed> StagePlan::onFailed(PieceId Id, bool InputsGone) {
  std::vector<Freed> Out;
  Piece &Of = Stages_[Id.Stage_].Pieces_[Id.Piece_];
  if (Of.State_ != State::Ordered)
    return Out;
  Of.State_ = State::Missing;
  Of.InputsRead_ = false;
  ++Of.Failures_;
  for (std::size_t Earlier : Steps_[Id.Stage_].After_) {
    const std::vector<Piece> &Inputs = Stages_[Earlier].Pieces_;
    bool AnyFreed =
        std::any_of(Inputs.begin(), Inputs.end(),
                    [](const Piece &One) { return One.State_ == State::Read; });
    if (InputsGone || AnyFreed)
      free(Earlier, Out);
  }
  return Out;
}

std::vector<StagePlan::Freed> StagePlan::forgetLast() {
  std::vector<Freed> Out;
  for (std::size_t I = 0; I < Stages_.size(); ++I)
    if (Stages_[I].Last_)
      free(I, Out);
  return Out;
}

std::vector<StagePlan::Freed> StagePlan::freeAll() {
  std::vector<Freed> Out;
  for (std::size_t I = 0; I < Stages_.size(); ++I)
    free(I, Out);
  return Out;
}

void StagePlan::free(std::size_t Index, std::vector<Freed> &Out) {
  for (Piece &One : Stages_[Index].Pieces_) {
    if (One.State_ == State::Read)
      One.State_ = State::Missing;
    if (One.State_ != State::Made)
      continue;
    Out.push_back({Index, std::move(One.Handle_)});
    One.Handle_.clear();
    One.State_ = State::Missing;
  }
}

std::vector<std::string> StagePlan::handles(std::size_t Stage) const {
  std::vector<std::string> Out;
  for (const Piece &One : Stages_[Stage].Pieces_)
    if (One.State_ == State::Made)
      Out.push_back(One.Handle_);
  return Out;
}

std::vector<std::string> StagePlan::inputsOf(std::size_t Stage) const {
  std::vector<std::string> Out;
  for (std::size_t Earlier : Steps_[Stage].After_)
    for (std::string &Handle : handles(Earlier))
      Out.push_back(std::move(Handle));
  return Out;
}

std::vector<std::string> StagePlan::lastHandles() const {
  std::vector<std::string> Out;
  for (std::size_t I = 0; I < Stages_.size(); ++I)
    if (Stages_[I].Last_)
      for (std::string &Handle : handles(I))
        Out.push_back(std::move(Handle));
  return Out;
}

bool StagePlan::orderedBefore(PieceId Id) const {
  return Stages_[Id.Stage_].Pieces_[Id.Piece_].Orders_ > 1;
}

int StagePlan::failures(PieceId Id) const {
  return Stages_[Id.Stage_].Pieces_[Id.Piece_].Failures_;
}

} // namespace amaranth::coordination
