#include "Coordination/Stages/StageQueue.h"

#include <algorithm>
#include <tuple>

namespace amaranth::coordination {

namespace {

/// Pieces past their aim come after all that can still meet theirs.
constexpr Seconds LateOffset{3600};

} // namespace

StageQueue::StageQueue(StageQueueSettings Settings) : Settings_(Settings) {}

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
  auto Expired = std::stable_partition(
      Pieces_.begin(), Pieces_.end(),
      [&](const QueuedPiece &Piece) { return Now < Piece.ExpiresAt_; });
  std::vector<QueuedPiece> Out(std::make_move_iterator(Expired),
                               std::make_move_iterator(Pieces_.end()));
  Pieces_.erase(Expired, Pieces_.end());
  return Out;
}

SteadyTime StageQueue::urgency(const QueuedPiece &Of, SteadyTime Now) const {
  Milliseconds Rank = Settings_.RankDelay_ * Of.Priority_;
  if (Now <= Of.AimBy_)
    return Of.AimBy_ + Rank;
  return Of.ExpiresAt_ + Rank + LateOffset;
}

std::vector<QueuedPiece>
StageQueue::compose(const FreeTarget &Target,
                    const state::StageCapacity &Capacity, SteadyTime Now) {
  using Key = std::tuple<SteadyTime, std::size_t>;
  std::vector<Key> Order;
  Order.reserve(Pieces_.size());
  for (std::size_t I = 0; I < Pieces_.size(); ++I)
    Order.emplace_back(urgency(Pieces_[I], Now), I);
  std::sort(Order.begin(), Order.end());
  std::vector<QueuedPiece> Call;
  std::vector<bool> Taken(Pieces_.size(), false);
  std::uint64_t Room = Target.RoomLeft_;
  for (const auto &[Urgency, I] : Order) {
    if (Call.size() == Capacity.Batch_)
      break;
    if (Pieces_[I].ResultBytes_ > Room)
      continue;
    Room -= Pieces_[I].ResultBytes_;
    Taken[I] = true;
    Call.push_back(std::move(Pieces_[I]));
  }
  std::size_t Kept = 0;
  for (std::size_t I = 0; I < Pieces_.size(); ++I)
    if (!Taken[I]) {
      if (Kept != I)
        Pieces_[Kept] = std::move(Pieces_[I]);
      ++Kept;
    }
  Pieces_.resize(Kept);
  return Call;
}

} // namespace amaranth::coordination
