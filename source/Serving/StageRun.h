/// \file
/// The stages of one request.
#ifndef AMARANTH_SERVING_STAGERUN_H
#define AMARANTH_SERVING_STAGERUN_H

#include "Serving/RequestScope.h"
#include "Serving/StageClient.h"
#include "Transport/Loop.h"

#include <string>
#include <vector>

namespace amaranth::serving {

enum class StageEnd {
  Done,
  OutOfTime,
  Failed,
  CallerGone,
};

/// Orders the pieces of a request stage by stage as their inputs become ready,
/// and frees results once nothing needs them.
class StageRun final : public PieceWaiter {
public:
  /// \p ReadyBy: when the results must be there for the request to meet its
  /// aim; \p UsableUntil: for its deadline.
  StageRun(RequestScope &Scope, StageClient &Client, SteadyTime ReadyBy,
           SteadyTime UsableUntil, std::string DataCentre);
  ~StageRun() override;

  /// Makes all pieces that are missing.
  transport::Awaitable<StageEnd> run();
  /// Handles of the stages that no other stage follows.
  std::vector<std::string> inputs() const;
  /// A target found inputs gone: the results of the last stages are made anew.
  void forgetInputs();
  /// Frees all results.
  void release();

  void onPiece(const protocol::PieceReport &Report) override;

private:
  enum class PieceState { Missing, Ordered, Made };
  struct Piece {
    PieceState State_ = PieceState::Missing;
    std::string Handle_;
    int Failures_ = 0;
    bool Ordered_ = false; ///< Was ordered before.
  };
  struct Stage {
    std::vector<Piece> Pieces_;
    bool Last_ = true; ///< No other stage follows.
    /// Time from the end of this stage to the end of the last.
    Milliseconds TimeAfter_{0};
  };

  void computeTimes();
  bool stageMade(std::size_t Index) const;
  /// Whether the results of a stage are still to be read by someone.
  bool needed(std::size_t Index) const;
  bool allMade() const;
  void logStageDone(std::size_t Index) const;
  void orderReady();
  /// Whether a stage would only wait for others if it began now.
  bool canWait(std::size_t Index) const;
  /// Time that the stages other than \p Index still need.
  Milliseconds timeOfOthers(std::size_t Index) const;
  /// Where most of the bytes are that \p Index reads; else where the results
  /// of the last stages are read.
  std::string preferredDataCentre(std::size_t Index) const;
  PieceRequest request(std::size_t StageIndex, std::size_t PieceIndex);
  void remakeInputs(std::size_t Index);
  void releaseStage(std::size_t Index);

  RequestScope &Scope_;
  StageClient &Client_;
  SteadyTime ReadyBy_;
  SteadyTime UsableUntil_;
  std::string DataCentre_;
  std::vector<Stage> Stages_;
  transport::Wakeup Changed_;
  bool OutOfTime_ = false;
  bool Failed_ = false;
};

/// Expected time from ordering a piece to its result, without a backlog.
Milliseconds expectedStageTime(const state::RoutingTable &Table,
                               const std::string &Service);

} // namespace amaranth::serving

#endif
