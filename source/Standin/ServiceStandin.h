/// \file
/// Stand-in for a plain service.
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
  int Slots_ = 8;
  Microseconds ServiceTime_{5000};
  Milliseconds LoadLag_{0};
};

/// One effect that took place.
struct Execution {
  std::string Name_;
  std::string BodyDigest_;
  std::string OrderId_; ///< Empty if the body has none.
  std::string RequestId_;
  Milliseconds Time_{0}; ///< Since the Unix epoch.
};

/// Records every execution, as the judge of at-most-once. A call executes even
/// if its client has left meanwhile, as a service without cancellation does.
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
  transport::HttpReply call(StandinCall &Call);
  bool execute(StandinCall &Call, Execution &Effect);
  transport::HttpReply afterEffect(StandinCall &Call,
                                   transport::HttpReply Answer);
  transport::HttpReply exchangeForLast(const transport::HttpReply &Answer);
  bool wait(Microseconds Time);
  nlohmann::json executions();
  LoadSample sample() const;

  ServiceSettings Settings_;
  StandinServer Server_;
  TargetFaults Faults_;
  std::atomic<std::int64_t> DelayMs_ = 0;
  std::atomic<std::int64_t> LateMs_ = 0;
  CallCount DropReplies_ = 0;
  CallCount SilentAfter_ = 0;
  CallCount StaleReplies_ = 0;
  std::atomic<std::int64_t> Work_ = 0;
  SlotQueue Slots_;
  LoadHistory Load_;
  std::mutex Mutex_;
  std::vector<Execution> Executions_;
  transport::HttpReply LastAnswer_;
};

} // namespace amaranth::standin

#endif
