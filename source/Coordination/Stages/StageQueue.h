/// \file
/// Queue of the pieces that wait for the targets of one stage service.
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

/// A piece (one unit of a stage's work for a request) that an entry host has
/// submitted.
struct QueuedPiece {
  protocol::StagePiece Piece_;
  std::string EntryHost_; ///< Entry host that serves the request.
  std::string Service_;
  std::uint64_t ResultBytes_ = 0;
  int Priority_ = 0; ///< 0 is the most urgent.
  /// If completed later, the request misses its aim, the time within which its
  /// answer has full worth.
  SteadyTime AimBy_;
  /// If completed later, the request misses its deadline.
  SteadyTime ExpiresAt_;
  /// Preferred data centre, in which the result will be read.
  std::string DataCentre_;
  bool WasSubmittedBefore_ = false; ///< Submitted to the service before.
  SteadyTime EnqueuedAt_{};         ///< When the dispatcher queued it.
  /// The entry host was notified that the inputs have been read and may be
  /// released.
  bool InputsRead_ = false;
};

/// A target that can take a call now.
struct FreeTarget {
  std::string DataCentre_;
  std::uint64_t FreeResultBytes_ = 0; ///< Free storage for results, in bytes.
  /// Time at which a target of the service is expected to be free, by data
  /// centre; data centres without targets are missing.
  std::map<std::string, SteadyTime> NextFreeTimes_;
};

/// Composes a call when a target becomes free. A call takes almost the same
/// time however few pieces it has, so it takes as many as fit, in this order:
/// - Pieces that can still meet their request's aim go before those that
///   cannot; the latter use the remaining capacity before they expire.
/// - Among these, more urgent priorities go first, then earlier due times.
/// - The pieces of a request go into one call, because the request waits for
///   its last piece while the results of the others occupy storage. If at least
///   a full call remains waiting, the next request is divided to fill the call:
///   its other pieces follow soon.
/// - A piece runs in its preferred data centre, unless it has no time to wait
///   for a target there or at least a full call remains waiting.
/// Not thread-safe.
class StageQueue final {
public:
  void push(QueuedPiece NewPiece);
  /// Removes the pieces of a request that its entry host has cancelled.
  void cancelRequest(const std::string &EntryHost,
                     const std::string &RequestId);
  /// Removes and returns all pieces of an entry host that cannot be reached.
  std::vector<QueuedPiece> takeEntryHost(const std::string &EntryHost);
  /// Removes and returns the pieces whose deadline has passed.
  std::vector<QueuedPiece> takeExpired(SteadyTime Now);
  /// Removes and returns the pieces of the next call to \p Target.
  std::vector<QueuedPiece> composeCall(const FreeTarget &Target,
                                       const state::StageCapacity &Capacity,
                                       SteadyTime Now);

  /// Numbers of waiting pieces: those that can meet their aim, by priority, and
  /// those that cannot.
  struct WaitingCounts {
    std::vector<std::uint32_t> InTime_;
    std::uint32_t Late_ = 0;
  };
  WaitingCounts waitingCounts() const;

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
    bool IsLate_ = false;      ///< In LateOrder_, else in InTimeOrder_.
    std::uint64_t Number_ = 0; ///< Rises with each new group.
  };
  using Groups = std::map<GroupKey, Group>;
  /// Order of groups: more urgent priorities first, then earlier due times,
  /// then those that were queued first.
  using Rank = std::tuple<int, SteadyTime, std::uint64_t, const GroupKey *>;

  static GroupKey makeGroupKey(const QueuedPiece &Piece);
  static Rank makeRank(const Groups::value_type &Item);
  void addToOrder(const Groups::value_type &Item);
  void removeFromOrder(const Groups::value_type &Item);
  Groups::iterator remove(Groups::iterator Position);
  /// Marks the groups that miss their aim if they are completed at
  /// \p CompletionTime.
  void markLateGroups(SteadyTime CompletionTime);
  /// Which pieces fillCall() adds.
  enum class Filling {
    Preferred,     ///< Whole requests that may run at the target.
    AnyDataCentre, ///< Also those that prefer another data centre.
    Divided,       ///< Also parts of requests.
  };
  /// Adds pieces to \p Call. Late ones run only in their preferred data centre
  /// and as whole requests: their results would occupy storage that others
  /// need.
  void fillCall(const FreeTarget &Target, Filling Allowed,
                const state::StageCapacity &Capacity, SteadyTime Now,
                std::uint64_t &FreeBytes, std::vector<QueuedPiece> &Call);
  /// Moves pieces of \p Source into \p Call while they fit.
  void movePieces(Group &Source, const state::StageCapacity &Capacity,
                  std::uint64_t &FreeBytes, std::vector<QueuedPiece> &Call);

  Groups Groups_;
  std::set<Rank> InTimeOrder_;
  std::set<Rank> LateOrder_;
  std::size_t Size_ = 0;
  std::uint64_t LastNumber_ = 0;
};

} // namespace amaranth::coordination

#endif
