/// \file
/// Stage work that the requests of one entry host still need.
#ifndef AMARANTH_COORDINATION_STAGES_OUTSTANDINGWORK_H
#define AMARANTH_COORDINATION_STAGES_OUTSTANDINGWORK_H

#include "Coordination/Stages/StagePlan.h"
#include "Protocol/FleetMessages.h"
#include "Support/Time.h"

#include <set>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// One request with stages, from its first decision to its end.
struct OutstandingRequest {
  const StagePlan *Plan_ = nullptr;
  int Priority_ = 0;
  /// The last results are needed by then for the request to meet its aim.
  SteadyTime ReadyBy_;
  bool Started_ = false; ///< Else it waits without using any target.
};

/// Counts the pieces that the requests of this host still need, by service,
/// also those of later stages that have not been ordered yet. All hosts publish
/// their counts: the queue in front of a later stage does not show the requests
/// that are on their way to it. Not thread-safe.
class OutstandingWork final {
public:
  /// \p Request must be removed before it is destroyed.
  void add(const OutstandingRequest &Request) { Requests_.insert(&Request); }
  void remove(const OutstandingRequest &Request) { Requests_.erase(&Request); }

  /// The pieces of all requests, by service. Computed anew when the last result
  /// is RefreshPeriod old: each request that waits, and each message to a peer,
  /// asks for it.
  const std::vector<protocol::QueueState> &states(SteadyTime Now);

  static constexpr Milliseconds RefreshPeriod{20};

private:
  std::vector<protocol::QueueState> countPieces(SteadyTime Now) const;

  std::set<const OutstandingRequest *> Requests_;
  std::vector<protocol::QueueState> States_;
  SteadyTime CountedAt_ = SteadyTime::min();
};

/// Adds the pieces of \p Source to \p Sum.
void addPieces(const protocol::QueueState &Source, protocol::QueueState &Sum);

} // namespace amaranth::coordination

#endif
