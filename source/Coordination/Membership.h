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
  /// For an indirect probe, which takes two hops.
  Milliseconds IndirectTimeout_{250};
  /// Members that are asked to probe a member that did not answer.
  std::size_t IndirectProbes_ = 2;
  /// Time in which a suspect member can refute the suspicion, in a fleet of up
  /// to ten hosts. In larger fleets it is multiplied by the decimal logarithm
  /// of the fleet size, rounded up, because the time in which an update reaches
  /// every host grows likewise.
  Milliseconds SuspicionTime_{1000};
  /// Maximum number of updates in one probe or reply.
  std::size_t MaxUpdates_ = 8;
  /// Random live members added to each probe and reply up to MaxUpdates_, so
  /// that hosts that missed an update receive it later.
  std::size_t RandomUpdates_ = 3;
  /// A dead member is remembered for this long: longer than the lifetime plus
  /// the retention of a ticket (the handle by which a caller finds its request
  /// again), 20 min together, after which nobody looks up its requests.
  Milliseconds DeadRetention_{30 * 60 * 1000};
  /// Every this many periods a random dead member, or a seed without a known
  /// host, is probed, so that a healed partition is noticed.
  std::uint64_t ReconnectPeriods_ = 5;
  /// With up to this many peers only direct contact counts for the isolation
  /// check. In larger fleets not every peer can be probed within seconds.
  std::size_t DirectContactLimit_ = 20;
  /// Bound on remembered hosts.
  std::size_t MaxMembers_ = 20000;
  /// Seed of the random choices; 0 for a random one.
  std::uint64_t Seed_ = 0;
};

/// Maintains the membership view by a SWIM-style gossip protocol. Each period
/// probes one peer. The peers are probed in rounds of random order, so that
/// each failure is noticed within one round. If the peer does not answer, other
/// members probe it for this host. If they get no answer either, the peer
/// becomes suspect, and dead if it does not refute the suspicion in time. A
/// dead member that was only frozen or cut off by a partition refutes once
/// contact is restored. An incarnation is one run of a host's daemon; the
/// highest one is the current run. Thread-safe.
class Membership final : public MemberView, public ContactView {
public:
  /// Receives changes of the view; called without locks held. Two threads may
  /// report two changes of one host concurrently; find() returns the current
  /// state.
  class Listener {
  public:
    virtual ~Listener() = default;
    /// \p Changed is a new member, or its status or incarnation changed.
    virtual void onMemberChanged(const protocol::Member &Changed) = 0;
  };

  /// A monotonic clock, replaced in tests.
  using Clock = std::function<SteadyTime()>;

  /// \p Self has the host's name, addresses and incarnation.
  Membership(const MembershipSettings &Settings, const protocol::Member &Self,
             protocol::PeerNetwork &Network, Clock Now = SteadyClock::now);
  ~Membership() override;

  /// Adds a listener or participant, which must outlive this object. Call
  /// before start().
  void addListener(Listener &Observer);
  void addParticipant(GossipParticipant &Participant);

  /// Adds peer RPC addresses to probe whose hosts are not known yet.
  void addSeeds(const std::vector<std::string> &PeerAddresses);

  /// Adds hosts known from another source, such as the host sessions.
  void addKnownMembers(const std::vector<protocol::Member> &KnownMembers);

  /// Starts periodic probing, as tasks of \p Arena.
  void start(transport::TimerService &Timers, transport::WorkArena &Arena);

  /// Stops probing and waits for the probes in progress.
  void stop();

  /// Runs one probe period; blocks for at most the probe time-outs.
  void runPeriod();

  /// Answers a peer's probe.
  protocol::Gossip onProbe(const protocol::Gossip &FromPeer);

  /// Probes a member on behalf of a peer; true if it answered. Addresses that
  /// belong to no member are refused, so that peers cannot make this host
  /// connect to arbitrary addresses.
  bool onProbeIndirect(const std::string &PeerAddress);

  /// Announces that this host is draining.
  void announceDraining();

  /// Adopts a higher incarnation for this host, after its session was deleted
  /// and opened again. Peers then know that the former incarnation has ended.
  void adoptIncarnation(std::uint64_t Incarnation);

  /// True once a newer process is known to run under this host's name.
  bool isSuperseded() const;

  bool contactedMajorityWithin(Milliseconds Window) const override;

  protocol::Member self() const override;
  std::vector<protocol::Member> members() const override;
  std::optional<protocol::Member> find(const std::string &Host) const override;

private:
  struct Record {
    protocol::Member Member_;
    SteadyTime ChangedAt_;
    std::optional<SteadyTime> LastContact_;
    std::optional<SteadyTime> SuspectSince_;
    bool LeftByDraining_ = false; ///< Was draining before it became dead.
  };
  /// A peer to probe; the host is empty for a seed.
  struct ProbeTarget {
    std::string Host_;
    std::string PeerAddress_;
  };
  using Changes = std::vector<protocol::Member>;

  // Called with Mutex_ held. The changes of which listeners must be notified
  // are appended to Changed.
  void merge(const protocol::Member &Update, Changes &Changed);
  void mergeSelf(const protocol::Member &Update);
  void updateRecord(Record &Entry, const protocol::Member &Update,
                    Changes &Changed);
  void startSuspicion(Record &Entry, Changes &Changed);
  void expireSuspicions(SteadyTime Time, Changes &Changed);
  void excludePause(SteadyTime Time);
  void forgetDead(SteadyTime Time);
  void queueAnnouncement(const std::string &Host);
  std::vector<ProbeTarget> chooseTargets();
  std::optional<ProbeTarget> nextProbeTarget();
  std::optional<ProbeTarget> chooseReconnectTarget();
  std::vector<std::string> chooseIndirectProbers(const std::string &Host);
  void addUpdates(protocol::Gossip &Outgoing, const std::string &Receiver);
  void addAnnouncements(protocol::Gossip &Outgoing);
  void addRandomMembers(protocol::Gossip &Outgoing);
  std::size_t liveCount() const;
  Milliseconds suspicionTime() const;

  void probePeers();
  void probe(const ProbeTarget &Target);
  bool probeIndirectly(const ProbeTarget &Target);
  protocol::Gossip composeGossip(const std::string &Receiver);
  void processGossip(const protocol::Gossip &FromPeer);
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
  /// Hosts still to be probed in this round; the last one is next.
  std::vector<std::string> ProbeOrder_;
  /// For each host with a recent change, how often its record is still to be
  /// sent.
  std::map<std::string, int> Announcements_;
  std::uint64_t PeriodCount_ = 0;
  SteadyTime LastPeriod_;
  std::mt19937_64 Random_;
  std::condition_variable PeriodEnded_;
  int RunningPeriods_ = 0;
  bool Stopping_ = false;
  transport::TimerSubscription Timer_;
};

} // namespace amaranth::coordination

#endif
