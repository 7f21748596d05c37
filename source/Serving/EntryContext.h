/// \file
/// State shared by the tasks of one entry host.
#ifndef AMARANTH_SERVING_ENTRYCONTEXT_H
#define AMARANTH_SERVING_ENTRYCONTEXT_H

#include "Coordination/DrainSchedule.h"
#include "Coordination/Engines/EngineChooser.h"
#include "Coordination/Engines/SuspectPartRegistry.h"
#include "Coordination/Stages/OutstandingWork.h"
#include "Coordination/Stages/StageAdmission.h"
#include "Coordination/SuspectRegistry.h"
#include "Coordination/Targets/TargetHealth.h"
#include "Coordination/Targets/TargetNotices.h"
#include "Coordination/Targets/TargetRegistry.h"
#include "Coordination/Targets/WindowBudget.h"
#include "Protocol/EdgeProtocol.h"
#include "Protocol/RecordCodec.h"
#include "Serving/StreamOrigins.h"
#include "Serving/TargetConnections.h"
#include "Serving/TargetExchange.h"
#include "State/HostSettings.h"
#include "State/RoutingTable.h"
#include "Transport/ByteBudget.h"

#include <set>
#include <string>
#include <vector>

namespace amaranth::serving {

struct RequestScope;
class SendPermits;

/// State of an entry host. Its tasks use it on the loop's thread only.
struct EntryContext {
  /// An input that has crashed this many targets is refused. Two could refuse
  /// innocent inputs, because connections also break for other reasons.
  static constexpr std::size_t MaxCrashes = 3;
  /// The bytes of all messages may fill this part of the process's memory. A
  /// request and its answer are copied when they are passed on.
  static constexpr std::size_t MessageMemoryDivisor = 8;

  EntryContext(transport::Loop &Executor, state::HostSettings HostSettings,
               const protocol::EdgeProtocol &EdgeProtocol,
               coordination::SuspectListener &SuspectChanges,
               coordination::SuspectPartPeers &PartPeers,
               coordination::QueueView &Queues, SendPermits &Permits,
               StreamOrigins &Origins)
      : Loop_(Executor), Settings_(std::move(HostSettings)),
        Edge_(EdgeProtocol), Targets_(targetSettings(Settings_)),
        MessageBytes_(Settings_.MemoryMegabytes_ * 1024 * 1024 /
                      MessageMemoryDivisor),
        Connections_(Executor),
        RetryBudget_({Settings_.RetryRatio_, Settings_.RetryExtra_,
                      Settings_.RetryWindow_}),
        Suspects_(suspectSettings(), &SuspectChanges), SuspectParts_(PartPeers),
        StageAdmission_(Queues), Permits_(Permits), Origins_(Origins),
        Drain_({Settings_.ShutdownGrace_}) {}

  /// Targets of \p Service that may get a request now. All code that sends to
  /// targets uses these functions; Targets_ serves to look up addresses.
  std::vector<const state::TargetRecord *>
  eligibleTargets(const std::string &Service) const;
  /// A target that may get a request now, or null.
  const state::TargetRecord *findEligible(const std::string &Id) const;
  /// Whether \p Service has targets but none that may get a request, because
  /// their data centres are evacuated.
  bool isEvacuated(const std::string &Service) const;
  /// Settings of an exchange that checks again, before it writes, that
  /// \p Target may get a request and has not registered again.
  TargetExchangeSettings
  exchangeSettings(const state::TargetRecord &Target) const;

  transport::Loop &Loop_;
  state::HostSettings Settings_;
  const protocol::EdgeProtocol &Edge_;
  /// Null until the first configuration is known.
  state::RoutingTablePtr Table_;
  coordination::TargetRegistry Targets_;
  coordination::TargetHealth Health_;
  coordination::TargetNotices Notices_;
  coordination::EngineChooser Engines_;
  coordination::EngineMemory EngineMemory_;
  transport::ByteBudget MessageBytes_;
  TargetConnections Connections_;
  coordination::WindowBudget RetryBudget_;
  coordination::SuspectRegistry Suspects_;
  coordination::SuspectPartRegistry SuspectParts_;
  coordination::StageAdmission StageAdmission_;
  coordination::OutstandingWork OutstandingWork_;
  SendPermits &Permits_;
  StreamOrigins &Origins_;
  coordination::DrainSchedule Drain_;
  std::set<RequestScope *> RequestsInProgress_;

private:
  static coordination::TargetRegistrySettings
  targetSettings(const state::HostSettings &Host) {
    coordination::TargetRegistrySettings RegistrySettings;
    // A record expires at the earliest two heartbeat intervals after the store
    // stopped answering, which is noticed with a delay.
    RegistrySettings.ShortInterruption_ =
        2 * Host.HeartbeatPeriod_ - Host.shortWatchTime() - Host.watchSlack();
    // The store removes a record after three intervals without a heartbeat.
    RegistrySettings.ReappearanceDelay_ = 4 * Host.HeartbeatPeriod_;
    return RegistrySettings;
  }
  static coordination::SuspectRegistrySettings suspectSettings() {
    coordination::SuspectRegistrySettings RegistrySettings;
    RegistrySettings.CrashLimit_ = MaxCrashes;
    return RegistrySettings;
  }
};

} // namespace amaranth::serving

#endif
