/// \file
/// An entry host on the platform: creates its components and connects them.
#ifndef AMARANTH_SERVING_ENTRYHOST_H
#define AMARANTH_SERVING_ENTRYHOST_H

#include "Coordination/CallerPlacement.h"
#include "Coordination/HostElection.h"
#include "Coordination/ProcessorMeter.h"
#include "Coordination/Stages/UndeliveredReports.h"
#include "Serving/CallerServer.h"
#include "Serving/EntryContext.h"
#include "Serving/HostRegistration.h"
#include "Serving/OperatorRecords.h"
#include "Serving/PeerMesh.h"
#include "Serving/RestoreExchange.h"
#include "Serving/SendPermits.h"
#include "Serving/StageClient.h"
#include "Serving/StageDispatcher.h"
#include "Serving/StoreReplica.h"
#include "Serving/StoredStreamOrigins.h"
#include "Serving/SuspectExchange.h"
#include "Serving/TargetRecords.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace amaranth::serving {

/// Serves callers until drain() is called.
class EntryHost final : public PeerListener,
                        public StoreReplicaListener,
                        public HostStatus,
                        public DispatcherRouter,
                        public PieceReportListener,
                        public coordination::QueueView,
                        public VersionWriterElection {
public:
  EntryHost(transport::Loop &Executor, const state::HostSettings &Settings,
            const protocol::EdgeProtocol &Edge,
            const protocol::RecordCodec &Codec, protocol::PlatformStore &Store);

  /// False if the host's addresses cannot be used.
  bool start();
  /// Tells peers that this host stops, accepts callers for a while longer,
  /// finishes the requests in progress and stops the loop.
  void drain();

  // HostStatus
  bool ready() const override;
  std::string metricsText() override;
  std::vector<std::string>
  callerAddresses(const protocol::DirectoryQuery &Query) override;
  // PeerListener
  protocol::HostState ownState() override;
  void onPeerState(const protocol::HostState &State) override;
  void onPeerMessage(const std::string &Host,
                     const protocol::FleetMessage &Message) override;
  void onPeerLost(const std::string &Host) override;
  // StoreReplicaListener
  void
  onRecordsChanged(const std::string &Prefix,
                   const std::vector<protocol::StoreItem> &Changes) override;
  void onRecordsComplete(const std::string &Prefix) override;
  void onRecordsRestored(const std::string &Prefix) override;
  void onStoreConnected(const std::string &Prefix, bool Connected) override;
  // DispatcherRouter
  std::string findDispatcher(const std::string &Service) const override;
  bool sendTo(const std::string &Host,
              const protocol::FleetMessage &Message) override;
  // PieceReportListener
  void onPieceReports(const std::string &OrderingHost,
                      protocol::PieceReports Reports) override;
  // QueueView
  protocol::QueueState queueState(const std::string &Service) override;
  // VersionWriterElection
  bool writesVersionsOf(const std::string &Service) const override;
  bool watchesStore() const override { return Replica_.readsStore(); }

private:
  /// The operators' records have changed.
  void onConfigurationChanged();
  void applyHost(const protocol::StoreItem &Item);
  /// Whether the configuration and the targets are known, so that requests can
  /// be routed.
  bool hasRoutingData() const { return Context_.Table_ && TargetsLoaded_; }
  /// Starts accepting callers when requests can be routed, or after
  /// MaxStartDelay.
  void acceptCallersWhenReady();
  /// Passes the states of the serving hosts to Placement_.
  void updatePlacement(SteadyTime Now);
  /// Sends this host's state to all peers at once.
  void announceState();
  void updateStoreState();
  void handleMessage(const std::string &Host,
                     const protocol::FleetMessage &Message);
  /// Rate at which the targets of a stage service complete pieces.
  double piecesPerSecond(const std::string &Service) const;
  /// Adds up what the requests of all hosts still need, by service.
  std::map<std::string, protocol::QueueState> addUpFleetWork(SteadyTime Now);
  transport::Awaitable<void> maintain();
  transport::Awaitable<void> finishDrain();

  std::uint64_t Incarnation_; ///< Differs after each start of this host.
  SuspectExchange SuspectExchange_;
  SendPermits Permits_;
  StoredStreamOrigins Origins_;
  EntryContext Context_;
  const protocol::RecordCodec &Codec_;
  OperatorRecords OperatorRecords_;
  TargetRecords TargetRecords_;
  StageClient Stages_;
  coordination::UndeliveredReports UndeliveredReports_;
  std::map<std::string, protocol::QueueState> FleetWork_;
  SteadyTime FleetWorkAt_{};           ///< When FleetWork_ was added up.
  mutable StageDispatcher Dispatcher_; ///< Reading its queue states drops old
                                       ///< entries.
  PeerMesh Peers_;
  CallerServer Callers_;
  coordination::ProcessorMeter Processor_;
  coordination::CallerPlacement Placement_;
  SteadyTime PlacementAt_{}; ///< When Placement_ was updated.
  HostRegistration Registration_;
  RestoreExchange RestoreExchange_;
  SteadyTime StartedAt_{};
  SuspectPartRecords SuspectRecords_;
  StoreReplica Replica_;
  state::Metrics Metrics_;
  bool TargetsLoaded_ = false;
};

} // namespace amaranth::serving

#endif
