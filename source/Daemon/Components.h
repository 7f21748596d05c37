/// \file
/// The components of a daemon, grouped and ordered by their dependencies.
#ifndef AMARANTH_DAEMON_COMPONENTS_H
#define AMARANTH_DAEMON_COMPONENTS_H

#include "Coordination/AccountGossip.h"
#include "Coordination/Admission.h"
#include "Coordination/ConfigurationSync.h"
#include "Coordination/HostListPoller.h"
#include "Coordination/Janitor.h"
#include "Coordination/Lease.h"
#include "Coordination/LoadPoller.h"
#include "Coordination/Membership.h"
#include "Coordination/OnceRunner.h"
#include "Coordination/PipelineRunner.h"
#include "Coordination/PlainCallRunner.h"
#include "Coordination/RequestGate.h"
#include "Coordination/RetryBudget.h"
#include "Coordination/Router.h"
#include "Coordination/Session.h"
#include "Coordination/StageStatistics.h"
#include "Coordination/SuspectRegistry.h"
#include "Coordination/SuspectSpread.h"
#include "Coordination/TargetTable.h"
#include "Daemon/AdminHandlers.h"
#include "Daemon/CallerHandlers.h"
#include "Daemon/DocumentFollower.h"
#include "Daemon/IncarnationFollower.h"
#include "Daemon/KeyValueCallCounter.h"
#include "Daemon/LoadGossip.h"
#include "Daemon/PeerEndpoint.h"
#include "Daemon/RequestRecorder.h"
#include "Protocol/EngineClient.h"
#include "Protocol/EtcdClient.h"
#include "Protocol/PeerClient.h"
#include "Protocol/PeerServer.h"
#include "Protocol/PlainServiceClient.h"
#include "Protocol/PoolClient.h"
#include "State/BurnReport.h"
#include "State/DaemonSettings.h"
#include "State/DocumentStore.h"
#include "State/Metrics.h"
#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"
#include "Transport/RpcLoop.h"
#include "Transport/TimerService.h"
#include "Transport/WorkArena.h"

#include <memory>

namespace amaranth::daemon {

/// Listeners and clients. They are created first, because the host's addresses
/// are known only after the listeners were bound.
struct TransportComponents {
  explicit TransportComponents(const state::DaemonSettings &Settings);

  state::Metrics Metrics_;
  transport::TimerService Timers_;
  transport::WorkArena WorkArena_;     ///< Runs peer calls and background work.
  transport::HttpClient TargetClient_; ///< Calls to targets.
  KeyValueCallCounter KeyValueCalls_;
  protocol::EtcdClient KeyValueStore_;
  transport::RpcLoop RpcLoop_;
  protocol::PeerClient PeerClient_;
  PeerEndpoint PeerEndpoint_;
  protocol::PeerServer PeerServer_;
  transport::HttpServer HttpServer_;
};

/// The target table, and the components that admit requests, route them and
/// call targets.
struct PolicyComponents {
  PolicyComponents(const state::DaemonSettings &Settings,
                   TransportComponents &Transport,
                   state::DocumentStore &Documents);

  coordination::TargetTable TargetTable_;
  std::unique_ptr<coordination::Router> Router_;
  coordination::RetryBudget RetryBudget_;
  coordination::StageStatistics StageStatistics_;
  coordination::SuspectSpread SuspectSpread_;
  coordination::SuspectRegistry SuspectRegistry_;
  protocol::EngineClient EngineClient_;
  protocol::PoolClient PoolClient_;
  protocol::PlainServiceClient PlainServiceClient_;
  coordination::PipelineRunner PipelineRunner_;
  coordination::PlainCallRunner PlainCallRunner_;
  std::unique_ptr<coordination::AdmissionPolicy> AdmissionPolicy_;
  /// Exchanges account usage with peers; null with the baseline policy.
  std::unique_ptr<coordination::AccountGossip> AccountGossip_;
  coordination::LoadPoller LoadPoller_;
  coordination::HostListPoller HostListPoller_;
};

/// Components by which this host takes part in the fleet. Created once its
/// addresses are known.
struct FleetComponents {
  FleetComponents(const state::DaemonSettings &Settings,
                  const protocol::Member &Self, TransportComponents &Transport,
                  PolicyComponents &Policy, state::DocumentStore &Documents);

  coordination::Membership Membership_;
  IncarnationFollower IncarnationFollower_;
  coordination::Session Session_;
  coordination::ConfigurationSync ConfigurationSync_;
  coordination::OnceRunner OnceRunner_;
  coordination::Lease JanitorLease_;
  coordination::Janitor Janitor_;
};

} // namespace amaranth::daemon

#endif
