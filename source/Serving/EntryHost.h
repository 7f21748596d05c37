/// \file
/// One entry host on the platform: its parts and how they are joined.
#ifndef AMARANTH_SERVING_ENTRYHOST_H
#define AMARANTH_SERVING_ENTRYHOST_H

#include "Coordination/Store/StoreMirror.h"
#include "Serving/CallerServer.h"
#include "Serving/EntryContext.h"
#include "Serving/HostRegistration.h"
#include "Serving/PeerMesh.h"
#include "Serving/StageClient.h"
#include "Serving/StageDispatcher.h"
#include "Serving/StoreFollower.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranth::serving {

/// Serves callers until it is told to drain.
class EntryHost final : public PeerListener,
                        public StoreListener,
                        public HostStatus,
                        public DispatcherGate,
                        public PieceReportListener,
                        public coordination::SuspectListener,
                        public coordination::QueueView {
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
  std::string dispatcherOf(const std::string &Service) const override;
  bool sendTo(const std::string &Host,
              const protocol::FleetMessage &Message) override;
  // PieceReportListener
  void onPieceReports(const std::string &Owner,
                      protocol::PieceReports Reports) override;
  // SuspectListener
  void onSuspectChanged(const protocol::SuspectInput &Suspect) override;
  // QueueView
  protocol::QueueState queueOf(const std::string &Service) const override;

private:
  /// One prefix of the store, followed directly or through other hosts.
  struct Followed {
    std::string Prefix_;
    coordination::StoreMirror Mirror_;
    std::unique_ptr<StoreFollower> Follower_;
  };

  void follow(protocol::PlatformStore &Store, const std::string &Prefix);
  Followed *findFollowed(const std::string &Prefix);
  void takeNews(const std::string &Prefix,
                const std::vector<protocol::StoreItem> &News);
  void takeConfiguration(const protocol::StoreItem &Item);
  void takeTarget(const protocol::StoreItem &Item);
  void takeHost(const protocol::StoreItem &Item);
  void takeRecords(const protocol::StoreRecords &Records);
  /// Passes news on to the hosts that do not watch.
  void relay(const std::string &Prefix,
             const std::vector<protocol::StoreItem> &News);
  void helpPeer(const protocol::HostState &State);
  /// Whether requests can be checked and sent to targets.
  bool informed() const { return Context_.Table_ && TargetsKnown_; }
  /// Accepts callers once there is no reason to wait.
  void acceptWhenInformed();
  void electWatchers();
  /// Whether the store answers this host, or would probably do so.
  bool storeConnected() const;
  void noteStore();
  void onMessage(const std::string &Host,
                 const protocol::FleetMessage &Message);
  transport::Awaitable<void> maintain();
  transport::Awaitable<void> finishDrain();

  EntryContext Context_;
  const protocol::RecordCodec &Codec_;
  StageClient Stages_;
  mutable StageDispatcher Dispatcher_; ///< Its counts age when they are read.
  PeerMesh Peers_;
  CallerServer Callers_;
  HostRegistration Registration_;
  std::uint64_t Incarnation_;
  SteadyTime Started_{};
  std::vector<Followed> Followed_;
  bool Watching_ = true;
  bool TargetsKnown_ = false;
  /// When this host last found that the store does not answer it.
  std::optional<SteadyTime> StoreFailed_;
  /// Hosts whose records differ from this host's, and since when.
  std::map<std::string, SteadyTime> DiffersSince_;
};

} // namespace amaranth::serving

#endif
