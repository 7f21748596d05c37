/// \file
/// At-most-once execution of non-idempotent requests.
#ifndef AMARANTH_COORDINATION_ONCERUNNER_H
#define AMARANTH_COORDINATION_ONCERUNNER_H

#include "Coordination/CallDispatcher.h"
#include "Coordination/ClaimTable.h"
#include "Coordination/ClosedJournals.h"
#include "Coordination/IdempotencyKey.h"
#include "Coordination/Journal.h"
#include "Coordination/MemberView.h"
#include "Coordination/RequestRegistry.h"
#include "Coordination/Session.h"
#include "Coordination/TicketAuthority.h"
#include "Protocol/KeyValueStore.h"
#include "Protocol/PeerNetwork.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

namespace amaranth::coordination {

/// Settings of OnceRunner.
struct OnceRunnerSettings {
  std::string FleetSecret_;
  Milliseconds TicketLifetime_{600000};
  /// Subtracted from each timeout, so that the answer is sent before the caller
  /// gives up; limited to a tenth of the timeout.
  Milliseconds AnswerReserve_{20};
  /// A request with less time left than this after its append is not
  /// dispatched.
  Milliseconds DispatchReserve_{10};
  /// Timeout of the look-up that tests whether a host listed as dead is
  /// reachable, and of the read of a session's address.
  Milliseconds ReachabilityTimeout_{300};
  JournalSettings Journal_;
  RequestRegistrySettings Registry_;
  ClaimTableSettings Claims_;
  ClosedJournalsSettings ClosedJournals_;
  /// Decides at the home whether a request with a new key may run. A NotRun
  /// outcome refuses it; for a ticketed key that is final. Empty to admit all.
  std::function<std::optional<protocol::RequestOutcome>(
      const protocol::ForwardedRequest &)>
      Admission_;
  std::function<Milliseconds()> TicketClock_; ///< Replaces the clock in tests.
  /// Called after the append and before the dispatch; pauses a home in tests.
  std::function<void()> BeforeDispatch_;
  /// Dispatches before the append, so that a request can run twice. Shows that
  /// the tests detect this fault.
  bool TestDispatchBeforeAppend_ = false;
};

/// Dependencies of OnceRunner; all outlive it.
struct OnceRunnerDependencies {
  protocol::KeyValueStore &Store_;
  protocol::PeerNetwork &Peers_;
  const MemberView &Members_;
  CallDispatcher &Dispatcher_;
  Session &Session_;
};

/// Runs each non-idempotent request at most once. The ticket in its key names
/// its home: the daemon incarnation that alone may run it, and only after its
/// journal has recorded the intent. This class runs requests whose home is this
/// host, forwards others, and answers from the journal for a home that is dead.
/// The home of a plain key is the host that claimed it. All calls block and
/// answer within the timeout of the request. Thread-safe.
class OnceRunner final {
public:
  OnceRunner(OnceRunnerSettings Settings, OnceRunnerDependencies Parts);
  ~OnceRunner();
  OnceRunner(const OnceRunner &) = delete;
  OnceRunner &operator=(const OnceRunner &) = delete;

  /// Answers a caller's request.
  protocol::RequestOutcome submit(const protocol::ForwardedRequest &Request);

  /// Answers a request that a peer forwarded; never forwards it again.
  protocol::RequestOutcome onForward(const protocol::ForwardedRequest &Request);

  /// The current outcome of a caller's key. Does not make a live home refuse
  /// the key: one that it has not seen is `unknown`, as it may still arrive.
  protocol::RequestOutcome lookUp(const std::string &Service,
                                  const std::string &Account,
                                  const std::string &Key, Milliseconds Timeout);

  /// Answers lookUp() of a peer. \p ScopedKey is toText() of the key with its
  /// identity, since the key alone does not name the account and service.
  protocol::RequestOutcome onLookUp(const std::string &ScopedKey);

  /// Issues a ticket of this host: journaled, or volatile if \p AllowVolatile
  /// is set and the key-value service does not answer. Fails with Unavailable
  /// while the host drains or has no session, and with ResourceExhausted if the
  /// registry is almost full.
  Result<std::string> issueTicket(bool AllowVolatile);

  /// Stops issuing tickets. Requests still run.
  void drain();

  /// Refuses new requests, waits for those in progress, writes the outcomes and
  /// ends the session. Returns false if this did not finish within \p Timeout;
  /// other hosts then answer `unknown` for requests without a recorded outcome.
  bool stop(Milliseconds Timeout);

  const TicketAuthority &tickets() const { return Tickets_; }

private:
  class InFlightCounter;
  struct Operation;
  struct HomeView;

  protocol::RequestOutcome run(const protocol::ForwardedRequest &Request,
                               bool Forwarded);
  protocol::RequestOutcome runTicketed(const Operation &Op);
  protocol::RequestOutcome runAtHome(const Operation &Op);
  protocol::RequestOutcome runAtLiveHome(const Operation &Op);
  protocol::RequestOutcome dispatchVolatile(const Operation &Op);
  protocol::RequestOutcome dispatchJournaled(const Operation &Op);
  protocol::RequestOutcome dispatch(const Operation &Op);
  protocol::RequestOutcome resolveAtOtherHome(const Operation &Op);
  protocol::RequestOutcome runPlain(const Operation &Op);
  protocol::RequestOutcome runClaimed(const Operation &Op);
  protocol::RequestOutcome answerFromClaimant(const Operation &Op,
                                              const Claim &ExistingClaim);
  protocol::RequestOutcome withdrawPlain(const Operation &Op,
                                         protocol::RequestOutcome Outcome);
  protocol::RequestOutcome resolveLookUp(const Operation &Op);
  protocol::RequestOutcome lookUpPlain(const Operation &Op);
  std::optional<protocol::RequestOutcome> callHome(const Operation &Op,
                                                   const HomeView &Home);
  protocol::RequestOutcome answerWithoutHome(const Operation &Op,
                                             const HomeView &Home);
  std::optional<protocol::RequestOutcome>
  answerFromJournal(const Operation &Op, const std::string &Host,
                    std::uint64_t Incarnation, bool MayEndSession);
  HomeView describeHome(const std::string &Host,
                        std::uint64_t Incarnation) const;
  void findAddress(const Operation &Op, HomeView &Home);
  bool isReachable(const Operation &Op, const HomeView &Home);
  Claim ownClaim(const Operation &Op) const;
  SteadyTime answerDeadline(Milliseconds Timeout) const;
  bool isStoreUnavailable() const;

  OnceRunnerSettings Settings_;
  OnceRunnerDependencies Parts_;
  TicketAuthority Tickets_;
  RequestRegistry Registry_;
  Journal Journal_;
  ClaimTable Claims_;
  ClosedJournals ClosedJournalCache_;
  std::atomic<bool> Draining_{false};
  std::atomic<bool> Stopping_{false};
  std::mutex Mutex_;
  std::condition_variable Idle_;
  std::size_t InFlightCount_ = 0;
};

} // namespace amaranth::coordination

#endif
