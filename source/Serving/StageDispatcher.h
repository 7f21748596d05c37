/// \file
/// Queues the pieces of stage services (units of a stage's work for a request)
/// and composes the calls to their targets.
#ifndef AMARANTH_SERVING_STAGEDISPATCHER_H
#define AMARANTH_SERVING_STAGEDISPATCHER_H

#include "Coordination/Stages/CallStatistics.h"
#include "Coordination/Stages/ResultLedger.h"
#include "Coordination/Stages/StageQueue.h"
#include "Coordination/Targets/SendSchedule.h"
#include "Protocol/FleetMessages.h"
#include "Serving/EntryContext.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace amaranth::serving {

class TargetExchange;

/// Settings of StageDispatcher.
struct StageDispatcherSettings {
  /// A call times out after TimeoutFactor_ times its expected time plus
  /// TimeoutBase_.
  int TimeoutFactor_ = 6;
  Milliseconds TimeoutBase_{700};
  /// How often queues are checked for expired pieces and for targets that have
  /// become usable.
  Milliseconds CheckPeriod_{20};
  /// How long a cancelled request is remembered. Longer than a call takes, so
  /// that results of calls still in progress are freed when they arrive.
  Milliseconds CancelRetention_{10000};
  /// A target fetches the inputs of a call before it works on it. The inputs
  /// count as read, and can be freed, after the fixed time of a call divided by
  /// this number.
  int InputReadDivisor_ = 3;
  /// At a target that states a limit, at most one request in this number frees
  /// results: a call makes the results of many pieces, and what is not freed
  /// expires.
  int LimitedFreeDivisor_ = 4;
};

/// Receives the outcomes of pieces and passes them to the host that ordered
/// them.
class PieceReportListener {
public:
  virtual ~PieceReportListener() = default;
  virtual void onPieceReports(const std::string &OrderingHost,
                              protocol::PieceReports Reports) = 0;
};

/// The queues of the services for which this host is the dispatcher. Each host
/// determines the dispatcher of a service by itself, so two may be active for a
/// short time. Calls are then less full, but nothing else is affected.
class StageDispatcher final {
public:
  StageDispatcher(EntryContext &Context, PieceReportListener &Listener,
                  StageDispatcherSettings Settings = {});

  void start();
  void enqueue(const std::string &OrderingHost,
               const protocol::PieceOrder &Order);
  void cancel(const std::string &OrderingHost, const std::string &RequestId);
  /// Removes the waiting pieces of a host that cannot be reached, and reports
  /// them as refused, in case the host still waits for them.
  void dropEntryHost(const std::string &OrderingHost);
  void releaseResult(const protocol::UnneededResult &Result);
  /// State of each queue that has been used.
  std::vector<protocol::QueueState> queueStates();
  protocol::QueueState queueState(const std::string &ServiceName);

private:
  struct TargetState {
    std::size_t Calls_ = 0; ///< Calls of this dispatcher in progress.
    /// No other dispatcher is calling the target: the last call from here
    /// succeeded in about its expected time.
    bool IsOnlyDispatcher_ = false;
    SteadyTime ExpectedFreeAt_{}; ///< Expected end of the last call started.
    std::vector<std::string> HandlesToFree_; ///< Handles of unneeded results.
    bool FreeCallRunning_ = false;
    /// At a target with a limit, no results are freed before this time.
    SteadyTime FreeAgainAt_{};
  };
  struct ServiceState {
    coordination::StageQueue Queue_;
    coordination::ResultLedger Ledger_;
    std::map<std::string, TargetState> Targets_;
    bool StartCallsPosted_ = false;
    coordination::CallStatistics Statistics_;
  };
  using Pieces = std::vector<coordination::QueuedPiece>;
  /// A call to a target and what it was composed from.
  struct RunningCall {
    std::string Service_;
    state::TargetRecord Target_;
    state::StageCapacity Capacity_;
    Pieces Pieces_;
    SteadyTime StartedAt_{};
    Milliseconds ExpectedTime_{0}; ///< Duration according to the configuration.
    /// A full call still waited when this one was composed.
    bool Saturated_ = false;
    bool Ended_ = false;
  };
  using RunningCallPtr = std::shared_ptr<RunningCall>;
  using RequestKey = std::pair<std::string, std::string>;

  transport::Awaitable<void> checkQueues();
  /// Starts calls once the loop has handled the messages that have already
  /// arrived, so that their pieces can share calls.
  void postStartCalls(const std::string &ServiceName);
  void startCalls(const std::string &ServiceName);
  /// Earliest time at which a usable target is free, by data centre.
  std::map<std::string, SteadyTime>
  earliestFreeTimes(const std::string &ServiceName, ServiceState &Service,
                    const state::StageCapacity &Capacity, SteadyTime Now);
  bool tryStartCall(const std::string &ServiceName, ServiceState &Service,
                    const state::StageCapacity &Capacity);
  transport::Awaitable<void> runCall(RunningCallPtr Running);
  std::string encodeCall(const RunningCall &Call,
                         const std::string &CallId) const;
  /// Updates health, ledger and pieces from the answer or failure of a call.
  void finishCall(RunningCall &Call, TargetExchange &Exchange);
  /// The answer to a call names no request, so that a copy of an earlier answer
  /// shows only by its results. True if one of \p Outcomes has a result that
  /// the target reported for another piece.
  bool isEarlierAnswer(const RunningCall &Call,
                       const std::vector<protocol::PieceOutcome> &Outcomes);
  void logCall(const RunningCall &Call,
               const std::vector<protocol::PieceOutcome> &Outcomes,
               Milliseconds Elapsed);
  /// Reports to the owners of a call's pieces, after \p ReadTime, that the
  /// inputs can be freed.
  transport::Awaitable<void> reportInputsRead(RunningCallPtr Running,
                                              Milliseconds ReadTime);
  /// Reports the outcome of each piece to its owner, or queues it again.
  void handleOutcomes(RunningCall &Call,
                      const std::vector<protocol::PieceOutcome> &Outcomes);
  void retryOrReport(ServiceState &Service, coordination::QueuedPiece Piece,
                     protocol::PieceStatus End,
                     std::map<std::string, protocol::PieceReports> &Reports);
  /// Time until a target accepts a request by the limit that it states and by
  /// its pace, if it has just started.
  SteadyClock::duration timeToPlace(const std::string &Target, SteadyTime Now);
  /// Takes the place at a target that has one now.
  void takePlace(const std::string &Target, SteadyTime Now);
  /// Time until unneeded results may be freed at a target, which may want no
  /// requests now or state a limit.
  SteadyClock::duration timeToFree(const state::TargetRecord &Target,
                                   const TargetState &State, SteadyTime Now);
  transport::Awaitable<void> freeResults(std::string ServiceName,
                                         state::TargetRecord Target);
  /// Pieces per second if all usable targets run full calls.
  double maxPieceRate(const std::string &ServiceName) const;
  void reportExpiredPieces(ServiceState &Service);
  /// Reports all waiting pieces as refused.
  void refuseAllPieces(ServiceState &Service);

  EntryContext &Context_;
  PieceReportListener &Listener_;
  StageDispatcherSettings Settings_;
  std::map<std::string, ServiceState> Services_;
  /// Places of the targets that state a limit. The dispatcher of a service is
  /// the only host that calls its targets, so that it asks no other.
  coordination::SendSchedule Schedule_;
  /// Expiry times of cancelled requests, by owner and request id.
  std::map<RequestKey, SteadyTime> Cancelled_;
};

} // namespace amaranth::serving

#endif
