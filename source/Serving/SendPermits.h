/// \file
/// Keeps the requests for targets within the limits that these state.
#ifndef AMARANTH_SERVING_SENDPERMITS_H
#define AMARANTH_SERVING_SENDPERMITS_H

#include "Coordination/Targets/SendSchedule.h"
#include "Protocol/FleetMessages.h"
#include "Serving/EntryContext.h"
#include "Serving/PaceExchange.h"
#include "Serving/PeerMesh.h"
#include "Serving/StageClient.h"
#include "Transport/Loop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace amaranth::serving {

/// Settings of SendPermits.
struct SendPermitsSettings {
  /// The host that keeps a schedule answers within a few milliseconds.
  Milliseconds ReplyTimeout_{150};
  /// A target whose schedule could not be asked is not chosen for this long.
  Milliseconds UnansweredPause_{250};
  /// Limited targets that a request tries at once, before it takes one without
  /// a limit.
  int MaxImmediateTries_ = 3;
  /// Places are reserved at most this long ahead: if the host that keeps the
  /// schedule is lost, its successor gives the same places again.
  Milliseconds MaxReservation_{1000};
  /// Shortest pause between two attempts to reserve a place.
  Milliseconds MinRetryDelay_{50};
  /// A request that waits until targets want requests again checks this often
  /// whether its caller has left or another target has become usable.
  Milliseconds WantedCheckPeriod_{250};
};

/// Chooses a target for a request.
class TargetChooser {
public:
  virtual ~TargetChooser() = default;
  /// Returns one of \p Candidates, or null if the request can use none.
  virtual const state::TargetRecord *
  chooseFrom(const std::vector<const state::TargetRecord *> &Candidates) = 0;
  /// Whether the request may take a place at a limited target although others
  /// have no limit. Limits count requests: one that is more work than most
  /// relieves the other targets more.
  virtual bool mayTakeLimitedPlace() const = 0;
  virtual bool hasCallerLeft() = 0;
  /// Work of the request, in average requests.
  virtual double cost() const { return 1; }
};

/// Gives requests permission to be sent. A target that has no limit and is not
/// paced takes any request. The schedule of another one is kept by one host,
/// elected like the dispatcher of a service; the others ask it before each
/// request. The smaller of limit and pace applies.
class SendPermits final {
public:
  SendPermits(EntryContext &Context, PeerMesh &Peers, DispatcherRouter &Router,
              std::string Host, SendPermitsSettings Settings = {});

  /// Returns a target of \p Service to which a request may be sent now. Waits
  /// until \p WaitUntil for a place if all targets that \p Chooser can use are
  /// at their limits; returns nothing if there is none.
  transport::Awaitable<std::optional<state::TargetRecord>>
  choose(std::string Service, TargetChooser &Chooser, SteadyTime WaitUntil);
  /// Time until a target of \p Service may accept a request.
  Milliseconds timeToNextPlace(const std::string &Service) const;
  PaceExchange &pace() { return Pace_; }

  /// Records what a target stated in an answer and tells the other hosts.
  void onAnswer(const state::TargetRecord &Target,
                const coordination::TargetStatement &Statement);
  /// Tells the pacing until when a target is cold. Call when a statement about
  /// it has arrived.
  void updateColdness(const std::string &Target);
  void onRequest(const std::string &Host,
                 const protocol::PermitRequest &Request);
  void onReply(const protocol::PermitReply &Reply);
  /// Call often.
  void forgetUnused(SteadyTime Now);

private:
  using Targets = std::vector<const state::TargetRecord *>;
  /// A permit that another host was asked for.
  struct PendingPermit {
    explicit PendingPermit(transport::Loop &Executor) : Replied_(Executor) {}
    transport::Wakeup Replied_;
    std::optional<protocol::PermitReply> Reply_;
  };

  /// The same when all targets that \p Chooser can use are at their limits.
  transport::Awaitable<std::optional<state::TargetRecord>>
  waitForPlace(std::string Service, TargetChooser &Chooser,
               SteadyTime WaitUntil);
  /// Waits for a place at a target. Returns the target, or nothing if there is
  /// no place before \p Until or the target has left.
  transport::Awaitable<std::optional<state::TargetRecord>>
  acquire(std::string Target, SteadyTime Until, double Cost);
  /// Asks the host that keeps the target's schedule. The reply has NotElected_
  /// set if there is no answer.
  transport::Awaitable<protocol::PermitReply>
  requestPlace(protocol::PermitRequest Request);
  protocol::PermitReply reserve(const protocol::PermitRequest &Request);
  transport::Awaitable<std::optional<protocol::PermitReply>>
  ask(std::string Host, protocol::PermitRequest Request);
  /// Targets of \p Service that are not known to be at their limits.
  Targets openTargets(const std::string &Service, bool WithLimits,
                      bool WithPaced) const;
  /// Time from which a target may accept a request.
  SteadyTime opensAt(const std::string &Id) const;
  /// Earliest end of the time for which a target that \p Chooser can use wants
  /// no requests from this host; nothing if there is no such target.
  std::optional<SteadyTime> firstWantedAgain(const std::string &Service,
                                             TargetChooser &Chooser) const;
  /// The target that \p Chooser can use and that accepts a request first.
  const state::TargetRecord *firstToOpen(const std::string &Service,
                                         TargetChooser &Chooser) const;

  EntryContext &Context_;
  PeerMesh &Peers_;
  DispatcherRouter &Router_;
  SendPermitsSettings Settings_;
  coordination::SendSchedule Schedule_; ///< Of the targets of this host.
  PaceExchange Pace_;
  std::uint64_t LastRequestId_ = 0;
  std::map<std::uint64_t, std::shared_ptr<PendingPermit>> Pending_;
};

} // namespace amaranth::serving

#endif
