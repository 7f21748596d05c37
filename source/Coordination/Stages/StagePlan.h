/// \file
/// Which stage results of a request exist, and which are to be made.
#ifndef AMARANTH_COORDINATION_STAGES_STAGEPLAN_H
#define AMARANTH_COORDINATION_STAGES_STAGEPLAN_H

#include "State/RoutingTable.h"
#include "Support/Time.h"

#include <functional>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Time from ordering a piece of \p Service to its result, without a backlog.
Milliseconds expectedStageTime(const state::RoutingTable &Table,
                               const std::string &Service);

/// The stages of one request as a graph of pieces. Decides what can be ordered,
/// what is worth ordering yet, and which results nobody reads any more.
class StagePlan final {
public:
  struct PieceId {
    std::size_t Stage_ = 0;
    std::size_t Piece_ = 0;
  };
  /// A result that can be freed.
  struct Freed {
    std::size_t Stage_ = 0;
    std::string Handle_;
  };

  /// \p Counts holds the number of pieces of each stage; 0 leaves it out.
  StagePlan(std::vector<state::StageStep> Steps,
            const std::vector<std::size_t> &Counts,
            const state::RoutingTable &Table);

  /// Pieces to be ordered now; each is returned once until it fails.
  std::vector<PieceId> takeReady();
  /// Results that are not needed any more because this piece was made. A piece
  /// that was not ordered is ignored.
  std::vector<Freed> onMade(PieceId Id, std::string Handle);
  /// The piece is being made and has read its inputs. Returns results that are
  /// kept for no other piece; if this one fails, they are made anew.
  std::vector<Freed> onInputsRead(PieceId Id);
  /// The piece is to be made anew. With \p InputsGone, so are its inputs; what
  /// is left of them is returned.
  std::vector<Freed> onFailed(PieceId Id, bool InputsGone);
  /// The reader of the last stages found results gone; all that is left of
  /// them is returned, and they are made anew.
  std::vector<Freed> forgetLast();
  /// The request has ended; returns every result.
  std::vector<Freed> freeAll();

  bool allMade() const;
  bool stageMade(std::size_t Stage) const;
  /// Handles that a piece of \p Stage reads.
  std::vector<std::string> inputsOf(std::size_t Stage) const;
  /// Handles of the stages that no other stage follows.
  std::vector<std::string> lastHandles() const;
  bool isLast(std::size_t Stage) const { return Stages_[Stage].Last_; }
  /// Whether the piece has been ordered before.
  bool orderedBefore(PieceId Id) const;
  int failures(PieceId Id) const;
  /// Expected time from the end of \p Stage to the end of the last.
  Milliseconds timeAfter(std::size_t Stage) const {
    return Stages_[Stage].TimeAfter_;
  }
  /// Expected time until all stages that are still needed are made, when a
  /// piece of each service is delayed by what \p Delay returns.
  Milliseconds timeToFinish(
      const std::function<Milliseconds(const std::string &)> &Delay) const;
  const state::StageStep &step(std::size_t Stage) const {
    return Steps_[Stage];
  }
  std::size_t pieces(std::size_t Stage) const {
    return Stages_[Stage].Pieces_.size();
  }
  std::size_t stages() const { return Stages_.size(); }
  /// Handles of the results of \p Stage that exist.
  std::vector<std::string> handles(std::size_t Stage) const;
  bool contains(PieceId Id) const;

private:
  enum class State {
    Missing,
    Ordered,
    Made,
    Read, ///< Made, read by all that need it so far, and freed.
  };
  struct Piece {
    State State_ = State::Missing;
    bool InputsRead_ = false;
    std::string Handle_;
    int Orders_ = 0;
    int Failures_ = 0;
  };
  struct StageState {
    std::vector<Piece> Pieces_;
    bool Last_ = true; ///< No other stage follows.
    Milliseconds Time_{0};
    Milliseconds TimeAfter_{0};
  };

  void computeTimesAfter();
  bool isNeeded(std::size_t Index) const;
  bool isReady(std::size_t Index) const;
  bool canWait(std::size_t Index) const;
  /// Whether no piece has yet to read the results of the stage.
  bool isRead(std::size_t Index) const;
  void free(std::size_t Index, std::vector<Freed> &Out);

  std::vector<state::StageStep> Steps_;
  std::vector<StageState> Stages_;
};

} // namespace amaranth::coordination

#endif
