/// \file
/// What the tasks of one entry host share.
#ifndef AMARANTH_SERVING_ENTRYCONTEXT_H
#define AMARANTH_SERVING_ENTRYCONTEXT_H

#include "Coordination/Engines/EngineChooser.h"
#include "Coordination/Stages/StageAdmission.h"
#include "Coordination/SuspectRegistry.h"
#include "Coordination/Targets/TargetHealth.h"
#include "Coordination/Targets/TargetRegistry.h"
#include "Coordination/Targets/WindowBudget.h"
#include "Protocol/EdgeProtocol.h"
#include "Protocol/RecordCodec.h"
#include "Serving/TargetConnections.h"
#include "State/HostSettings.h"
#include "State/RoutingTable.h"

namespace amaranth::serving {

/// State of an entry host that its tasks read and change on the loop's thread.
struct EntryContext {
  /// Targets that an input may crash before it is refused. Connections also
  /// break for other reasons, so two broken runs prove nothing.
  static constexpr std::size_t MaxCrashes = 3;

  EntryContext(transport::Loop &Executor, state::HostSettings HostSettings,
               const protocol::EdgeProtocol &EdgeProtocol,
               coordination::SuspectListener &SuspectNews,
               const coordination::QueueView &Queues)
      : Loop_(Executor), Settings_(std::move(HostSettings)),
        Edge_(EdgeProtocol), Connections_(Executor),
        Budget_({Settings_.RetryRatio_, Settings_.RetryExtra_,
                 Settings_.RetryWindow_}),
        Suspects_(suspectSettings(), &SuspectNews), StageAdmission_(Queues) {}

  transport::Loop &Loop_;
  state::HostSettings Settings_;
  const protocol::EdgeProtocol &Edge_;
  /// Null until the first configuration is known.
  state::RoutingTablePtr Table_;
  coordination::TargetRegistry Targets_;
  coordination::TargetHealth Health_;
  coordination::EngineChooser Engines_;
  TargetConnections Connections_;
  coordination::WindowBudget Budget_;
  coordination::SuspectRegistry Suspects_;
  coordination::StageAdmission StageAdmission_;
  bool Draining_ = false;
  SteadyTime DrainStarted_{};
  std::size_t RequestsInProgress_ = 0;

private:
  static coordination::SuspectRegistrySettings suspectSettings() {
    coordination::SuspectRegistrySettings Out;
    Out.CrashLimit_ = MaxCrashes;
    return Out;
  }
};

} // namespace amaranth::serving

#endif
