/// \file
/// Synchronises service documents with the key-value service and peers.
#ifndef AMARANTH_COORDINATION_CONFIGURATIONSYNC_H
#define AMARANTH_COORDINATION_CONFIGURATIONSYNC_H

#include "Coordination/ContactView.h"
#include "Coordination/DocumentChange.h"
#include "Coordination/GossipParticipant.h"
#include "Coordination/Lease.h"
#include "Coordination/MemberView.h"
#include "Protocol/PeerNetwork.h"
#include "State/DocumentStore.h"
#include "Transport/TimerService.h"
#include "Transport/WorkArena.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <random>
#include <set>

namespace amaranth::coordination {

/// Settings of ConfigurationSync.
struct ConfigurationSyncSettings {
  Milliseconds TickPeriod_{250};
  Milliseconds StoreTimeout_{1000};
  Milliseconds PeerTimeout_{1000};
  /// Minimum time between two reads of the service prefix by this host, so that
  /// a key-value service that ends every watch is not flooded with reads.
  Milliseconds RereadPeriod_{1000};
  /// Hosts of a data centre that watch the key-value service. Each holds a
  /// reader lease of its own.
  std::size_t ReadersPerDataCentre_ = 2;
  /// Peers to which a change is pushed. The others notice it when digests are
  /// compared.
  std::size_t PushFanOut_ = 8;
  /// Maximum number of concurrent fetches from peers.
  int MaxFetches_ = 2;
  /// Maximum number of names in one request for documents.
  std::size_t NamesPerFetch_ = 64;
  /// Peers from which a host fetches documents when it starts while the
  /// key-value service is down.
  std::size_t CatchUpPeers_ = 3;
  /// During such an outage, a starting host waits this long for gossip of all
  /// live peers. Then it fetches even if fewer than CatchUpPeers_ are ready.
  Milliseconds CatchUpWait_{3000};
  /// A host is isolated when it has had no contact with the key-value service
  /// and with most peers for this long.
  Milliseconds IsolationLimit_{5000};
  /// Reader leases are renewed rarely, because every data centre has two of
  /// them. If both readers of a data centre die, its hosts get changes from
  /// peers in other data centres until the leases expire.
  LeaseSettings Lease_{Seconds{30}, Milliseconds{10000}, Milliseconds{10000},
                       Milliseconds{5000}, Milliseconds{1000}};
};

/// Keeps DocumentStore up to date. In each data centre the two live hosts with
/// the lowest ranks take the reader leases and watch the service prefix. They
/// push changes to some peers. All hosts compare digests on membership probes
/// and fetch newer documents, so that the load on the key-value service does
/// not grow with the fleet. Also decides whether this host may accept requests:
/// it must have caught up with the documents in force after its start and after
/// isolation. Thread-safe.
class ConfigurationSync final : public GossipParticipant {
public:
  /// A monotonic clock, replaced in tests.
  using Clock = std::function<SteadyTime()>;

  /// References to other components, which must outlive this object.
  struct Environment {
    protocol::KeyValueStore &Store_;
    protocol::PeerNetwork &Network_;
    const MemberView &Members_;
    const ContactView &Contacts_;
    state::DocumentStore &Documents_;
    transport::WorkArena &Arena_;
  };

  ConfigurationSync(const ConfigurationSyncSettings &Settings,
                    const Environment &Dependencies,
                    Clock Now = SteadyClock::now);
  ~ConfigurationSync() override;

  /// Starts the periodic work, which runs as tasks of the arena.
  void start(transport::TimerService &Timers);

  /// Stops the periodic work: waits for the tasks in progress, then closes the
  /// watch and releases the reader leases.
  void stop();

  /// Runs one round of periodic work. Blocks for at most a few time-outs.
  void runOnce();

  /// True once this host has caught up with the documents in force.
  bool ready() const;

  /// True if this host has reached neither the key-value service nor most of
  /// its peers for IsolationLimit_, or has not caught up since then. An
  /// isolated host must accept no requests.
  bool isolated() const;

  /// True while this host holds a reader lease of its data centre.
  bool holdsReaderLease() const;

  /// Accepts a document that this host has written or read, and pushes it to
  /// peers if it is newer than the one in force.
  void publish(const state::StoredDocument &Document);

  // Handlers of calls from peers.
  std::vector<protocol::ServiceRevision> onRevisions() const;
  void onPushDocument(const state::StoredDocument &Document);

  void contribute(protocol::Gossip &Outgoing) override;
  void receive(const protocol::Gossip &FromPeer) override;

private:
  class PrefixListener;

  void tick();
  void maintainReaderLeases();
  std::size_t readerRank() const;
  void maintainWatch();
  void closeWatch();
  bool readDocuments(std::uint64_t &StoreRevision, bool Push);
  bool mustCatchUp() const;
  void catchUp();
  bool catchUpFromPeers();
  std::vector<protocol::Member> chooseCatchUpPeers();
  void checkIsolation();
  bool lacksContact() const;
  bool fetchNewerFrom(const std::string &PeerAddress);
  void startFetch(const protocol::Member &Peer, const std::string &Digest);
  void pushToPeers(const state::StoredDocument &Document);
  void acceptFromStore(const protocol::KeyValue &Pair, bool Push);
  void onStoreEvents(const std::vector<protocol::WatchEvent> &Events);
  void onStoreWatchEnd();
  void startTask(std::function<void()> Task);
  void recordStoreContact();

  ConfigurationSyncSettings Settings_;
  Environment Env_;
  Clock Now_;
  std::unique_ptr<PrefixListener> PrefixListener_;
  std::vector<std::unique_ptr<Lease>> Leases_;

  /// Held during a round, so that rounds do not overlap; guards the members up
  /// to Mutex_.
  std::mutex RoundMutex_;
  std::unique_ptr<protocol::Watch> Watch_;
  SteadyTime NextRead_;
  SteadyTime NextContactCheck_;

  mutable std::mutex Mutex_; ///< Guards everything below.
  bool WatchEnded_ = false;
  bool Ready_ = false;
  bool Isolated_ = false;
  SteadyTime StartTime_;
  SteadyTime LastStoreContact_;
  /// Configuration digest in the last gossip of each peer; empty if the peer is
  /// not ready.
  std::map<std::string, std::string> PeerDigests_;
  /// Peers' digests for which a fetch brought no newer document while this
  /// host's own digest was FetchedForDigest_. They are not fetched again.
  std::set<std::string> FetchedDigests_;
  std::string FetchedForDigest_;
  int RunningFetches_ = 0;
  std::mt19937_64 Random_;
  std::condition_variable TaskEnded_;
  int RunningTasks_ = 0;
  bool RoundQueued_ = false;
  bool Stopping_ = false;
  transport::TimerSubscription Timer_;
};

} // namespace amaranth::coordination

#endif
