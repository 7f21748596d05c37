/// \file
/// Requests to model engines and requests with stages.
#ifndef AMARANTH_SERVING_STREAMRUN_H
#define AMARANTH_SERVING_STREAMRUN_H

#include "Serving/EventStream.h"
#include "Serving/RequestScope.h"
#include "Serving/SendPermits.h"
#include "Serving/StageRun.h"
#include "Serving/StreamContinuation.h"
#include "Serving/TargetExchange.h"

#include <optional>
#include <set>

namespace amaranth::serving {

/// Runs the stages of a request, sends it to an engine and forwards the
/// engine's events as they arrive; those that the caller has not read yet are
/// buffered. If the engine's stream breaks, another
/// engine continues it where the route allows that; otherwise the caller's
/// connection is reset, so that the caller cannot take the answer as complete.
/// Once a stream has begun, only engines of the software version that began it
/// may continue it: what two versions write does not fit together.
class StreamRun final : public TargetChooser {
public:
  StreamRun(RequestScope &Scope, StageClient &Client);
  ~StreamRun() override;

  transport::Awaitable<void> run();

  // TargetChooser
  const state::TargetRecord *chooseFrom(
      const std::vector<const state::TargetRecord *> &Candidates) override;
  bool mayTakeLimitedPlace() const override;
  bool hasCallerLeft() override { return Scope_.hasCallerLeft(); }
  double cost() const override;

private:
  /// What follows an attempt.
  enum class Step { TryAgain, Finished };

  /// Runs the stages. False if the request has ended.
  transport::Awaitable<bool> runStages();
  bool mayTryAgain() const;
  /// Waits for an engine that may get the request and has memory for it.
  transport::Awaitable<std::optional<state::TargetRecord>> chooseEngine();
  bool hasMemory(const state::TargetRecord &Engine) const;
  /// Whether the service has engines, but none with memory for the request.
  bool isMemoryFull() const;
  transport::Awaitable<Step> attempt(state::TargetRecord Target);
  transport::Awaitable<Step> forwardEvents(TargetExchange &Exchange);
  transport::Awaitable<bool> writeEvents(TargetExchange &Exchange,
                                         std::string Events);
  /// Writes the last chunk and waits until the caller's connection has taken
  /// the answer.
  transport::Awaitable<void> finishAnswer();
  /// Until when the engine is read: to the deadline before its first event.
  /// After that a stream whose bytes keep coming is not cut at the deadline.
  SteadyTime readUntil() const;
  /// Whether the caller's connection has broken or the caller was given up.
  bool hasCallerFailed() const;
  void noteCallerFailure();
  /// Handles an answer whose status is not 2xx.
  transport::Awaitable<Step> handleFailure(TargetExchange &Exchange);
  void recordOutcome(const TargetExchange &Exchange);
  PromptEnd promptEnd(const TargetExchange &Exchange) const;
  /// Answers a request that no engine served, or resets the caller's connection
  /// if part of the answer has been sent.
  transport::Awaitable<void> answerOrAbort();

  RequestScope &Scope_;
  transport::ByteReservation PendingEvent_;
  StageRun Stages_;
  std::shared_ptr<CallerWriter> Writer_;
  EventStream Events_;
  StreamContinuation Continuation_;
  std::set<std::string> TriedTargets_;
  int SentAttempts_ = 0;
  int PossibleRuns_ = 0;
  int UnreachedTargets_ = 0;
  bool HeadWritten_ = false;
  SteadyTime AttemptStart_{};
  /// Time of the first event of this attempt.
  std::optional<SteadyTime> FirstEventAt_;
  bool AnswerCompleted_ = false; ///< This attempt ended with a whole answer.
};

} // namespace amaranth::serving

#endif
