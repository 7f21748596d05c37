#include "Coordination/Stages/StageQueue.h"

#include <algorithm>
#include <map>
#include <tuple>

namespace amaranth::coordination {

namespace {

/// Time of a call of usual size.
Milliseconds usualCallTime(const state::StageCapacity &Capacity) {
  auto Work = Capacity.PieceTime_ * static_cast<std::int64_t>(Capacity.Batch_);
  return Capacity.CallTime_ + std::chrono::ceil<Milliseconds>(Work / 2);
}

/// Whether \p Piece may be made at \p Target, or had better wait for a target
/// in its own data centre: while a call there still ends before it is due.
bool mayBeMadeAt(const QueuedPiece &Piece, const FreeTarget &Target,
                 Milliseconds CallTime, SteadyTime Now) {
  if (Piece.DataCentre_.empty() || Piece.DataCentre_ == Target.DataCentre_)
    return true;
  auto Home = Target.NextFree_.find(Piece.DataCentre_);
  if (Home == Target.NextFree_.end())
    return true;
  bool Late = Now > Piece.AimBy_;
  SteadyTime Due = Late ? Piece.ExpiresAt_ : Piece.AimBy_;
  return std::max(Now, Home->second) + CallTime > Due;
}

} // namespace

void StageQueue::push(QueuedPiece Added) {
  Pieces_.push_back(std::move(Added));
}

void StageQueue::cancel(const std::string &Owner,
                        const std::string &RequestId) {
  std::erase_if(Pieces_, [&](const QueuedPiece &Piece) {
    return Piece.Owner_ == Owner && Piece.Piece_.RequestId_ == RequestId;
  });
}

void StageQueue::cancelOwner(const std::string &Owner) {
  std::erase_if(
      Pieces_, [&](const QueuedPiece &Piece) { return Piece.Owner_ == Owner; });
}

std::vector<QueuedPiece> StageQueue::takeExpired(SteadyTime Now) {
  std::vector<std::size_t> Expired;
  for (std::size_t I = 0; I < Pieces_.size(); ++I)
    if (Now >= Pieces_[I].ExpiresAt_)
      Expired.push_back(I);
  return take(Expired);
}

std::vector<StageQueue::Group>
StageQueue::groupsFor(const FreeTarget &Target,
                      const state::StageCapacity &Capacity,
                      SteadyTime Now) const {
  Milliseconds CallTime = usualCallTime(Capacity);
  using Key = std::pair<std::string, std::size_t>;
  std::map<Key, Group> ByRequest;
  for (std::size_t I = 0; I < Pieces_.size(); ++I) {
    const QueuedPiece &Piece = Pieces_[I];
    if (!mayBeMadeAt(Piece, Target, CallTime, Now))
      continue;
    Group &Of = ByRequest[{Piece.Piece_.RequestId_, Piece.Piece_.Stage_}];
    Of.Members_.push_back(I);
    Of.Bytes_ += Piece.ResultBytes_;
    Of.Late_ = Now > Piece.AimBy_;
    Of.Priority_ = Piece.Priority_;
    Of.DueBy_ = Of.Late_ ? Piece.ExpiresAt_ : Piece.AimBy_;
  }
  std::vector<Group> Out;
  for (auto &[Id, Of] : ByRequest)
    Out.push_back(std::move(Of));
  std::sort(Out.begin(), Out.end(), [](const Group &A, const Group &B) {
    return std::tie(A.Late_, A.Priority_, A.DueBy_) <
           std::tie(B.Late_, B.Priority_, B.DueBy_);
  });
  return Out;
}

std::vector<QueuedPiece>
StageQueue::compose(const FreeTarget &Target,
                    const state::StageCapacity &Capacity, SteadyTime Now) {
  std::vector<std::size_t> Chosen;
  std::uint64_t Room = Target.RoomLeft_;
  for (const Group &Of : groupsFor(Target, Capacity, Now)) {
    std::size_t Places = Capacity.Batch_ - Chosen.size();
    if (Places == 0)
      break;
    bool Whole = Of.Members_.size() <= Places && Of.Bytes_ <= Room;
    // A request with more pieces than a call or a target holds is divided.
    bool Divided = Of.Members_.size() > Capacity.Batch_ ||
                   Of.Bytes_ > Capacity.ResultRoom_;
    if (!Whole && !Divided)
      continue;
    for (std::size_t I : Of.Members_) {
      if (Chosen.size() == Capacity.Batch_ || Pieces_[I].ResultBytes_ > Room)
        break;
      Room -= Pieces_[I].ResultBytes_;
      Chosen.push_back(I);
    }
  }
  return take(Chosen);
}

std::vector<QueuedPiece>
StageQueue::take(const std::vector<std::size_t> &Chosen) {
  std::vector<QueuedPiece> Out;
  std::vector<bool> Taken(Pieces_.size(), false);
  for (std::size_t I : Chosen) {
    Taken[I] = true;
    Out.push_back(std::move(Pieces_[I]));
  }
  std::size_t Kept = 0;
  for (std::size_t I = 0; I < Pieces_.size(); ++I) {
    if (Taken[I])
      continue;
    if (Kept != I)
      Pieces_[Kept] = std::move(Pieces_[I]);
    ++Kept;
  }
  Pieces_.resize(Kept);
  return Out;
}

} // namespace amaranth::coordination
