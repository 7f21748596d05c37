/// \file
/// The membership protocol: which hosts are alive.
#ifndef AMARANTH_COORDINATION_MEMBERSHIP_H
#define AMARANTH_COORDINATION_MEMBERSHIP_H

#include "Coordination/ContactView.h"
#include "Coordination/GossipParticipant.h"
#include "Coordination/MemberView.h"
#include "Protocol/PeerNetwork.h"
#include "Transport/TimerService.h"
#include "Transport/WorkArena.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <set>

namespace amaranth::coordination {

/// Settings of Membership.
struct MembershipSettings {
  Milliseconds ProbePeriod_{200};
  Milliseconds ProbeTimeout_{150};
  /// For an indirect probe, which makes two hops.
  Milliseconds IndirectTimeout_{250};
  std::size_t IndirectProbes_ = 2;
  /// Time in which a suspect can refute, in a fleet of up to ten hosts. It
  /// grows with the number of digits of the fleet size, like the time in which
  /// a rumour reaches every host.
  Milliseconds SuspicionTime_{1000};
  /// Updates in one probe or reply.
  std::size_t MaxUpdates_ = 8;
  /// Random members included in each probe if there is room, so that hosts that
  /// missed an update learn it later.
  std::size_t RandomUpdates_ = 3;
  /// A dead member is remembered for this long: longer than a ticket's lifetime
  /// plus retention (20 min), after which nobody asks about its requests.
  Milliseconds DeadRetention_{30 * 60 * 1000};
  /// Probes of one random dead member or silent seed are this many periods
  /// apart; they end a partition.
  std::uint64_t ReconnectPeriods_ = 5;
  /// In fleets up to this size only direct contact counts for the isolation
  /// rule; in larger ones not every peer can be probed within seconds.
  std::size_t DirectContactLimit_ = 20;
  /// Bound on remembered hosts.
  std::size_t MaxMembers_ = 20000;
  std::uint64_t Seed_ = 0; ///< Of the random choices; 0 for a random seed.
};

/// Keeps the membership view. In each period it probes one peer; the peers take
/// turns in random order, so that each failure is noticed within one round. If
/// the peer does not answer, others probe it; if they fail too it is suspect,
/// and dead when it has not refuted in time. A dead member that was only frozen
/// or cut off refutes when it is heard again. Thread-safe.
class Membership final : public MemberView, public ContactView {
public:
  /// Told about changes, without locks held. Two changes of one host may be
  /// reported by two threads at once; find() gives the current state.
  class Listener {
  public:
    virtual ~Listener() = default;
    /// \p Now is new, or differs in status or incarnation.
    virtual void onMember(const protocol::Member &Now) = 0;
  };

  /// A monotonic clock, replaced in tests.
  using Clock = std::function<SteadyTime()>;

  /// \p Self has the host's name, addresses and incarnation.
  Membership(const MembershipSettings &Settings, const protocol::Member &Self,
             protocol::PeerNetwork &Network, Clock Now = SteadyClock::now);
  ~Membership() override;

  /// Adds a listener or participant, which must outlive this object. Call
  /// before start().
  void addListener(Listener &Added);
  void addParticipant(GossipParticipant &Added);

  /// Adds RPC addresses whose hosts are not known yet.
  void addSeeds(const std::vector<std::string> &PeerAddresses);

  /// Adds hosts known from another source, such as the host sessions.
  void learn(const std::vector<protocol::Member> &Known);

  /// Begins to probe, as tasks of \p Arena.
  void start(transport::TimerService &Timers, transport::WorkArena &Arena);

  /// Ends probing and waits for the probes in progress.
  void stop();

  /// One probe period; blocks for at most the probe time-outs.
  void runPeriod();

  /// Answers a peer's probe.
  protocol::Gossip onProbe(const protocol::Gossip &FromPeer);

  /// Probes a member for a peer. An address that is no member's is refused, so
  /// that peers cannot make this host connect anywhere.
  bool onProbeIndirect(const std::string &PeerAddress);

  /// Announces that this host is draining.
  void leave();

  /// Takes a higher incarnation for this host, after its session was deleted
  /// and opened again. Peers then know that the former one has ended.
  void renew(std::uint64_t Incarnation);

  /// A newer process runs under this host's name.
  bool superseded() const;

  bool contactedMajorityWithin(Milliseconds Window) const override;

  protocol::Member self() const override;
  std::vector<protocol::Member> members() const override;
  std::optional<protocol::Member> find(const std::string &Host) const override;

private:
  struct Record {
    protocol::Member Member_;
    SteadyTime Changed_;
    std::optional<SteadyTime> LastContact_;
    std::optional<SteadyTime> SuspectSince_;
    bool Left_ = false; ///< Was draining before it was dead.
  };
  /// Whom to probe; the host is empty for a seed.
  struct ProbeTarget {
    std::string Host_;
    std::string PeerAddress_;
  };
  using Changes = std::vector<protocol::Member>;

  // These are called with Mutex_ held.
  void merge(const protocol::Member &Update, Changes &Out);
  void mergeSelf(const protocol::Member &Update);
  void put(Record &Into, const protocol::Member &Update, Changes &Out);
  void suspect(Record &Suspected, Changes &Out);
  void expireSuspicions(SteadyTime Time, Changes &Out);
  void forgivePause(SteadyTime Time);
  void forgetDead(SteadyTime Time);
  void announce(const std::string &Host);
  std::vector<ProbeTarget> chooseTargets();
  std::optional<ProbeTarget> nextMember();
  std::optional<ProbeTarget> reconnectTarget();
  std::vector<std::string> helpersFor(const std::string &Host);
  void addUpdates(protocol::Gossip &Mine, const std::string &ForHost);
  void addAnnouncements(protocol::Gossip &Mine);
  void addRandomMembers(protocol::Gossip &Mine);
  std::size_t liveCount() const;
  Milliseconds suspicionTime() const;

  void probePeers();
  void probe(const ProbeTarget &Target);
  bool probeIndirectly(const ProbeTarget &Target);
  protocol::Gossip compose(const std::string &ForHost);
  void take(const protocol::Gossip &FromPeer);
  void notify(const Changes &Changed);
  void startPeriod(transport::WorkArena &Arena);

  MembershipSettings Settings_;
  protocol::PeerNetwork &Network_;
  Clock Now_;
  std::vector<Listener *> Listeners_;
  std::vector<GossipParticipant *> Participants_;

  mutable std::mutex Mutex_; ///< Guards everything below.
  protocol::Member Self_;
  bool Superseded_ = false;
  std::map<std::string, Record> Records_;
  std::set<std::string> Seeds_;
  std::vector<std::string> ProbeOrder_; ///< Hosts of this round; last is next.
  /// How often the record of a host is still to be sent.
  std::map<std::string, int> Announcements_;
  std::uint64_t Period_ = 0;
  SteadyTime LastPeriod_;
  std::mt19937_64 Random_;
  std::condition_variable Idle_;
  int Running_ = 0;
  bool Stopping_ = false;
  transport::TimerSubscription Timer_;
};

} // namespace amaranth::coordination

#endif
