#include "Coordination/Stages/StageQueue.h"

#include <algorithm>
#include <iterator>

namespace amaranth::coordination {

using state::StageCapacity;

namespace {

/// Groups skipped while composing one call, because they do not fit or wait for
/// another target. When more are skipped the call is sent as it is, which
/// bounds the time spent on a long queue.
constexpr std::size_t MaxSkippedGroups = 200;

/// Priorities from here on are counted as one.
constexpr int MaxCountedPriority = 9;

/// Expected time of a call that is half full.
Milliseconds expectedCallTime(const StageCapacity &Capacity) {
  auto BatchWork =
      Capacity.PieceTime_ * static_cast<std::int64_t>(Capacity.MaxBatchPieces_);
  return Capacity.CallOverhead_ +
         std::chrono::ceil<Milliseconds>(BatchWork / 2);
}

/// Returns false if \p Piece should wait for a target in its preferred data
/// centre, because a call there is expected to end before the piece is due.
bool mayRunAt(const QueuedPiece &Piece, const FreeTarget &Target,
              Milliseconds CallTime, SteadyTime Now) {
  if (Piece.DataCentre_.empty() || Piece.DataCentre_ == Target.DataCentre_)
    return true;
  auto PreferredFree = Target.NextFreeTimes_.find(Piece.DataCentre_);
  if (PreferredFree == Target.NextFreeTimes_.end())
    return true;
  bool IsLate = Now > Piece.AimBy_;
  SteadyTime DueTime = IsLate ? Piece.ExpiresAt_ : Piece.AimBy_;
  return std::max(Now, PreferredFree->second) + CallTime > DueTime;
}

/// True if a target can hold the results of two full calls with pieces like
/// those of \p Call: one that is computed and one that is read. Where storage
/// is shorter, results of parts of requests would take up room for long.
bool hasStorageForParts(const std::vector<QueuedPiece> &Call,
                        const StageCapacity &Capacity) {
  return Call.empty() ||
         2 * Capacity.MaxBatchPieces_ * Call.front().ResultBytes_ <=
             Capacity.ResultMemoryBytes_;
}

} // namespace

StageQueue::GroupKey StageQueue::makeGroupKey(const QueuedPiece &Piece) {
  return {Piece.EntryHost_, Piece.Piece_.RequestId_, Piece.Piece_.Stage_};
}

StageQueue::Rank StageQueue::makeRank(const Groups::value_type &Item) {
  const Group &Current = Item.second;
  return {Current.Priority_,
          Current.IsLate_ ? Current.ExpiresAt_ : Current.AimBy_,
          Current.Number_, &Item.first};
}

void StageQueue::addToOrder(const Groups::value_type &Item) {
  (Item.second.IsLate_ ? LateOrder_ : InTimeOrder_).insert(makeRank(Item));
}

void StageQueue::removeFromOrder(const Groups::value_type &Item) {
  (Item.second.IsLate_ ? LateOrder_ : InTimeOrder_).erase(makeRank(Item));
}

StageQueue::Groups::iterator StageQueue::remove(Groups::iterator Position) {
  removeFromOrder(*Position);
  Size_ -= Position->second.Pieces_.size();
  return Groups_.erase(Position);
}

void StageQueue::push(QueuedPiece NewPiece) {
  auto [Position, IsNew] = Groups_.try_emplace(makeGroupKey(NewPiece));
  Group &Current = Position->second;
  if (IsNew) {
    Current.Number_ = ++LastNumber_;
    Current.Priority_ = NewPiece.Priority_;
    Current.AimBy_ = NewPiece.AimBy_;
    Current.ExpiresAt_ = NewPiece.ExpiresAt_;
    addToOrder(*Position);
  }
  Current.Bytes_ += NewPiece.ResultBytes_;
  Current.Pieces_.push_back(std::move(NewPiece));
  ++Size_;
}

void StageQueue::cancelRequest(const std::string &EntryHost,
                               const std::string &RequestId) {
  auto Position = Groups_.lower_bound(GroupKey{EntryHost, RequestId, 0});
  while (Position != Groups_.end() &&
         std::get<0>(Position->first) == EntryHost &&
         std::get<1>(Position->first) == RequestId)
    Position = remove(Position);
}

std::vector<QueuedPiece>
StageQueue::takeEntryHost(const std::string &EntryHost) {
  std::vector<QueuedPiece> Taken;
  auto Position = Groups_.lower_bound(GroupKey{EntryHost, "", 0});
  while (Position != Groups_.end() &&
         std::get<0>(Position->first) == EntryHost) {
    Taken.insert(Taken.end(), Position->second.Pieces_.begin(),
                 Position->second.Pieces_.end());
    Position = remove(Position);
  }
  return Taken;
}

std::vector<QueuedPiece> StageQueue::takeExpired(SteadyTime Now) {
  std::vector<QueuedPiece> Expired;
  for (auto Position = Groups_.begin(); Position != Groups_.end();) {
    if (Now < Position->second.ExpiresAt_) {
      ++Position;
      continue;
    }
    std::move(Position->second.Pieces_.begin(), Position->second.Pieces_.end(),
              std::back_inserter(Expired));
    Position = remove(Position);
  }
  return Expired;
}

void StageQueue::markLateGroups(SteadyTime CompletionTime) {
  // Within a priority, groups are ordered by AimBy_.
  for (auto Position = InTimeOrder_.begin(); Position != InTimeOrder_.end();) {
    auto [Priority, AimBy, Number, Key] = *Position;
    if (AimBy >= CompletionTime) {
      Position = InTimeOrder_.lower_bound(
          Rank{Priority + 1, SteadyTime::min(), 0, nullptr});
      continue;
    }
    Position = InTimeOrder_.erase(Position);
    auto Current = Groups_.find(*Key);
    Current->second.IsLate_ = true;
    addToOrder(*Current);
  }
}

StageQueue::WaitingCounts StageQueue::waitingCounts() const {
  WaitingCounts Counts;
  for (const auto &[Key, Current] : Groups_) {
    auto Pieces = static_cast<std::uint32_t>(Current.Pieces_.size());
    if (Current.IsLate_) {
      Counts.Late_ += Pieces;
      continue;
    }
    std::size_t CountIndex = static_cast<std::size_t>(
        std::clamp(Current.Priority_, 0, MaxCountedPriority));
    if (Counts.InTime_.size() <= CountIndex)
      Counts.InTime_.resize(CountIndex + 1);
    Counts.InTime_[CountIndex] += Pieces;
  }
  return Counts;
}

void StageQueue::movePieces(Group &Source, const StageCapacity &Capacity,
                            std::uint64_t &FreeBytes,
                            std::vector<QueuedPiece> &Call) {
  while (!Source.Pieces_.empty() && Call.size() < Capacity.MaxBatchPieces_ &&
         Source.Pieces_.back().ResultBytes_ <= FreeBytes) {
    FreeBytes -= Source.Pieces_.back().ResultBytes_;
    Source.Bytes_ -= Source.Pieces_.back().ResultBytes_;
    Call.push_back(std::move(Source.Pieces_.back()));
    Source.Pieces_.pop_back();
    --Size_;
  }
}

void StageQueue::fillCall(const FreeTarget &Target, Filling Allowed,
                          const StageCapacity &Capacity, SteadyTime Now,
                          std::uint64_t &FreeBytes,
                          std::vector<QueuedPiece> &Call) {
  Milliseconds CallTime = expectedCallTime(Capacity);
  std::size_t SkippedGroups = 0;
  for (std::set<Rank> *Order : {&InTimeOrder_, &LateOrder_}) {
    for (auto Position = Order->begin(); Position != Order->end();) {
      std::size_t FreeSlots = Capacity.MaxBatchPieces_ - Call.size();
      if (FreeSlots == 0 || SkippedGroups > MaxSkippedGroups)
        return;
      auto Found = Groups_.find(*std::get<3>(*Position));
      Group &Current = Found->second;
      ++Position;
      bool FitsWhole =
          Current.Pieces_.size() <= FreeSlots && Current.Bytes_ <= FreeBytes;
      // A group that exceeds a whole call or the storage of a target is always
      // divided.
      bool MayDivide = Current.Pieces_.size() > Capacity.MaxBatchPieces_ ||
                       Current.Bytes_ > Capacity.ResultMemoryBytes_ ||
                       (Allowed == Filling::Divided && !Current.IsLate_);
      bool IsAllowedHere =
          (Allowed != Filling::Preferred && !Current.IsLate_) ||
          mayRunAt(Current.Pieces_.front(), Target, CallTime, Now);
      if ((!FitsWhole && !MayDivide) || !IsAllowedHere) {
        ++SkippedGroups;
        continue;
      }
      movePieces(Current, Capacity, FreeBytes, Call);
      if (Current.Pieces_.empty())
        remove(Found);
    }
  }
}

std::vector<QueuedPiece> StageQueue::composeCall(const FreeTarget &Target,
                                                 const StageCapacity &Capacity,
                                                 SteadyTime Now) {
  markLateGroups(Now + expectedCallTime(Capacity));
  std::vector<QueuedPiece> Call;
  std::uint64_t FreeBytes = Target.FreeResultBytes_;
  fillCall(Target, Filling::Preferred, Capacity, Now, FreeBytes, Call);
  // If at least a full call is left, all free slots are used.
  if (Size_ >= Capacity.MaxBatchPieces_)
    fillCall(Target, Filling::AnyDataCentre, Capacity, Now, FreeBytes, Call);
  if (Size_ >= Capacity.MaxBatchPieces_ && hasStorageForParts(Call, Capacity))
    fillCall(Target, Filling::Divided, Capacity, Now, FreeBytes, Call);
  return Call;
}

} // namespace amaranth::coordination
