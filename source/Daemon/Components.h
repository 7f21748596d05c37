/// \file
/// The components of a daemon, in the order of their dependencies.
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

/// Listeners and clients: what exists before this host has an identity.
struct TransportComponents {
  explicit TransportComponents(const state::DaemonSettings &Settings);

  state::Metrics Metrics_;
  transport::TimerService Timers_;
  transport::WorkArena Arena_;    ///< Peer calls and background work.
  transport::HttpClient Targets_; ///< Calls to targets.
  KeyValueCallCounter KeyValueCalls_;
  protocol::EtcdClient Store_;
  transport::RpcLoop Loop_;
  protocol::PeerClient Peers_;
  PeerEndpoint Endpoint_;
  protocol::PeerServer PeerServer_;
  transport::HttpServer Http_;
};

/// Targets and the policy that uses them.
struct PolicyComponents {
  PolicyComponents(const state::DaemonSettings &Settings,
                   TransportComponents &Transport,
                   state::DocumentStore &Documents);

  coordination::TargetTable Table_;
  std::unique_ptr<coordination::Router> Router_;
  coordination::RetryBudget Budget_;
  coordination::StageStatistics Statistics_;
  coordination::SuspectSpread Spread_;
  coordination::SuspectRegistry Suspects_;
  protocol::EngineClient Engines_;
  protocol::PoolClient Pools_;
  protocol::PlainServiceClient Plain_;
  coordination::PipelineRunner Pipelines_;
  coordination::PlainCallRunner Calls_;
  std::unique_ptr<coordination::AdmissionPolicy> Admission_;
  /// Exchanges account usage; none with the baseline policy.
  std::unique_ptr<coordination::AccountGossip> Accounts_;
  coordination::LoadPoller LoadPoller_;
  coordination::HostListPoller HostList_;
};

/// What ties this host to the fleet; exists once its addresses are known.
struct FleetComponents {
  FleetComponents(const state::DaemonSettings &Settings,
                  const protocol::Member &Self, TransportComponents &Transport,
                  PolicyComponents &Policy, state::DocumentStore &Documents);

  coordination::Membership Membership_;
  IncarnationFollower Incarnations_;
  coordination::Session Session_;
  coordination::ConfigurationSync Configuration_;
  coordination::OnceRunner Once_;
  coordination::Lease JanitorDuty_;
  coordination::Janitor Janitor_;
};

} // namespace amaranth::daemon

#endif
