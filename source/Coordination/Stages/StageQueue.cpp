#include "Coordination/Stages/StageQueue.h"

#include <algorithm>
#include <iterator>

namespace amaranth::coordination {

using state::StageCapacity;

namespace {

/// Groups that are passed over in composing one call, because they do not fit
/// or wait for another target, before it is sent as it is. Bounds the time that
/// a long queue takes.
constexpr std::size_t MaxPassedOver = 200;

/// Priorities from here on are counted together.
constexpr int MaxCountedPriority = 9;

/// Time of a call of usual size.
Milliseconds usualCallTime(const StageCapacity &Capacity) {
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

StageQueue::GroupKey StageQueue::keyOf(const QueuedPiece &Piece) {
  return {Piece.Owner_, Piece.Piece_.RequestId_, Piece.Piece_.Stage_};
}

StageQueue::Rank StageQueue::rankOf(const Groups::value_type &Item) {
  const Group &Of = Item.second;
  return {Of.Priority_, Of.Late_ ? Of.ExpiresAt_ : Of.AimBy_, &Item.first};
}

void StageQueue::file(const Groups::value_type &Item) {
  (Item.second.Late_ ? Late_ : InTime_).insert(rankOf(Item));
}

void StageQueue::unfile(const Groups::value_type &Item) {
  (Item.second.Late_ ? Late_ : InTime_).erase(rankOf(Item));
}

StageQueue::Groups::iterator StageQueue::remove(Groups::iterator At) {
  unfile(*At);
  Size_ -= At->second.Pieces_.size();
  return Groups_.erase(At);
}

void StageQueue::push(QueuedPiece Added) {
  auto [At, IsNew] = Groups_.try_emplace(keyOf(Added));
  Group &Of = At->second;
  if (IsNew) {
    Of.Priority_ = Added.Priority_;
    Of.AimBy_ = Added.AimBy_;
    Of.ExpiresAt_ = Added.ExpiresAt_;
    file(*At);
  }
  Of.Bytes_ += Added.ResultBytes_;
  Of.Pieces_.push_back(std::move(Added));
  ++Size_;
}

void StageQueue::cancel(const std::string &Owner,
                        const std::string &RequestId) {
  auto At = Groups_.lower_bound(GroupKey{Owner, RequestId, 0});
  while (At != Groups_.end() && std::get<0>(At->first) == Owner &&
         std::get<1>(At->first) == RequestId)
    At = remove(At);
}

void StageQueue::cancelOwner(const std::string &Owner) {
  auto At = Groups_.lower_bound(GroupKey{Owner, "", 0});
  while (At != Groups_.end() && std::get<0>(At->first) == Owner)
    At = remove(At);
}

std::vector<QueuedPiece> StageQueue::takeExpired(SteadyTime Now) {
  std::vector<QueuedPiece> Out;
  for (auto At = Groups_.begin(); At != Groups_.end();) {
    if (Now < At->second.ExpiresAt_) {
      ++At;
      continue;
    }
    std::move(At->second.Pieces_.begin(), At->second.Pieces_.end(),
              std::back_inserter(Out));
    At = remove(At);
  }
  return Out;
}

void StageQueue::noteLate(SteadyTime MadeBy) {
  // Within a priority the groups are ordered by their aim.
  for (auto At = InTime_.begin(); At != InTime_.end();) {
    auto [Priority, AimBy, Key] = *At;
    if (AimBy >= MadeBy) {
      At = InTime_.lower_bound(Rank{Priority + 1, SteadyTime::min(), nullptr});
      continue;
    }
    At = InTime_.erase(At);
    auto Of = Groups_.find(*Key);
    Of->second.Late_ = true;
    file(*Of);
  }
}

StageQueue::Waiting StageQueue::waiting() const {
  Waiting Out;
  for (const auto &[Key, Of] : Groups_) {
    auto Pieces = static_cast<std::uint32_t>(Of.Pieces_.size());
    if (Of.Late_) {
      Out.Late_ += Pieces;
      continue;
    }
    std::size_t Counted = static_cast<std::size_t>(
        std::clamp(Of.Priority_, 0, MaxCountedPriority));
    if (Out.InTime_.size() <= Counted)
      Out.InTime_.resize(Counted + 1);
    Out.InTime_[Counted] += Pieces;
  }
  return Out;
}

void StageQueue::takeFrom(Group &From, const StageCapacity &Capacity,
                          std::uint64_t &Room, std::vector<QueuedPiece> &Call) {
  while (!From.Pieces_.empty() && Call.size() < Capacity.Batch_ &&
         From.Pieces_.back().ResultBytes_ <= Room) {
    Room -= From.Pieces_.back().ResultBytes_;
    From.Bytes_ -= From.Pieces_.back().ResultBytes_;
    Call.push_back(std::move(From.Pieces_.back()));
    From.Pieces_.pop_back();
    --Size_;
  }
}

void StageQueue::fill(const FreeTarget &Target, bool AnyDataCentre,
                      const StageCapacity &Capacity, SteadyTime Now,
                      std::uint64_t &Room, std::vector<QueuedPiece> &Call) {
  Milliseconds CallTime = usualCallTime(Capacity);
  std::size_t Passed = 0;
  for (std::set<Rank> *Filed : {&InTime_, &Late_}) {
    for (auto At = Filed->begin(); At != Filed->end();) {
      std::size_t Places = Capacity.Batch_ - Call.size();
      if (Places == 0 || Passed > MaxPassedOver)
        return;
      auto Found = Groups_.find(*std::get<2>(*At));
      Group &Of = Found->second;
      ++At;
      bool Whole = Of.Pieces_.size() <= Places && Of.Bytes_ <= Room;
      // A request with more pieces than a call or a target holds is divided.
      bool Divided = Of.Pieces_.size() > Capacity.Batch_ ||
                     Of.Bytes_ > Capacity.ResultRoom_;
      bool Here = (AnyDataCentre && !Of.Late_) ||
                  mayBeMadeAt(Of.Pieces_.front(), Target, CallTime, Now);
      if ((!Whole && !Divided) || !Here) {
        ++Passed;
        continue;
      }
      takeFrom(Of, Capacity, Room, Call);
      if (Of.Pieces_.empty())
        remove(Found);
    }
  }
}

std::vector<QueuedPiece> StageQueue::compose(const FreeTarget &Target,
                                             const StageCapacity &Capacity,
                                             SteadyTime Now) {
  noteLate(Now + usualCallTime(Capacity));
  std::vector<QueuedPiece> Call;
  std::uint64_t Room = Target.RoomLeft_;
  fill(Target, false, Capacity, Now, Room, Call);
  // With more than a call left behind, the places that stay empty are needed.
  if (Size_ >= Capacity.Batch_)
    fill(Target, true, Capacity, Now, Room, Call);
  return Call;
}

} // namespace amaranth::coordination
