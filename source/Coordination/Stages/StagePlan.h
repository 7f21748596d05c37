/// \file
/// State of the stages of one request and of their results.
#ifndef AMARANTH_COORDINATION_STAGES_STAGEPLAN_H
#define AMARANTH_COORDINATION_STAGES_STAGEPLAN_H

#include "State/RoutingTable.h"
#include "Support/Time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Expected time from submitting a piece of \p Service to its result, without a
/// backlog.
Milliseconds expectedStageTime(const state::RoutingTable &Table,
                               const std::string &Service);

/// The stages of one request as a graph of pieces; a piece is one unit of a
/// stage's work. Decides which pieces are submitted to the dispatchers and
/// when, and which results are no longer needed. Not thread-safe.
class StagePlan final {
public:
  struct PieceId {
    std::size_t Stage_ = 0;
    std::size_t Piece_ = 0;
  };
  /// A result whose storage can be released.
  struct ReleasedResult {
    std::size_t Stage_ = 0;
    std::string Handle_;
  };

  /// \p Counts holds the number of pieces of each stage; 0 skips the stage.
  StagePlan(std::vector<state::StageStep> Steps,
            const std::vector<std::size_t> &Counts,
            const state::RoutingTable &Table);

  /// Returns the pieces to submit now. Each piece is returned once, and again
  /// after a failure.
  std::vector<PieceId> takeReadyPieces();
  /// Records the result of a piece and returns the results that are no longer
  /// needed. Ignored if the piece is not submitted.
  std::vector<ReleasedResult> onCompleted(PieceId Id, std::string Handle,
                                          SteadyTime Now);
  /// Records that the target has read the inputs of a piece. Returns the inputs
  /// that no other piece needs; they are computed again if this piece fails.
  std::vector<ReleasedResult> onInputsRead(PieceId Id);
  /// Marks a failed piece to be computed again. If \p InputsGone, its inputs no
  /// longer exist and are computed again too; remaining ones are returned.
  std::vector<ReleasedResult> onFailed(PieceId Id, bool InputsGone);
  /// Marks the final stages to be computed again, because the reader of their
  /// results found some missing. Returns the remaining ones.
  std::vector<ReleasedResult> discardFinalResults();
  /// Returns every result, at the end of the request.
  std::vector<ReleasedResult> releaseAllResults();

  /// True if no stage has to be computed any more.
  bool isComplete() const;
  /// True if all pieces of the stage are completed.
  bool isStageComplete(std::size_t Stage) const;
  /// Time at which the first of the results that \p Stage reads expires at its
  /// target; none if it reads no results.
  std::optional<SteadyTime> inputsExpireAt(std::size_t Stage) const;
  /// Handles of the results that a piece of \p Stage reads.
  std::vector<std::string> inputHandles(std::size_t Stage) const;
  /// Handles of the results of the stages that no other stage follows.
  std::vector<std::string> finalHandles() const;
  bool isFinalStage(std::size_t Stage) const { return Stages_[Stage].IsFinal_; }
  /// True if the piece has been submitted more than once.
  bool wasSubmittedBefore(PieceId Id) const;
  int failures(PieceId Id) const;
  /// Expected time from the end of \p Stage to the end of the request.
  Milliseconds timeAfterStage(std::size_t Stage) const {
    return Stages_[Stage].TimeAfter_;
  }
  /// Returns how much later than after \p Time a stage of a service ends
  /// because of other work.
  using DelayFunction = std::function<Milliseconds(const std::string &Service,
                                                   Milliseconds Time)>;
  /// Expected time until all stages that are still needed are completed.
  Milliseconds timeToFinish(const DelayFunction &Delay) const;
  /// The same without other work.
  Milliseconds timeToFinish() const;
  const state::StageStep &step(std::size_t Stage) const {
    return Steps_[Stage];
  }
  std::size_t pieceCount(std::size_t Stage) const {
    return Stages_[Stage].Pieces_.size();
  }
  /// Number of pieces of the stage that are still needed and not completed.
  std::size_t unfinishedPieces(std::size_t Stage) const;
  std::size_t stageCount() const { return Stages_.size(); }
  /// Handles of the existing results of \p Stage.
  std::vector<std::string> handles(std::size_t Stage) const;
  bool contains(PieceId Id) const;

private:
  enum class State {
    Missing,
    Submitted,
    Completed,
    Released, ///< Completed, read by all readers so far, and released.
  };
  struct Piece {
    State State_ = State::Missing;
    bool InputsRead_ = false;
    std::string Handle_;
    SteadyTime CompletedAt_{};
    int Submissions_ = 0;
    int Failures_ = 0;
  };
  struct StageState {
    std::vector<Piece> Pieces_;
    bool IsFinal_ = true; ///< No other stage reads the results.
    Milliseconds Duration_{0};
    Milliseconds TimeAfter_{0};
    Milliseconds ResultLifetime_{0}; ///< 0 if unknown.
  };

  void computeTimesAfter();
  /// True for a final stage, and if an incomplete needed stage reads the
  /// results.
  bool isNeeded(std::size_t Index) const;
  bool isReady(std::size_t Index) const;
  /// True if the results would only wait for those of other stages.
  bool shouldDefer(std::size_t Index) const;
  /// True if all pieces that read the results have read them.
  bool allReadersDone(std::size_t Index) const;
  /// Appends the results of the stage to \p Freeable and marks its pieces to be
  /// computed again.
  void releaseResults(std::size_t Index, std::vector<ReleasedResult> &Freeable);

  std::vector<state::StageStep> Steps_;
  std::vector<StageState> Stages_;
};

} // namespace amaranth::coordination

#endif
