/// \file
/// One entry host on the platform: its parts and how they are joined.
#ifndef AMARANTH_SERVING_ENTRYHOST_H
#define AMARANTH_SERVING_ENTRYHOST_H

#include "Serving/CallerServer.h"
#include "Serving/EntryContext.h"
#include "Serving/HostRegistration.h"
#include "Serving/PeerMesh.h"
#include "Serving/StageClient.h"
#include "Serving/StageDispatcher.h"
#include "Serving/StoreFollower.h"

#include <map>
#include <string>

namespace amaranth::serving {

/// Serves callers until it is told to drain.
class EntryHost final : public PeerListener,
                        public StoreListener,
                        public HostStatus,
                        public DispatcherGate,
                        public PieceReportListener {
public:
  EntryHost(transport::Loop &Executor, const state::HostSettings &Settings,
            const protocol::EdgeProtocol &Edge,
            const protocol::RecordCodec &Codec, protocol::PlatformStore &Store);

  /// False if the host's addresses cannot be used.
  bool start();
  /// Stops taking requests, finishes those in progress and ends the loop.
  void drain();

  // HostStatus
  bool ready() const override;
  std::vector<std::string> callerAddresses() const override;
  // PeerListener
  protocol::HostState ownState() override;
  void onPeerState(const protocol::HostState &State) override;
  void onPeerMessage(const std::string &Host,
                     const protocol::FleetMessage &Message) override;
  void onPeerLost(const std::string &Host) override;
  // StoreListener
  void onStoreRange(const std::string &Prefix,
                    const std::vector<protocol::StoreItem> &Items,
                    std::uint64_t Revision) override;
  void onStoreChanges(const std::string &Prefix,
                      const std::vector<protocol::StoreItem> &Items) override;
  void onStoreConnected(const std::string &Prefix, bool Connected) override;
  // DispatcherGate
  std::string dispatcherOf(const std::string &Service) override;
  bool sendTo(const std::string &Host,
              const protocol::FleetMessage &Message) override;
  // PieceReportListener
  void onPieceReports(const std::string &Owner,
                      protocol::PieceReports Reports) override;

private:
  void takeConfiguration(const protocol::StoreItem &Item);
  void takeTarget(const protocol::StoreItem &Item);
  coordination::TargetChange readTarget(const protocol::StoreItem &Item);
  void takeHost(const protocol::StoreItem &Item);
  void helpPeer(const protocol::HostState &State);
  void onMessage(const std::string &Host,
                 const protocol::FleetMessage &Message);
  transport::Awaitable<void> maintain();
  transport::Awaitable<void> finishDrain();

  EntryContext Context_;
  const protocol::RecordCodec &Codec_;
  StageClient Stages_;
  StageDispatcher Dispatcher_;
  PeerMesh Peers_;
  CallerServer Callers_;
  StoreFollower ConfigurationFollower_;
  StoreFollower TargetFollower_;
  StoreFollower HostFollower_;
  HostRegistration Registration_;
  std::uint64_t Incarnation_;
  bool StoreConnected_ = false;
  bool TargetsKnown_ = false;
  /// The newest configuration as the store has it, for peers.
  protocol::StoreItem Configuration_;
  /// Records of targets as the store has them, for peers.
  std::map<std::string, protocol::StoreItem> TargetItems_;
  std::map<std::string, SteadyTime> HelpedAt_;
};

} // namespace amaranth::serving

#endif
