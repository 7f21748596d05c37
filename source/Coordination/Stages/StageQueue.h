/// \file
/// The pieces that wait for the targets of one stage service.
#ifndef AMARANTH_COORDINATION_STAGES_STAGEQUEUE_H
#define AMARANTH_COORDINATION_STAGES_STAGEQUEUE_H

#include "Protocol/EdgeProtocol.h"
#include "State/RoutingTable.h"
#include "Support/Time.h"

#include <map>
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
  SteadyTime Since_{};  ///< When it was ordered.
};

/// A target that can take a call now.
struct FreeTarget {
  std::string DataCentre_;
  std::uint64_t RoomLeft_ = 0; ///< Bytes for results.
  /// When a target of the service is expected to be free in each data centre
  /// that has one.
  std::map<std::string, SteadyTime> NextFree_;
};

/// Composes calls at the moment when a target is free. A call costs almost the
/// same however few pieces it holds, so it takes as many as fit; which ones is
/// decided by urgency:
/// - Pieces that can still meet their request's aim go before those that
///   cannot; the latter use what capacity is left before they expire.
/// - Among these, more urgent kinds of request go first, then those with the
///   least time left.
/// - The pieces of a request go into one call: a request waits for its last
///   piece, and the others take up room meanwhile.
/// - A piece is made in the data centre where its result is best made, unless
///   it has no time to wait for a target there.
class StageQueue final {
public:
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
  /// The waiting pieces of one stage of one request.
  struct Group {
    std::vector<std::size_t> Members_; ///< Indices into Pieces_.
    std::uint64_t Bytes_ = 0;
    bool Late_ = false;
    int Priority_ = 0;
    SteadyTime DueBy_;
  };

  std::vector<Group> groupsFor(const FreeTarget &Target,
                               const state::StageCapacity &Capacity,
                               SteadyTime Now) const;
  std::vector<QueuedPiece> take(const std::vector<std::size_t> &Chosen);

  std::vector<QueuedPiece> Pieces_; ///< In order of arrival.
};

} // namespace amaranth::coordination

#endif
