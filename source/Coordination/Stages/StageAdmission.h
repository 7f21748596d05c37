/// \file
/// Decision when the stages of a request may start.
#ifndef AMARANTH_COORDINATION_STAGES_STAGEADMISSION_H
#define AMARANTH_COORDINATION_STAGES_STAGEADMISSION_H

#include "Coordination/Stages/StagePlan.h"
#include "Protocol/FleetMessages.h"
#include "Support/Time.h"

#include <map>
#include <string>

namespace amaranth::coordination {

/// Settings of StageAdmission.
struct StageAdmissionSettings {
  /// The predicted delay by other work is multiplied with this: more urgent
  /// requests arrive meanwhile, and a longer queue serves nobody better. A
  /// request that waits for longer than this allows would mostly be refused at
  /// the end of its time.
  int DelayMargin_ = 2;
  /// A request that will miss its aim (the time within which its answer has
  /// full worth) starts only if the backlog of each of its stages can be
  /// completed within this time. Otherwise results of its first stages would
  /// expire before they are read.
  Milliseconds MaxBacklogForLate_{100};
  /// Weight of a new request in the average number of pieces per service.
  double RequestWeight_ = 0.02;
  /// The predicted delay of a request with more or fewer pieces than usual
  /// counts at most this much more or less.
  double MaxSizeFactor_ = 2;
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

/// Read access to the work that all hosts' requests still need.
class QueueView {
public:
  virtual ~QueueView() = default;
  /// Returns the pieces of a stage service that are still needed, also those
  /// that have not been ordered yet, and the rate of its targets.
  virtual protocol::QueueState queueState(const std::string &Service) = 0;
};

/// Compares the predicted time of a request's whole pipeline with the time that
/// the request has. A stage ends when its targets have completed the work of
/// the requests before this one, wherever that work is now. Requests that can
/// meet their aim start at once. The others wait, without using any target,
/// until the backlog is short, so that no result is computed that expires
/// unread, or are refused at once if that would be too late. The delay counts
/// more for a request with more pieces than usual: while arrivals exceed the
/// capacity, several small requests can meet their aims in its place.
class StageAdmission final {
public:
  explicit StageAdmission(QueueView &Queues,
                          StageAdmissionSettings Settings = {});

  /// Records the sizes of a new request, once for each request.
  void onRequest(const StagePlan &Plan);
  /// Decides for the remaining stages of \p Plan. The last results are needed
  /// by \p ReadyBy to meet the aim and by \p UsableUntil to meet the deadline.
  StageStart decide(const StagePlan &Plan, int Priority, SteadyTime ReadyBy,
                    SteadyTime UsableUntil, SteadyTime Now) const;
  /// Time by which the work of other requests delays \p Plan, as decide()
  /// predicts it before it refuses a request.
  Milliseconds predictedDelay(const StagePlan &Plan, int Priority) const;
  /// Returns the retry delay for a refused caller: the time until the current
  /// backlog is completed.
  Milliseconds retryAfter(const StagePlan &Plan) const;

private:
  /// Which work of other requests is completed before a request's own.
  enum class Ahead {
    InTime,  ///< Work that is as urgent and can meet its aim.
    Started, ///< All work that can meet its aim, and late work as urgent.
    All,     ///< Also the work of requests that wait and are as urgent.
  };

  Milliseconds workTime(const std::string &Service, Ahead Work,
                        int Priority) const;
  /// Pieces of the plan for a service relative to the average request.
  double sizeFactor(const StagePlan &Plan, const std::string &Service) const;
  /// Time until the plan is completed behind the work \p Work.
  Milliseconds timeToFinish(const StagePlan &Plan, Ahead Work,
                            int Priority) const;
  /// Time by which the work \p Work delays the plan.
  Milliseconds delay(const StagePlan &Plan, Ahead Work, int Priority) const;

  QueueView &Queues_;
  StageAdmissionSettings Settings_;
  std::map<std::string, double> AveragePieces_; ///< By service.
};

} // namespace amaranth::coordination

#endif
