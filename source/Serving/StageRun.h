/// \file
/// The stages of one request.
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

enum class StageEnd {
  Done,
  OutOfTime, ///< They cannot be finished before the caller gives up.
  Failed,
  CallerGone,
};

/// Orders the pieces of a request as its StagePlan says, and frees results once
/// nothing needs them.
class StageRun final : public PieceWaiter {
public:
  /// \p ReadyBy: when the results must be there for the request to meet its
  /// aim; \p UsableUntil: for its deadline; \p DataCentre: where the results of
  /// the last stages are read.
  StageRun(RequestScope &Scope, StageClient &Client, SteadyTime ReadyBy,
           SteadyTime UsableUntil, std::string DataCentre);
  ~StageRun() override;

  /// Makes all pieces that are missing.
  transport::Awaitable<StageEnd> run();
  /// Handles of the stages that no other stage follows.
  std::vector<std::string> inputs() const { return Plan_.lastHandles(); }
  /// When a caller may come back whose stages were not finished.
  Milliseconds retryAfter() const;
  /// How many of them are not in \p DataCentre.
  std::size_t inputsAway(const std::string &DataCentre) const;
  /// Bytes of the last stages' results in each data centre.
  std::map<std::string, std::uint64_t> inputBytes() const;
  /// A target found inputs gone: the results of the last stages are made anew.
  void forgetInputs();
  /// Frees all results.
  void release();

  void onPiece(const protocol::PieceReport &Report) override;

private:
  using PieceId = coordination::StagePlan::PieceId;

  /// Waits until the stages may begin; nothing if they may.
  transport::Awaitable<std::optional<StageEnd>> waitForStart();
  void orderReady();
  PieceRequest request(PieceId Id);
  /// Where most of the bytes are that \p Stage reads or makes.
  std::string preferredDataCentre(std::size_t Stage) const;
  /// Data centre of the target that made a result, if it is still known.
  std::string dataCentreOf(const std::string &Handle,
                           const std::string &Service) const;
  void free(const std::vector<coordination::StagePlan::Freed> &Results);
  void logStageDone(std::size_t Stage) const;

  RequestScope &Scope_;
  StageClient &Client_;
  coordination::StagePlan Plan_;
  SteadyTime ReadyBy_;
  SteadyTime UsableUntil_;
  std::string DataCentre_;
  transport::Wakeup Changed_;
  bool Begun_ = false;
  bool OutOfTime_ = false;
  bool Failed_ = false;
};

} // namespace amaranth::serving

#endif
