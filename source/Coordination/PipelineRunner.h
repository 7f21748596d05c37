/// \file
/// Execution of the stages of pipelines.
#ifndef AMARANTH_COORDINATION_PIPELINERUNNER_H
#define AMARANTH_COORDINATION_PIPELINERUNNER_H

#include "Coordination/Backoff.h"
#include "Coordination/RetryBudget.h"
#include "Coordination/Router.h"
#include "Coordination/StageStatistics.h"
#include "Coordination/SuspectRegistry.h"
#include "Coordination/TargetTable.h"
#include "Protocol/PeerMessages.h"
#include "Protocol/StageClient.h"
#include "Transport/TimerService.h"
#include "Transport/WorkArena.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Settings of PipelineRunner.
struct PipelineRunnerSettings {
  int MaxAttempts_ = 6;          ///< For each stage, including refused ones.
  Milliseconds BackoffBase_{10}; ///< Doubles with each retry of a stage.
  Milliseconds BackoffLimit_{200};
  Milliseconds ProgressTimeout_{2000};
  bool Hedge_ = true;
  int MaxHedges_ = 64; ///< Limit of concurrent hedges of all requests.
  Milliseconds MinHedgeDelay_{5}; ///< Shortest delay before a hedge.
  /// Part of the retry budget that hedges may not use.
  double HedgeReserve_ = 15;
  /// Sleeps for a backoff; a test replaces it.
  std::function<void(Milliseconds)> Sleep_;
  /// Returns true if \p Target accepts connections; used after a reset to find
  /// out whether the target crashed. If empty, a crash is detected only when a
  /// later connection is refused.
  std::function<bool(const state::Target &Target)> Answers_;
  std::uint64_t Seed_ = std::random_device{}();
};

/// Dependencies of PipelineRunner; all must outlive it.
struct PipelineDependencies {
  protocol::StageClient &Engines_; ///< Runs Generate stages.
  protocol::StageClient &Pools_;   ///< Runs the other stages.
  Router &Router_;
  TargetTable &Targets_;
  RetryBudget &Budget_;
  StageStatistics &Statistics_;
  SuspectRegistry &Suspects_;
  transport::TimerService &Timers_;
};

/// One request to a pipeline.
struct PipelineRequest {
  std::string RequestId_;
  std::string TraceParent_;
  std::string Input_;
  int MaxTokens_ = 64;
  /// Expected output tokens; 0 means MaxTokens_.
  double PredictedTokens_ = 0;
  int Priority_ = 0;
  SteadyTime Deadline_;
  protocol::TokenListener *Listener_ = nullptr;
};

/// Attempts and time that one stage took.
struct StageCost {
  std::string Stage_;
  std::string Target_; ///< The target whose result was used.
  int Attempts_ = 0;
  int Hedges_ = 0;
  Microseconds Useful_{0}; ///< Duration of the attempt that succeeded.
  Microseconds Wasted_{0}; ///< Duration of all others.
  /// Time from the start of the first attempt to the last, but for attempts
  /// that were refused by an overloaded target.
  Microseconds Lost_{0};
};

/// A complete output, or a refusal.
struct PipelineResult {
  /// Completed, NotRun (no stage ran) or Failed.
  protocol::OutcomeKind Outcome_ = protocol::OutcomeKind::Failed;
  int Status_ = 200;   ///< HTTP status for the caller.
  std::string Detail_; ///< Why it was refused.
  /// Time after which the request may be repeated; zero if that is useless.
  Milliseconds RetryAfter_{0};
  /// Complete if Outcome_ is Completed, else partial.
  protocol::PipelineData Data_;
  std::vector<StageCost> Stages_;
};

/// Runs the stages of a pipeline in order, under one deadline, on the caller's
/// thread. Thread-safe.
class PipelineRunner final {
public:
  PipelineRunner(const PipelineDependencies &Parts,
                 PipelineRunnerSettings Settings);
  /// Waits until all hedges have ended.
  ~PipelineRunner();
  PipelineRunner(const PipelineRunner &) = delete;
  PipelineRunner &operator=(const PipelineRunner &) = delete;

  PipelineResult run(const state::ServiceDocument &Document,
                     const PipelineRequest &Request);

private:
  class StageRun;
  friend class StageRun;

  PipelineDependencies Parts_;
  PipelineRunnerSettings Settings_;
  Backoff Backoff_;
  transport::WorkArena Hedges_;
};

} // namespace amaranth::coordination

#endif
