/// \file
/// When a request's stages are begun.
#ifndef AMARANTH_COORDINATION_STAGES_STAGEADMISSION_H
#define AMARANTH_COORDINATION_STAGES_STAGEADMISSION_H

#include "Coordination/Stages/StagePlan.h"
#include "Protocol/FleetMessages.h"
#include "Support/Time.h"

#include <string>

namespace amaranth::coordination {

/// Settings of StageAdmission.
struct StageAdmissionSettings {
  /// A request that will miss its aim begins only when the pieces that wait
  /// for any of its stages are made within this time. Results of its first
  /// stages would else expire before they are read.
  Milliseconds LateBacklog_{500};
  /// Bounds of the time after which a refused caller may come back.
  Milliseconds MinRetryAfter_{300};
  Milliseconds MaxRetryAfter_{3000};
};

enum class StageStart {
  Begin,
  Hold,   ///< Ask again soon: it can still be served, but late.
  Refuse, ///< It cannot be served before its caller gives up.
};

/// What the dispatchers say of their queues.
class QueueView {
public:
  virtual ~QueueView() = default;
  /// The queue of a stage service; empty if nothing waits.
  virtual protocol::QueueState queueOf(const std::string &Service) const = 0;
};

/// Compares the time that the stages of a request will take, with what waits
/// before them, with the time it has. Requests that can meet their aim begin at
/// once. Others wait without any work until the backlog is short, so that no
/// result is made that expires unread.
class StageAdmission final {
public:
  explicit StageAdmission(const QueueView &Queues,
                          StageAdmissionSettings Settings = {});

  StageStart decide(const StagePlan &Plan, int Priority, SteadyTime ReadyBy,
                    SteadyTime UsableUntil, SteadyTime Now) const;
  /// When a refused caller may come back: when what waits now is made.
  Milliseconds retryAfter(const StagePlan &Plan) const;

  /// Time until a new piece of this priority is begun, if it can meet its aim.
  Milliseconds delayInTime(const std::string &Service, int Priority) const;
  /// Time until all that waits is made.
  Milliseconds delayOfAll(const std::string &Service) const;

private:
  const QueueView &Queues_;
  StageAdmissionSettings Settings_;
};

} // namespace amaranth::coordination

#endif
