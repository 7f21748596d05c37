/// \file
/// Brings service documents from the key-value service and peers to this host.
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
  /// Least time between two reads of the prefix by this host, so that a service
  /// that ends every watch is not flooded.
  Milliseconds RereadPeriod_{1000};
  /// Readers of a data centre, each with a lease of its own.
  std::size_t Readers_ = 2;
  /// Peers to which a change is pushed; the others get it by digest exchange.
  std::size_t PushFanOut_ = 8;
  /// Tasks that fetch from peers at a time.
  int MaxFetches_ = 2;
  /// Names in one request for documents.
  std::size_t NamesPerFetch_ = 64;
  /// Peers that a host asks when it starts during an outage.
  std::size_t CatchUpPeers_ = 3;
  /// During an outage, a starting host waits this long to hear from all live
  /// peers before it settles for those that it has heard from.
  Milliseconds CatchUpPatience_{3000};
  /// Time without the key-value service and without most peers after which a
  /// host is isolated.
  Milliseconds IsolationLimit_{5000};
  /// Renewed rarely, because every data centre has two of these leases. If both
  /// readers of one die, its hosts get changes from other data centres' peers.
  LeaseSettings Lease_{Seconds{30}, Milliseconds{10000}, Milliseconds{10000},
                       Milliseconds{5000}, Milliseconds{1000}};
};

/// Keeps DocumentStore up to date. In each data centre the two hosts ranked
/// first among its live members take the reader leases and watch the service
/// prefix; they push changes to some peers, and all hosts compare digests on
/// probes and fetch what is newer, so that the load on the key-value service
/// does not grow with the fleet. Decides whether this host may answer at all:
/// it must have caught up after its start and after isolation. Thread-safe.
class ConfigurationSync final : public GossipParticipant {
public:
  /// A monotonic clock, replaced in tests.
  using Clock = std::function<SteadyTime()>;

  /// Everything that it works with; all must outlive it.
  struct Environment {
    protocol::KeyValueStore &Store_;
    protocol::PeerNetwork &Network_;
    const MemberView &Members_;
    const ContactView &Contacts_;
    state::DocumentStore &Documents_;
    transport::WorkArena &Arena_;
  };

  ConfigurationSync(const ConfigurationSyncSettings &Settings,
                    const Environment &Surroundings,
                    Clock Now = SteadyClock::now);
  ~ConfigurationSync() override;

  /// Begins to work, as tasks of the arena.
  void start(transport::TimerService &Timers);

  /// Gives up the reader leases and waits for the tasks in progress.
  void stop();

  /// One round of periodic work; blocks up to a few time-outs.
  void runOnce();

  /// This host has caught up with the documents in force.
  bool ready() const;

  /// This host could reach neither the key-value service nor most of its peers
  /// for the limit, or has not caught up since. It must accept no requests.
  bool isolated() const;

  /// This host is a reader of its data centre.
  bool reader() const;

  /// Puts a document in force that this host has written, and pushes it.
  void publish(const state::StoredDocument &Document);

  // Answers to peers.
  std::vector<protocol::ServiceRevision> onRevisions() const;
  void onPushDocument(const state::StoredDocument &Document);

  void contribute(protocol::Gossip &Mine) override;
  void receive(const protocol::Gossip &FromPeer) override;

private:
  class PrefixListener;

  void tick();
  void keepReaderRole();
  std::size_t readerRank() const;
  void followStore();
  void closeWatch();
  bool readAll(std::uint64_t &StoreRevision, bool Push);
  bool mustCatchUp() const;
  void catchUp();
  bool catchUpFromPeers();
  std::vector<protocol::Member> catchUpPeers();
  void checkIsolation();
  bool isolatedNow() const;
  bool fetchFrom(const std::string &PeerAddress);
  void startFetch(const protocol::Member &Peer, const std::string &Digest);
  void push(const state::StoredDocument &Document);
  void takeFromStore(const protocol::KeyValue &Pair, bool Push);
  void onStoreEvents(const std::vector<protocol::WatchEvent> &Events);
  void onStoreWatchEnd();
  void startTask(std::function<void()> Task);
  void noteStoreContact();

  ConfigurationSyncSettings Settings_;
  Environment Env_;
  Clock Now_;
  std::unique_ptr<PrefixListener> PrefixListener_;
  std::vector<std::unique_ptr<Lease>> Leases_;

  std::mutex RoundMutex_; ///< One round at a time; guards Watch_ and NextRead_.
  std::unique_ptr<protocol::Watch> Watch_;
  SteadyTime NextRead_;
  SteadyTime NextContactCheck_;

  mutable std::mutex Mutex_; ///< Guards everything below.
  bool WatchEnded_ = false;
  bool Ready_ = false;
  bool Isolated_ = false;
  SteadyTime StartTime_;
  SteadyTime StoreContact_;
  /// Digest of each peer at its last probe; empty if it is not ready.
  std::map<std::string, std::string> PeerDigests_;
  /// Digests of peers in which a fetch found nothing new, while this host's own
  /// digest was FruitlessFor_.
  std::set<std::string> Fruitless_;
  std::string FruitlessFor_;
  int Fetches_ = 0;
  std::mt19937_64 Random_;
  std::condition_variable Idle_;
  int Tasks_ = 0;
  bool RoundQueued_ = false;
  bool Stopping_ = false;
  transport::TimerSubscription Timer_;
};

} // namespace amaranth::coordination

#endif
