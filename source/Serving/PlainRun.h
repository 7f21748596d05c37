/// \file
/// Requests to plain services: no stream.
#ifndef AMARANTH_SERVING_PLAINRUN_H
#define AMARANTH_SERVING_PLAINRUN_H

#include "Serving/RequestScope.h"
#include "Serving/SendPermits.h"
#include "Serving/StageRun.h"
#include "Serving/TargetExchange.h"

#include <optional>
#include <set>

namespace amaranth::serving {

/// Runs the stages of a request, if its route has any, and sends it with their
/// results to one target after another until one gives a usable answer
/// or no further attempt is allowed. A non-idempotent request is sent to
/// another target only if no earlier target can have run it.
class PlainRun final : public TargetChooser {
public:
  PlainRun(RequestScope &Scope, StageClient &Client);

  transport::Awaitable<void> run();

  // TargetChooser
  const state::TargetRecord *chooseFrom(
      const std::vector<const state::TargetRecord *> &Candidates) override;
  bool mayTakeLimitedPlace() const override { return true; }
  bool hasCallerLeft() override { return Scope_.hasCallerLeft(); }

private:
  struct TargetAnswer {
    transport::HttpHead Head_;
    std::string Body_;
  };

  /// Whether the target may be sent the request: its stages are complete. If
  /// not, it has been answered.
  transport::Awaitable<bool> runStages();
  SteadyTime attemptDeadline() const;
  SteadyTime middleOfTimeLeft() const;
  bool mayTryAgain() const;
  transport::Awaitable<void> attempt(state::TargetRecord Target);
  void recordOutcome(TargetExchange &Exchange, Milliseconds Elapsed);
  void recordResult(const TargetExchange &Exchange,
                    coordination::TargetResult Result, Milliseconds Elapsed);
  transport::Awaitable<void> answerFailure();

  RequestScope &Scope_;
  std::optional<StageRun> Stages_; ///< Empty if the route has none.
  std::set<std::string> TriedTargets_;
  int SentAttempts_ = 0;     ///< Attempts that reached a target.
  int PossibleRuns_ = 0;     ///< Of these, attempts that may have run.
  int UnreachedTargets_ = 0; ///< Targets that could not be connected to.
  bool Succeeded_ = false;
  bool FailureIsFinal_ = false; ///< Failure_ is sent without a further attempt.
  std::optional<TargetAnswer> Failure_;
  std::optional<TargetAnswer> Success_;
};

} // namespace amaranth::serving

#endif
