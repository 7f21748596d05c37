/// \file
/// The pieces that wait for the targets of one stage service.
#ifndef AMARANTH_COORDINATION_STAGES_STAGEQUEUE_H
#define AMARANTH_COORDINATION_STAGES_STAGEQUEUE_H

#include "Protocol/EdgeProtocol.h"
#include "State/RoutingTable.h"
#include "Support/Time.h"

#include <string>
#include <vector>

namespace amaranth::coordination {

/// One piece that an entry host wants to have made.
struct QueuedPiece {
  protocol::StagePiece Piece_;
  std::string Owner_; ///< Entry host that serves the request.
  std::string Service_;
  std::uint64_t ResultBytes_ = 0;
  int Priority_ = 0; ///< 0 is the most urgent.
  /// Made later than this, the request misses its aim.
  SteadyTime AimBy_;
  /// Made later than this, the request misses its deadline.
  SteadyTime ExpiresAt_;
  /// Where the result is best made, because it will be read there.
  std::string DataCentre_;
  bool Repeat_ = false; ///< Sent to the service before.
};

/// A target that can take a call now.
struct FreeTarget {
  std::string DataCentre_;
  std::uint64_t RoomLeft_ = 0; ///< Bytes for results.
};

/// Settings of StageQueue.
struct StageQueueSettings {
  /// Added to the time of a piece for each rank of its priority: how much
  /// longer than a more urgent one it is let wait.
  Milliseconds RankDelay_{400};
};

/// Composes calls at the moment when a target is free. A call costs almost the
/// same however few pieces it holds, so it takes as many as fit; which ones is
/// decided by urgency. Pieces that can still meet their request's aim go first;
/// those that cannot are made with what capacity is left, before they expire.
class StageQueue final {
public:
  explicit StageQueue(StageQueueSettings Settings = {});

  void push(QueuedPiece Added);
  /// Removes the pieces of a request that its owner gave up.
  void cancel(const std::string &Owner, const std::string &RequestId);
  /// Removes all pieces of a host that is gone.
  void cancelOwner(const std::string &Owner);
  /// Removes and returns the pieces that cannot be made in time any more.
  std::vector<QueuedPiece> takeExpired(SteadyTime Now);
  /// Removes and returns the pieces of the next call to \p Target.
  std::vector<QueuedPiece> compose(const FreeTarget &Target,
                                   const state::StageCapacity &Capacity,
                                   SteadyTime Now);

  std::size_t size() const { return Pieces_.size(); }
  bool empty() const { return Pieces_.empty(); }

private:
  /// Pieces with a lower key go first.
  SteadyTime urgency(const QueuedPiece &Of, SteadyTime Now) const;

  StageQueueSettings Settings_;
  std::vector<QueuedPiece> Pieces_;
};

} // namespace amaranth::coordination

#endif
