/// \file
/// Makes stage results: one queue for each service, one dispatcher host.
#ifndef AMARANTH_SERVING_STAGEDISPATCHER_H
#define AMARANTH_SERVING_STAGEDISPATCHER_H

#include "Coordination/Stages/ResultLedger.h"
#include "Coordination/Stages/StageQueue.h"
#include "Protocol/FleetMessages.h"
#include "Serving/EntryContext.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace amaranth::serving {

class TargetExchange;

/// Settings of StageDispatcher.
struct StageDispatcherSettings {
  /// A call is given up when it takes this many times the expected time, and
  /// a fixed time more.
  int TimeoutFactor_ = 6;
  Milliseconds TimeoutBase_{700};
  /// How often queues are checked for expired pieces and for targets that have
  /// become usable.
  Milliseconds CheckPeriod_{20};
  /// How long a cancelled request is remembered: longer than a call takes, so
  /// that results made for it are freed.
  Milliseconds CancelMemory_{10000};
  /// A target fetches the inputs of a call before it works on it. After this
  /// part of the least time of a call they are taken as read and can be freed.
  int InputReadDivisor_ = 3;
  /// Over which the rate of a service is measured: some calls of each target.
  Milliseconds RateWindow_{2000};
  /// Part of the rate of full calls that a service reaches at least when enough
  /// waits; the measured rate is too low while little does.
  double LeastRate_ = 0.6;
};

/// Takes what became of pieces, for the host that ordered them.
class PieceReportListener {
public:
  virtual ~PieceReportListener() = default;
  virtual void onPieceReports(const std::string &Owner,
                              protocol::PieceReports Reports) = 0;
};

/// The queues of the services for which this host is the dispatcher. Hosts
/// choose the dispatcher of a service by themselves, so two may be active for a
/// moment; that fills calls worse and harms nothing else.
class StageDispatcher final {
public:
  StageDispatcher(EntryContext &Context, PieceReportListener &Listener,
                  StageDispatcherSettings Settings = {});

  void start();
  void order(const std::string &Owner, const protocol::PieceOrder &Order);
  void cancel(const std::string &Owner, const std::string &RequestId);
  void cancelOwner(const std::string &Owner);
  void release(const protocol::UnneededResult &Result);
  /// Length of each queue that is not empty.
  std::vector<protocol::QueueState> queues();
  protocol::QueueState queueOf(const std::string &Service);

private:
  struct TargetState {
    std::size_t Calls_ = 0; ///< In progress from here.
    /// The last call from here was answered in the usual way, so that no other
    /// dispatcher's call can be in progress before the next.
    bool Sole_ = false;
    SteadyTime FreeAt_{}; ///< Expected end of the last call.
    std::vector<std::string> ToFree_;
    bool Freeing_ = false;
  };
  struct ServiceState {
    coordination::StageQueue Queue_;
    coordination::ResultLedger Ledger_;
    std::map<std::string, TargetState> Targets_;
    bool PumpPending_ = false;
    /// Pieces made lately, with the time of their call's end.
    std::deque<std::pair<SteadyTime, std::size_t>> Made_;
  };
  using Pieces = std::vector<coordination::QueuedPiece>;
  /// A call to a target and what it was composed from.
  struct RunningCall {
    std::string Service_;
    state::TargetRecord Target_;
    state::StageCapacity Capacity_;
    Pieces Pieces_;
    SteadyTime Begin_{};
    Milliseconds Expected_{0}; ///< Time that it takes on a usual target.
    bool Ended_ = false;
  };
  using RunningCallPtr = std::shared_ptr<RunningCall>;
  using OwnedRequest = std::pair<std::string, std::string>;

  transport::Awaitable<void> checkQueues();
  /// Starts calls once the loop has handled what has arrived.
  void pumpSoon(const std::string &Service);
  void pump(const std::string &Service);
  /// When a usable target is free in each data centre.
  std::map<std::string, SteadyTime>
  nextFree(const std::string &Service, ServiceState &Of,
           const state::StageCapacity &Capacity, SteadyTime Now);
  bool startCall(const std::string &Service, ServiceState &Of,
                 const state::StageCapacity &Capacity);
  transport::Awaitable<void> runCall(RunningCallPtr Running);
  std::string requestFor(const RunningCall &Call) const;
  /// Takes the answer of a call, or its failure, into account.
  void finishCall(RunningCall &Call, TargetExchange &Exchange);
  void logCall(const RunningCall &Call,
               const std::vector<protocol::PieceOutcome> &Outcomes,
               Milliseconds Took);
  /// Tells the owners of a call's pieces when their inputs can be freed.
  transport::Awaitable<void> reportInputsRead(RunningCallPtr Running,
                                              Milliseconds ReadTime);
  /// Reports what became of the pieces, or queues them again.
  void settle(RunningCall &Ended,
              const std::vector<protocol::PieceOutcome> &Outcomes);
  void retryOrReport(ServiceState &Of, coordination::QueuedPiece Piece,
                     protocol::PieceEnd End,
                     std::map<std::string, protocol::PieceReports> &Reports);
  transport::Awaitable<void> freeResults(std::string Service,
                                         state::TargetRecord Target);
  /// Pieces a second if all targets made full calls.
  double fullRate(const std::string &Service) const;
  void expirePieces(ServiceState &Of);

  EntryContext &Context_;
  PieceReportListener &Listener_;
  StageDispatcherSettings Settings_;
  std::map<std::string, ServiceState> Services_;
  /// Cancelled requests by owner and id, with the time to forget them.
  std::map<OwnedRequest, SteadyTime> Cancelled_;
};

} // namespace amaranth::serving

#endif
