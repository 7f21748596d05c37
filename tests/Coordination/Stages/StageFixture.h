/// \file
/// Configuration and pieces for the tests of stages.
#ifndef AMARANTH_TESTS_COORDINATION_STAGES_STAGEFIXTURE_H
#define AMARANTH_TESTS_COORDINATION_STAGES_STAGEFIXTURE_H

#include "Coordination/Stages/StagePlan.h"
#include "Coordination/Stages/StageQueue.h"

namespace amaranth::testing {

/// A service with targets that hold ten results of 1,000 bytes.
inline state::StageCapacity capacity(std::size_t Batch) {
  state::StageCapacity Capacity;
  Capacity.MaxBatchPieces_ = Batch;
  Capacity.CallOverhead_ = Milliseconds{240};
  Capacity.PieceTime_ = Milliseconds{10};
  Capacity.ResultMemoryBytes_ = 10000;
  Capacity.ResultLifetime_ = Seconds{4};
  return Capacity;
}

/// Stage services named "first", "second" and "third".
inline state::RoutingTable stageTable() {
  state::RoutingTable Table;
  for (const char *Name : {"first", "second", "third"}) {
    state::Service Service;
    Service.Name_ = Name;
    Service.Stage_ = capacity(8);
    Table.Services_[Name] = Service;
  }
  return Table;
}

/// Piece \p Number of a request of entry host "host", with 1,000 result bytes
/// and a deadline 10 s after its aim.
inline coordination::QueuedPiece piece(const std::string &Request,
                                       std::size_t Number, int Priority,
                                       SteadyTime AimBy) {
  coordination::QueuedPiece Piece;
  Piece.Piece_.RequestId_ = Request;
  Piece.Piece_.Piece_ = Number;
  Piece.EntryHost_ = "host";
  Piece.Priority_ = Priority;
  Piece.AimBy_ = AimBy;
  Piece.ExpiresAt_ = AimBy + Seconds{10};
  Piece.ResultBytes_ = 1000;
  return Piece;
}

} // namespace amaranth::testing

#endif
