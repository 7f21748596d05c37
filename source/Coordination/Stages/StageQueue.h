/// \file
/// The pieces that wait for the targets of one stage service.
#ifndef AMARANTH_COORDINATION_STAGES_STAGEQUEUE_H
#define AMARANTH_COORDINATION_STAGES_STAGEQUEUE_H

#include "Protocol/EdgeProtocol.h"
#include "State/RoutingTable.h"
#include "Support/Time.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
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
  /// The host that ordered it was told that its inputs are not needed any more.
  bool InputsRead_ = false;
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
///   it has no time to wait for a target there or more than a call waits.
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

  /// Waiting pieces that can meet their aim by priority, and those that cannot.
  struct Waiting {
    std::vector<std::uint32_t> InTime_;
    std::uint32_t Late_ = 0;
  };
  Waiting waiting() const;

  std::size_t size() const { return Size_; }
  bool empty() const { return Size_ == 0; }

private:
  using GroupKey = std::tuple<std::string, std::string, std::size_t>;
  /// The waiting pieces of one stage of one request.
  struct Group {
    std::vector<QueuedPiece> Pieces_;
    std::uint64_t Bytes_ = 0;
    int Priority_ = 0;
    SteadyTime AimBy_;
    SteadyTime ExpiresAt_;
    bool Late_ = false; ///< Filed in Late_, else in InTime_.
  };
  using Groups = std::map<GroupKey, Group>;
  /// Order in which groups are made: more urgent kinds first, then what is due
  /// first. The key makes it strict.
  using Rank = std::tuple<int, SteadyTime, const GroupKey *>;

  static GroupKey keyOf(const QueuedPiece &Piece);
  static Rank rankOf(const Groups::value_type &Item);
  void file(const Groups::value_type &Item);
  void unfile(const Groups::value_type &Item);
  Groups::iterator remove(Groups::iterator At);
  /// Files the groups that miss their aim if they are made at \p MadeBy.
  void noteLate(SteadyTime MadeBy);
  /// Adds to \p Call what may be made at \p Target, or with \p AnyDataCentre
  /// also what had better wait for a target elsewhere, unless it is late:
  /// results of late requests would keep room that others need.
  void fill(const FreeTarget &Target, bool AnyDataCentre,
            const state::StageCapacity &Capacity, SteadyTime Now,
            std::uint64_t &Room, std::vector<QueuedPiece> &Call);
  /// Moves pieces of \p From into \p Call as far as they fit.
  void takeFrom(Group &From, const state::StageCapacity &Capacity,
                std::uint64_t &Room, std::vector<QueuedPiece> &Call);

  Groups Groups_;
  std::set<Rank> InTime_;
  std::set<Rank> Late_;
  std::size_t Size_ = 0;
};

} // namespace amaranth::coordination

#endif
