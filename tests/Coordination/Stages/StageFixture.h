/// \file
/// Configuration and pieces for the tests of stages.
#ifndef AMARANTH_TESTS_COORDINATION_STAGES_STAGEFIXTURE_H
#define AMARANTH_TESTS_COORDINATION_STAGES_STAGEFIXTURE_H

#include "Coordination/Stages/StagePlan.h"
#include "Coordination/Stages/StageQueue.h"

namespace amaranth::testing {

/// A service with targets that hold ten results of 1,000 bytes.
inline state::StageCapacity capacity(std::size_t Batch) {
  state::StageCapacity Out;
  Out.Batch_ = Batch;
  Out.CallTime_ = Milliseconds{240};
  Out.PieceTime_ = Milliseconds{10};
  Out.ResultRoom_ = 10000;
  Out.ResultLifetime_ = Seconds{4};
  return Out;
}

/// Stage services named "first", "second" and "third".
inline state::RoutingTable stageTable() {
  state::RoutingTable Out;
  for (const char *Name : {"first", "second", "third"}) {
    state::Service Service;
    Service.Name_ = Name;
    Service.Stage_ = capacity(8);
    Out.Services_[Name] = Service;
  }
  return Out;
}

inline coordination::QueuedPiece piece(const std::string &Request,
                                       std::size_t Number, int Priority,
                                       SteadyTime AimBy) {
  coordination::QueuedPiece Out;
  Out.Piece_.RequestId_ = Request;
  Out.Piece_.Piece_ = Number;
  Out.Owner_ = "host";
  Out.Priority_ = Priority;
  Out.AimBy_ = AimBy;
  Out.ExpiresAt_ = AimBy + Seconds{10};
  Out.ResultBytes_ = 1000;
  return Out;
}

} // namespace amaranth::testing

#endif
