/// \file
/// Stand-in for a plain service, whose calls run as one unit without stages.
#ifndef AMARANTH_STANDIN_SERVICESTANDIN_H
#define AMARANTH_STANDIN_SERVICESTANDIN_H

#include "Standin/LoadHistory.h"
#include "Standin/SlotQueue.h"
#include "Standin/Standin.h"
#include "Standin/StandinServer.h"
#include "Standin/TargetFaults.h"

namespace amaranth::standin {

/// Settings of ServiceStandin.
struct ServiceSettings {
  StandinServerSettings Server_;
  int Slots_ = 8; ///< Calls served at once.
  Microseconds ServiceTime_{5000};
  Milliseconds LoadLag_{0}; ///< Age of load reports.
};

/// One executed call.
struct Execution {
  std::string Name_;
  std::string BodyDigest_;
  std::string OrderId_; ///< Empty if the body has no order id.
  std::string RequestId_;
  Milliseconds ExecutedAt_{0}; ///< Since the Unix epoch.
};

/// Records every execution, so that tests can check that calls run at most
/// once. A call is executed even if its client has closed the connection, as
/// in a service without cancellation.
class ServiceStandin final : public Standin {
public:
  explicit ServiceStandin(const ServiceSettings &Settings);
  ~ServiceStandin() override;

  Result<void> start() override;
  std::vector<Announcement> announcements() const override;
  void stop() override;

private:
  void addSwitches();
  void addRoutes();
  transport::HttpReply handleCall(StandinCall &Call);
  bool execute(StandinCall &Call, Execution &Recorded);
  transport::HttpReply applyReplyFaults(StandinCall &Call,
                                        transport::HttpReply CallReply);
  transport::HttpReply applyStaleReply(const transport::HttpReply &CallReply);
  bool sleepFor(Microseconds Time);
  nlohmann::json executions();
  LoadSample currentLoad() const;

  ServiceSettings Settings_;
  StandinServer Server_;
  TargetFaults Faults_;
  std::atomic<std::int64_t> DelayMs_ = 0;
  std::atomic<std::int64_t> ReplyDelayMs_ = 0;
  CallCount DropReplies_ = 0;
  CallCount SilentAfterExecution_ = 0;
  CallCount StaleReplies_ = 0;
  std::atomic<std::int64_t> PendingCalls_ = 0;
  SlotQueue Slots_;
  LoadHistory LoadHistory_;
  std::mutex Mutex_;
  std::vector<Execution> Executions_;
  transport::HttpReply PreviousReply_;
};

} // namespace amaranth::standin

#endif
