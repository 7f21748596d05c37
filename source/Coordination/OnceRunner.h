/// \file
/// Entry point for non-idempotent requests.
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
  /// Taken from each timeout, so that the answer leaves before it; at most a
  /// tenth of the timeout.
  Milliseconds AnswerReserve_{20};
  /// A request with less time than this left after its append is not sent.
  Milliseconds DispatchReserve_{10};
  /// Longest look-up that decides if a host listed as dead can be reached.
  Milliseconds ReachabilityTimeout_{300};
  JournalSettings Journal_;
  RequestRegistrySettings Registry_;
  ClaimTableSettings Claims_;
  ClosedJournalsSettings ClosedJournals_;
  /// Decides at the home, for a new key, if the request may run; a NotRun
  /// outcome refuses it for good. Empty to admit everything.
  std::function<std::optional<protocol::RequestOutcome>(
      const protocol::ForwardedRequest &)>
      Admission_;
  std::function<Milliseconds()> TicketClock_; ///< Replaces the clock in tests.
  /// Called after the append and before the dispatch; pauses a home in tests.
  std::function<void()> BeforeDispatch_;
  /// Breaks the promise, to show that tests detect it.
  bool TestDispatchBeforeAppend_ = false;
};

/// What OnceRunner uses; all outlive it.
struct OnceRunnerParts {
  protocol::KeyValueStore &Store_;
  protocol::PeerNetwork &Peers_;
  const MemberView &Members_;
  CallDispatcher &Dispatcher_;
  Session &Session_;
};

/// Runs each non-idempotent request at most once. The ticket in its key names
/// its home; only the home runs it, after its journal recorded the intent. This
/// class runs requests whose home is this host, forwards others, and answers
/// for homes that are dead from their journals. Plain keys have the host that
/// claimed them as home. All calls block and answer within the timeout of the
/// request. Thread-safe.
class OnceRunner final {
public:
  OnceRunner(OnceRunnerSettings Settings, OnceRunnerParts Parts);
  ~OnceRunner();
  OnceRunner(const OnceRunner &) = delete;
  OnceRunner &operator=(const OnceRunner &) = delete;

  /// Answers a caller's request.
  protocol::RequestOutcome submit(const protocol::ForwardedRequest &Request);

  /// Answers a request that a peer forwarded; never forwards it again.
  protocol::RequestOutcome onForward(const protocol::ForwardedRequest &Request);

  /// The outcome so far of a caller's key. Has no effect on a live home: a key
  /// that it has not seen is `unknown`, because it may still arrive.
  protocol::RequestOutcome lookUp(const std::string &Service,
                                  const std::string &Account,
                                  const std::string &Key, Milliseconds Timeout);

  /// Answers lookUp() of a peer; \p ScopedKey is toText() of the key with its
  /// identity, since the key alone does not tell whose it is.
  protocol::RequestOutcome onLookUp(const std::string &ScopedKey);

  /// A ticket of this host: journaled, or volatile if \p AllowVolatile and the
  /// key-value service does not answer. Unavailable while the host drains or
  /// has no session; ResourceExhausted if it remembers too many keys.
  Result<std::string> issueTicket(bool AllowVolatile);

  /// Issues no more tickets. Requests are still run.
  void drain();

  /// Refuses new requests, waits for those in progress, writes the outcomes
  /// and ends the session. False if that did not finish within \p Timeout;
  /// survivors then answer `unknown` for what is missing.
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
  protocol::RequestOutcome decideAtHome(const Operation &Op);
  protocol::RequestOutcome dispatchVolatile(const Operation &Op);
  protocol::RequestOutcome dispatchJournaled(const Operation &Op);
  protocol::RequestOutcome dispatch(const Operation &Op);
  protocol::RequestOutcome resolveAtOtherHome(const Operation &Op);
  protocol::RequestOutcome runPlain(const Operation &Op);
  protocol::RequestOutcome runClaimed(const Operation &Op);
  protocol::RequestOutcome answerFromClaimant(const Operation &Op,
                                              const Claim &Found);
  protocol::RequestOutcome withdrawPlain(const Operation &Op,
                                         protocol::RequestOutcome Outcome);
  protocol::RequestOutcome resolveLookUp(const Operation &Op);
  protocol::RequestOutcome lookUpPlain(const Operation &Op);
  std::optional<protocol::RequestOutcome> askHome(const Operation &Op,
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
  OnceRunnerParts Parts_;
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
