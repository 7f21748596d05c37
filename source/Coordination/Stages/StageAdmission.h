/// \file
/// Decision when the stages of a request may start.
#ifndef AMARANTH_COORDINATION_STAGES_STAGEADMISSION_H
#define AMARANTH_COORDINATION_STAGES_STAGEADMISSION_H

#include "Coordination/Stages/StagePlan.h"
#include "Protocol/FleetMessages.h"
#include "Support/Time.h"

#include <string>

namespace amaranth::coordination {

/// Settings of StageAdmission.
struct StageAdmissionSettings {
  /// A request that will miss its aim (the time within which its answer has
  /// full worth) starts only if the backlog of each of its stages can be
  /// completed within this time. Otherwise results of its first stages would
  /// expire before they are read.
  Milliseconds MaxBacklogForLate_{500};
  /// Bounds of the retry delay given to refused callers.
  Milliseconds MinRetryAfter_{300};
  Milliseconds MaxRetryAfter_{3000};
};

/// Decision on a request whose stages have not started.
enum class StageStart {
  Begin,  ///< Start the first stages now.
  Wait,   ///< Call decide() again soon: it can be completed late.
  Refuse, ///< It cannot be completed before its deadline.
};

/// Read access to the latest queue states reported by the dispatchers (the
/// entry hosts that compose the calls to the targets of a stage service).
class QueueView {
public:
  virtual ~QueueView() = default;
  /// Returns the queue state of a stage service; empty if no piece waits.
  virtual protocol::QueueState queueState(const std::string &Service) const = 0;
};

/// Compares the predicted time of a request's stages, including the queues in
/// front of them, with the time that the request has. Requests that can meet
/// their aim start at once. The others wait, without using any target, until
/// the backlog is short, so that no result is computed that expires unread.
class StageAdmission final {
public:
  explicit StageAdmission(const QueueView &Queues,
                          StageAdmissionSettings Settings = {});

  /// Decides for the remaining stages of \p Plan. The last results are needed
  /// by \p ReadyBy to meet the aim and by \p UsableUntil to meet the deadline.
  StageStart decide(const StagePlan &Plan, int Priority, SteadyTime ReadyBy,
                    SteadyTime UsableUntil, SteadyTime Now) const;
  /// Returns the retry delay for a refused caller: the time until the current
  /// backlog is completed.
  Milliseconds retryAfter(const StagePlan &Plan) const;

  /// Time until a new piece of this priority starts, if it can meet its aim.
  Milliseconds queueDelay(const std::string &Service, int Priority) const;
  /// Time until all waiting pieces are completed.
  Milliseconds drainTime(const std::string &Service) const;

private:
  const QueueView &Queues_;
  StageAdmissionSettings Settings_;
};

} // namespace amaranth::coordination

#endif
