/// \file
/// Runs the stages of one request.
#ifndef AMARANTH_SERVING_STAGERUN_H
#define AMARANTH_SERVING_STAGERUN_H

#include "Coordination/Stages/StagePlan.h"
#include "Serving/RequestScope.h"
#include "Serving/StageClient.h"
#include "Transport/Loop.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace amaranth::serving {

/// How the stages of a request ended.
enum class StageEnd {
  Completed,
  OutOfTime, ///< The stages cannot finish before the caller gives up.
  Failed,
  Evacuated, ///< All targets of a service that the request needs.
  CallerDisconnected,
  HostStops,
};

/// Orders the pieces of a request (the units of work of its stages) in the
/// order of its StagePlan, and frees results that are no longer needed.
class StageRun final : public PieceWaiter {
public:
  /// Results must exist by \p ReadyBy for the request to meet its aim (the time
  /// within which its answer has full worth), and by \p UsableUntil for it to
  /// meet its deadline. \p DataCentre is where the results of the final stages
  /// will be read.
  StageRun(RequestScope &Scope, StageClient &Client, SteadyTime ReadyBy,
           SteadyTime UsableUntil, std::string DataCentre);
  ~StageRun() override;

  /// Orders all pieces that have no result yet and waits for them.
  transport::Awaitable<StageEnd> run();
  /// Handles of the results of the final stages, which the engine reads.
  std::vector<std::string> inputHandles() const { return Plan_.finalHandles(); }
  /// Refuses the request, whose stages ended with \p End and which has reached
  /// no target.
  transport::Awaitable<void> refuse(StageEnd End) const;
  /// Number of inputs that are not in \p DataCentre.
  std::size_t countRemoteInputs(const std::string &DataCentre) const;
  /// Bytes of the final stages' results in each data centre.
  std::map<std::string, std::uint64_t> inputBytesByDataCentre() const;
  /// Discards the results of the final stages, so that run() orders them again.
  /// Called when a target reports that inputs no longer exist.
  void discardInputs();
  /// Frees all results.
  void releaseAll();

  void onPiece(const protocol::PieceReport &Report) override;

private:
  using PieceId = coordination::StagePlan::PieceId;

  /// Waits until the stages may start. Returns how they ended if they may not
  /// start at all.
  transport::Awaitable<std::optional<StageEnd>> waitForStart();
  /// Whether the request cannot be served because all targets of its service,
  /// or of a stage that is not complete, are evacuated.
  bool needsEvacuatedService() const;
  void orderReadyPieces();
  PieceRequest makePieceRequest(PieceId Id);
  /// Data centre that holds most of the bytes that \p Stage reads or writes.
  std::string preferredDataCentre(std::size_t Stage) const;
  /// Data centre of the target that holds a result; empty if the target is no
  /// longer known.
  std::string findDataCentre(const std::string &Handle,
                             const std::string &Service) const;
  void freeResults(
      const std::vector<coordination::StagePlan::ReleasedResult> &Results);
  void logStageDone(std::size_t Stage) const;
  void logRefusal(SteadyTime Now) const;

  RequestScope &Scope_;
  StageClient &Client_;
  coordination::StagePlan Plan_;
  coordination::OutstandingRequest Outstanding_;
  SteadyTime ReadyBy_;
  SteadyTime UsableUntil_;
  std::string DataCentre_;
  transport::Wakeup PlanChanged_;
  bool OutOfTime_ = false;
  bool Failed_ = false;
};

} // namespace amaranth::serving

#endif
