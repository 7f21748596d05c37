#include "Coordination/OnceRunner.h"

#include "Coordination/OutcomeText.h"
#include "Support/Log.h"

#include <algorithm>
#include <utility>

namespace amaranth::coordination {

using protocol::ForwardedRequest;
using protocol::Member;
using protocol::MemberStatus;
using protocol::OutcomeKind;
using protocol::RequestOutcome;

namespace {

/// Retry-after time of answers that may change once a home, a claim or the
/// key-value service can be reached again.
constexpr Milliseconds RetryWhenUnavailable{1000};
/// Timeout of a look-up that was received from a peer.
constexpr Milliseconds PeerLookUpTimeout{1000};

/// The outcome for the caller of a request: `unknown` while it still runs.
RequestOutcome toCallerOutcome(RequestOutcome Outcome) {
  if (Outcome.Kind_ == OutcomeKind::Running)
    Outcome.Kind_ = OutcomeKind::Unknown;
  return Outcome;
}

RequestOutcome refuseKey(const Error &Failure) {
  // Every daemon refuses a malformed key, so it cannot run. A ticket with an
  // invalid MAC may be valid for a daemon with another fleet secret.
  RequestOutcome Outcome = Failure.Code_ == ErrorCode::InvalidArgument
                               ? makeNotRun(Failure.Message_)
                               : makeUnknown(Failure.Message_, Milliseconds{0});
  Outcome.Status_ = StatusBadKey;
  return Outcome;
}

TicketAuthoritySettings ticketSettings(const OnceRunnerSettings &Settings,
                                       const Session &Session) {
  TicketAuthoritySettings Tickets;
  Tickets.Host_ = Session.self().Host_;
  Tickets.FleetSecret_ = Settings.FleetSecret_;
  Tickets.Lifetime_ = Settings.TicketLifetime_;
  Tickets.Clock_ = Settings.TicketClock_;
  return Tickets;
}

} // namespace

/// Counts the requests in progress, for stop().
class OnceRunner::InFlightCounter final {
public:
  explicit InFlightCounter(OnceRunner &Runner) : Runner_(Runner) {
    std::lock_guard Lock(Runner_.Mutex_);
    ++Runner_.InFlightCount_;
  }
  ~InFlightCounter() {
    std::lock_guard Lock(Runner_.Mutex_);
    --Runner_.InFlightCount_;
    if (Runner_.InFlightCount_ == 0)
      Runner_.Idle_.notify_all();
  }
  InFlightCounter(const InFlightCounter &) = delete;
  InFlightCounter &operator=(const InFlightCounter &) = delete;

private:
  OnceRunner &Runner_;
};

/// State of one request or look-up that is being answered.
struct OnceRunner::Operation {
  const ForwardedRequest *Request_ = nullptr; ///< Null for a look-up.
  IdempotencyKey Key_;
  RegistryKey Registry_;
  SteadyTime Deadline_;
  bool Forwarded_ = false;

  const Ticket &ticket() const { return *Key_.ticket(); }
  Intent intent() const {
    return {Registry_.Identity_, Registry_.ContentDigest_, Registry_.Expiry_};
  }
};

/// Addresses of a home and its state according to membership.
struct OnceRunner::HomeView {
  std::string Host_;
  std::uint64_t Incarnation_ = 0;
  std::string PeerAddress_;
  std::string CallerAddress_;
  /// Membership lists this incarnation or a newer one.
  bool IncarnationListed_ = false;
  bool ListedDead_ = false;
  /// Listed as dead, or replaced by a newer incarnation; only then may its
  /// session be ended.
  bool DeadOrReplaced_ = false;
  /// The home may have ended its session itself.
  bool MayHaveEndedSession_ = false;
};

OnceRunner::OnceRunner(OnceRunnerSettings Settings,
                       OnceRunnerDependencies Parts)
    : Settings_(std::move(Settings)), Parts_(Parts),
      Tickets_(ticketSettings(Settings_, Parts.Session_)),
      Registry_(Settings_.Registry_, [this] { return Tickets_.now(); }),
      Journal_(Settings_.Journal_, Parts.Store_, Parts.Session_,
               Parts.Members_),
      Claims_(Settings_.Claims_, Parts.Store_, Parts.Members_),
      ClosedJournalCache_(Settings_.ClosedJournals_, Parts.Store_) {}

OnceRunner::~OnceRunner() {
  std::unique_lock Lock(Mutex_);
  Idle_.wait(Lock, [this] { return InFlightCount_ == 0; });
}

RequestOutcome OnceRunner::submit(const ForwardedRequest &Request) {
  return run(Request, false);
}

RequestOutcome OnceRunner::onForward(const ForwardedRequest &Request) {
  return run(Request, true);
}

RequestOutcome OnceRunner::run(const ForwardedRequest &Request,
                               bool Forwarded) {
  InFlightCounter Counter(*this);
  SteadyTime Deadline = answerDeadline(Request.Timeout_);
  auto Key = capture(
      [&] { return IdempotencyKey::parse(Request.IdempotencyKey_, Tickets_); });
  if (!Key)
    return refuseKey(Key.error());
  Operation Op{&Request, std::move(*Key), {}, Deadline, Forwarded};
  Op.Registry_.Identity_ = requestIdentity(Request.Service_, Request.Account_,
                                           Request.IdempotencyKey_);
  Op.Registry_.ContentDigest_ = contentDigest(Request);
  if (Op.Key_.ticket())
    return toCallerOutcome(runTicketed(Op));
  return toCallerOutcome(runPlain(Op));
}

RequestOutcome OnceRunner::lookUp(const std::string &Service,
                                  const std::string &Account,
                                  const std::string &Key,
                                  Milliseconds Timeout) {
  InFlightCounter Counter(*this);
  SteadyTime Deadline = answerDeadline(Timeout);
  auto Parsed = capture([&] { return IdempotencyKey::parse(Key, Tickets_); });
  if (!Parsed)
    return refuseKey(Parsed.error());
  Operation Op{nullptr, std::move(*Parsed), {}, Deadline, false};
  Op.Registry_.Identity_ = requestIdentity(Service, Account, Key);
  return resolveLookUp(Op);
}

RequestOutcome OnceRunner::onLookUp(const std::string &ScopedKey) {
  InFlightCounter Counter(*this);
  SteadyTime Deadline = answerDeadline(PeerLookUpTimeout);
  auto Scoped = capture([&] { return parseScopedKey(ScopedKey); });
  if (!Scoped)
    return refuseKey(Scoped.error());
  auto Parsed =
      capture([&] { return IdempotencyKey::parse(Scoped->Key_, Tickets_); });
  if (!Parsed)
    return refuseKey(Parsed.error());
  Operation Op{nullptr, std::move(*Parsed), {}, Deadline, true};
  Op.Registry_.Identity_ = Scoped->Identity_;
  return resolveLookUp(Op);
}

Result<std::string> OnceRunner::issueTicket(bool AllowVolatile) {
  if (Draining_ || Stopping_)
    return fail(ErrorCode::Unavailable, "this host is draining");
  if (Registry_.isAlmostFull())
    return fail(ErrorCode::ResourceExhausted,
                "this host remembers as many keys as it can");
  if (AllowVolatile && isStoreUnavailable())
    return Tickets_.issue(Parts_.Session_.incarnation(), TicketClass::Volatile);
  auto CurrentSession = Parts_.Session_.current();
  if (!CurrentSession)
    return fail(ErrorCode::Unavailable, "this host has no session");
  return Tickets_.issue(CurrentSession->Incarnation_, TicketClass::Journaled);
}

void OnceRunner::drain() { Draining_ = true; }

bool OnceRunner::stop(Milliseconds Timeout) {
  SteadyTime Deadline = SteadyClock::now() + Timeout;
  Draining_ = true;
  Stopping_ = true;
  bool RequestsEnded = false;
  {
    std::unique_lock Lock(Mutex_);
    RequestsEnded = Idle_.wait_until(Lock, Deadline,
                                     [this] { return InFlightCount_ == 0; });
  }
  bool JournalFlushed = Journal_.flush(remaining(Deadline));
  auto SessionClosed =
      capture([&] { return Parts_.Session_.close(remaining(Deadline)); });
  return RequestsEnded && JournalFlushed && SessionClosed;
}

/// Runs a ticketed key here or passes it to its home. Only the home, or
/// answerWithoutHome() in its place, ever refuses a ticketed key.
RequestOutcome OnceRunner::runTicketed(const Operation &Original) {
  Operation Op = Original;
  Op.Registry_.Expiry_ = Op.ticket().Expiry_;
  if (Tickets_.isIssuedHere(Op.ticket()))
    return runAtHome(Op);
  return resolveAtOtherHome(Op);
}

RequestOutcome OnceRunner::runAtHome(const Operation &Op) {
  const Ticket &HomeTicket = Op.ticket();
  bool SessionEnded = HomeTicket.Class_ == TicketClass::Journaled &&
                      HomeTicket.Incarnation_ < Parts_.Session_.incarnation();
  if (!SessionEnded)
    return runAtLiveHome(Op);
  // The session of the ticket was deleted. The registry of this process is
  // more complete than the journal.
  if (auto KnownOutcome = Registry_.find(Op.Registry_, Op.Deadline_))
    return *KnownOutcome;
  auto Recorded =
      answerFromJournal(Op, HomeTicket.Host_, HomeTicket.Incarnation_, true);
  return Recorded.value_or(makeUnknown(
      "the journal of the home could not be read", RetryWhenUnavailable));
}

RequestOutcome OnceRunner::runAtLiveHome(const Operation &Op) {
  if (auto KnownOutcome = Registry_.begin(Op.Registry_, Op.Deadline_))
    return *KnownOutcome;
  RequestOutcome Outcome;
  if (Stopping_)
    Outcome = makeNotRun("the home is stopping");
  else if (Op.ticket().Class_ == TicketClass::Volatile)
    Outcome = dispatchVolatile(Op);
  else
    Outcome = dispatchJournaled(Op);
  Outcome.HomeAddress_ = Parts_.Session_.self().CallerAddress_;
  Registry_.finish(Op.Registry_.Identity_, Outcome);
  return Outcome;
}

RequestOutcome OnceRunner::dispatchVolatile(const Operation &Op) {
  if (Settings_.Admission_)
    if (auto Refusal = Settings_.Admission_(*Op.Request_))
      return *Refusal;
  return dispatch(Op);
}

RequestOutcome OnceRunner::dispatchJournaled(const Operation &Op) {
  if (Settings_.Admission_)
    if (auto Refusal = Settings_.Admission_(*Op.Request_))
      return *Refusal;
  std::uint64_t Incarnation = Op.ticket().Incarnation_;
  if (Settings_.TestDispatchBeforeAppend_)
    dispatch(Op);
  AppendStatus Status = Journal_.append(
      Op.intent(), Incarnation, Op.Deadline_ - Settings_.DispatchReserve_);
  RequestOutcome Outcome;
  switch (Status) {
  case AppendStatus::Durable:
    Outcome = dispatch(Op);
    break;
  case AppendStatus::Failed:
    return makeNotRun("the journal of the home could not be written");
  case AppendStatus::Full:
    return makeNotRun("the journal of the home is overloaded");
  case AppendStatus::TimedOut:
    // Recorded when the service answers again. If the intent takes effect late,
    // other hosts can then tell that the request did not run.
    Outcome = makeNotRun("the journal of the home did not answer in time");
    break;
  }
  Journal_.addOutcome(Op.intent(), Incarnation, Outcome);
  return Outcome;
}

/// Sends the request to a target, unless too little time is left.
RequestOutcome OnceRunner::dispatch(const Operation &Op) {
  if (Settings_.BeforeDispatch_)
    Settings_.BeforeDispatch_();
  if (SteadyClock::now() + Settings_.DispatchReserve_ > Op.Deadline_)
    return makeNotRun("no time was left to run the request");
  RequestOutcome Outcome =
      Parts_.Dispatcher_.dispatch(*Op.Request_, Op.Deadline_);
  if (Outcome.Kind_ == OutcomeKind::Running)
    Outcome.Kind_ = OutcomeKind::Unknown;
  return Outcome;
}

RequestOutcome OnceRunner::resolveAtOtherHome(const Operation &Op) {
  const Ticket &HomeTicket = Op.ticket();
  HomeView View = describeHome(HomeTicket.Host_, HomeTicket.Incarnation_);
  if (!View.IncarnationListed_)
    findAddress(Op, View);
  if (auto Answer = callHome(Op, View))
    return *Answer;
  // Membership may have listed the home as dead during the call.
  HomeView UpdatedView =
      describeHome(HomeTicket.Host_, HomeTicket.Incarnation_);
  return answerWithoutHome(Op,
                           UpdatedView.IncarnationListed_ ? UpdatedView : View);
}

/// Forwards the request or look-up to the home; nullopt if it could not be
/// reached or did not answer.
std::optional<RequestOutcome> OnceRunner::callHome(const Operation &Op,
                                                   const HomeView &Home) {
  const std::string &Self = Parts_.Session_.self().PeerAddress_;
  if (Op.Forwarded_ || Home.PeerAddress_.empty() || Home.PeerAddress_ == Self)
    return std::nullopt;
  // A host listed as dead is first tested with a short look-up, so that time is
  // left to read its journal.
  if (Home.ListedDead_ && !isReachable(Op, Home))
    return std::nullopt;
  Milliseconds Timeout = remaining(Op.Deadline_);
  if (Timeout == Milliseconds{0})
    return std::nullopt;
  auto Answer = capture([&]() -> Result<RequestOutcome> {
    if (!Op.Request_)
      return Parts_.Peers_.lookUp(
          Home.PeerAddress_, toText({Op.Registry_.Identity_, Op.Key_.text()}),
          Timeout);
    ForwardedRequest Forward = *Op.Request_;
    Forward.Timeout_ = Timeout;
    return Parts_.Peers_.forward(Home.PeerAddress_, Forward);
  });
  if (!Answer) {
    LogEvent Event(LogLevel::Warn, "home_not_reached");
    if (Op.Request_)
      Event.field("request", Op.Request_->RequestId_);
    Event.field("host", Home.Host_)
        .field("code", toString(Answer.error().Code_));
    return std::nullopt;
  }
  if (Answer->HomeAddress_.empty())
    Answer->HomeAddress_ = Home.CallerAddress_;
  return *Answer;
}

/// The answer if the home did not answer: from its journal if the home has
/// ended, otherwise `unknown`.
RequestOutcome OnceRunner::answerWithoutHome(const Operation &Op,
                                             const HomeView &Home) {
  const Ticket &HomeTicket = Op.ticket();
  RequestOutcome UnknownAnswer = makeUnknown(
      "the home of the key cannot be reached", RetryWhenUnavailable);
  UnknownAnswer.HomeAddress_ = Home.CallerAddress_;
  if (HomeTicket.Class_ == TicketClass::Volatile) {
    if (Home.DeadOrReplaced_)
      UnknownAnswer.RetryAfter_ = Milliseconds{0};
    return UnknownAnswer;
  }
  // This process replaced the one that issued the ticket.
  bool ReplacedByThisProcess =
      HomeTicket.Host_ == Parts_.Session_.self().Host_ &&
      HomeTicket.Incarnation_ < Parts_.Session_.incarnation();
  bool MayEndSession = Home.DeadOrReplaced_ || ReplacedByThisProcess;
  if (!MayEndSession && !Home.MayHaveEndedSession_)
    return UnknownAnswer;
  auto Recorded = answerFromJournal(Op, HomeTicket.Host_,
                                    HomeTicket.Incarnation_, MayEndSession);
  return Recorded.value_or(UnknownAnswer);
}

/// The answer according to the closed journal of a home; nullopt if the journal
/// cannot be read or is not closed.
std::optional<RequestOutcome>
OnceRunner::answerFromJournal(const Operation &Op, const std::string &Host,
                              std::uint64_t Incarnation, bool MayEndSession) {
  auto Content =
      ClosedJournalCache_.read(Host, Incarnation, MayEndSession, Op.Deadline_);
  if (!Content)
    return std::nullopt;
  auto Found = Content->Entries_.find(Op.Registry_.Identity_);
  if (Found != Content->Entries_.end()) {
    const JournalEntry &Entry = Found->second;
    bool SameContent = Op.Registry_.ContentDigest_.empty() ||
                       Op.Registry_.ContentDigest_ == Entry.ContentDigest_;
    if (!SameContent)
      return makeConflict();
    return Entry.Outcome_.value_or(makeUnknown(
        "the home stopped before it recorded an outcome", Milliseconds{0}));
  }
  // An intent may be missing because the janitor deleted it by age. The
  // deletion recorded the highest expiry on the ticket clock of the home.
  bool CoversKey = !Content->Corrupt_ && Op.Key_.ticket() &&
                   Op.ticket().Expiry_ > Content->DeletedUpTo_;
  if (!CoversKey)
    return makeUnknown("the journal of the home no longer covers the key",
                       Milliseconds{0});
  return makeNotRun("the home stopped before the request started");
}

OnceRunner::HomeView OnceRunner::describeHome(const std::string &Host,
                                              std::uint64_t Incarnation) const {
  HomeView View;
  View.Host_ = Host;
  View.Incarnation_ = Incarnation;
  auto ListedMember = Parts_.Members_.find(Host);
  // Membership may have removed a host that ended long ago.
  View.MayHaveEndedSession_ = true;
  if (!ListedMember)
    return View;
  View.PeerAddress_ = ListedMember->PeerAddress_;
  View.CallerAddress_ = ListedMember->CallerAddress_;
  if (ListedMember->Incarnation_ < Incarnation)
    return View;
  View.IncarnationListed_ = true;
  View.ListedDead_ = ListedMember->Status_ == MemberStatus::Dead;
  View.DeadOrReplaced_ =
      View.ListedDead_ || ListedMember->Incarnation_ > Incarnation;
  View.MayHaveEndedSession_ =
      View.DeadOrReplaced_ || ListedMember->Status_ == MemberStatus::Draining;
  return View;
}

/// Reads the addresses of a home that membership does not list from its
/// session.
void OnceRunner::findAddress(const Operation &Op, HomeView &Home) {
  Milliseconds Timeout =
      std::min(Settings_.ReachabilityTimeout_, remaining(Op.Deadline_));
  auto Recorded = capture([&] {
    return Session::readSession(Parts_.Store_, Home.Host_, Home.Incarnation_,
                                Timeout);
  });
  if (!Recorded || !*Recorded)
    return;
  Home.PeerAddress_ = (*Recorded)->PeerAddress_;
  Home.CallerAddress_ = (*Recorded)->CallerAddress_;
}

bool OnceRunner::isReachable(const Operation &Op, const HomeView &Home) {
  Milliseconds Timeout =
      std::min(Settings_.ReachabilityTimeout_, remaining(Op.Deadline_) / 3);
  auto Answer = capture([&] {
    return Parts_.Peers_.lookUp(
        Home.PeerAddress_, toText({Op.Registry_.Identity_, Op.Key_.text()}),
        Timeout);
  });
  return static_cast<bool>(Answer);
}

RequestOutcome OnceRunner::runPlain(const Operation &Original) {
  Operation Op = Original;
  Op.Registry_.Expiry_ = Tickets_.now() + Tickets_.lifetime();
  if (auto KnownOutcome = Registry_.begin(Op.Registry_, Op.Deadline_))
    return *KnownOutcome;
  const std::string &Identity = Op.Registry_.Identity_;
  if (Stopping_)
    return withdrawPlain(
        Op, makeUnknown("this host is stopping", RetryWhenUnavailable));
  ClaimResult Result =
      Op.Forwarded_ ? Claims_.read(Identity, Op.Deadline_)
                    : Claims_.claim(Identity, ownClaim(Op), Op.Deadline_);
  switch (Result.Status_) {
  case ClaimStatus::Created:
    return runClaimed(Op);
  case ClaimStatus::Found:
    break;
  case ClaimStatus::Absent:
    if (Op.Forwarded_)
      return withdrawPlain(Op, makeUnknown("this host has no claim of the key",
                                           RetryWhenUnavailable));
    return withdrawPlain(Op,
                         makeNotRun("too many requests without a ticket; send "
                                    "the same key again later"));
  case ClaimStatus::Unavailable:
    // Not `not_run`: another host may have claimed and run the key earlier.
    return withdrawPlain(Op, makeUnknown("the claim of the key cannot be read; "
                                         "send the same key again later",
                                         RetryWhenUnavailable));
  }
  if (!Result.Claim_)
    return withdrawPlain(Op, makeUnknown("the claim of the key is unreadable",
                                         RetryWhenUnavailable));
  const Claim &Existing = *Result.Claim_;
  if (Existing.ContentDigest_ != Op.Registry_.ContentDigest_)
    return withdrawPlain(Op, makeConflict());
  if (Existing.Instance_ != Tickets_.instance())
    return withdrawPlain(Op, answerFromClaimant(Op, Existing));
  // Claimed here by an attempt that was never dispatched: a dispatched one is
  // in the registry until the claim expires.
  if (Tickets_.now() > Existing.Expiry_)
    return withdrawPlain(
        Op, makeUnknown("the claim of the key has expired", Milliseconds{0}));
  return runClaimed(Op);
}

/// Runs a plain key that this process has claimed.
RequestOutcome OnceRunner::runClaimed(const Operation &Op) {
  if (Settings_.Admission_)
    if (auto Refusal = Settings_.Admission_(*Op.Request_))
      return withdrawPlain(Op, *Refusal);
  std::uint64_t Incarnation = Parts_.Session_.incarnation();
  RequestOutcome Outcome = dispatch(Op);
  Outcome.HomeAddress_ = Parts_.Session_.self().CallerAddress_;
  // After `not_run` the caller may send the same plain key again, and the claim
  // allows it to run here.
  if (Outcome.Kind_ == OutcomeKind::NotRun)
    return withdrawPlain(Op, Outcome);
  Registry_.finish(Op.Registry_.Identity_, Outcome);
  Journal_.addOutcome(Op.intent(), Incarnation, Outcome);
  return Outcome;
}

/// Forwards to the host that claimed the key, or answers from its journal if
/// that host is dead or replaced. The claim serves as the intent: without a
/// recorded outcome the answer is `unknown`.
RequestOutcome OnceRunner::answerFromClaimant(const Operation &Op,
                                              const Claim &ExistingClaim) {
  HomeView View = describeHome(ExistingClaim.Host_, ExistingClaim.Incarnation_);
  if (!View.IncarnationListed_) {
    View.PeerAddress_ = ExistingClaim.PeerAddress_;
    View.CallerAddress_ = ExistingClaim.CallerAddress_;
  }
  if (auto Answer = callHome(Op, View))
    return *Answer;
  RequestOutcome UnknownAnswer = makeUnknown(
      "the host that claimed the key cannot be reached", RetryWhenUnavailable);
  UnknownAnswer.HomeAddress_ = View.CallerAddress_;
  HomeView UpdatedView =
      describeHome(ExistingClaim.Host_, ExistingClaim.Incarnation_);
  if (!UpdatedView.DeadOrReplaced_)
    return UnknownAnswer;
  auto Recorded = answerFromJournal(Op, ExistingClaim.Host_,
                                    ExistingClaim.Incarnation_, true);
  return Recorded.value_or(UnknownAnswer);
}

/// Removes a plain key that did not run here from the registry, so that it may
/// be sent again.
RequestOutcome OnceRunner::withdrawPlain(const Operation &Op,
                                         RequestOutcome Outcome) {
  Registry_.withdraw(Op.Registry_.Identity_, Outcome);
  return Outcome;
}

RequestOutcome OnceRunner::resolveLookUp(const Operation &Original) {
  // A look-up does not wait for a running request.
  Operation Op = Original;
  if (auto KnownOutcome = Registry_.find(Op.Registry_, SteadyClock::now()))
    return *KnownOutcome;
  if (!Op.Key_.ticket())
    return lookUpPlain(Op);
  Op.Registry_.Expiry_ = Op.ticket().Expiry_;
  if (!Tickets_.isIssuedHere(Op.ticket()))
    return resolveAtOtherHome(Op);
  bool SessionEnded = Op.ticket().Class_ == TicketClass::Journaled &&
                      Op.ticket().Incarnation_ < Parts_.Session_.incarnation();
  if (!SessionEnded)
    return Registry_.lookUp(Op.Registry_, SteadyClock::now());
  auto Recorded =
      answerFromJournal(Op, Op.ticket().Host_, Op.ticket().Incarnation_, true);
  return Recorded.value_or(makeUnknown(
      "the journal of the home could not be read", RetryWhenUnavailable));
}

RequestOutcome OnceRunner::lookUpPlain(const Operation &Op) {
  if (Op.Forwarded_)
    return makeUnknown("this host does not remember the key",
                       RetryWhenUnavailable);
  ClaimResult Result = Claims_.read(Op.Registry_.Identity_, Op.Deadline_);
  if (Result.Status_ != ClaimStatus::Found || !Result.Claim_)
    return makeUnknown("no claim of the key was found", RetryWhenUnavailable);
  if (Result.Claim_->Instance_ == Tickets_.instance())
    return makeUnknown("this host does not remember the key",
                       RetryWhenUnavailable);
  return answerFromClaimant(Op, *Result.Claim_);
}

Claim OnceRunner::ownClaim(const Operation &Op) const {
  const SessionRecord &Self = Parts_.Session_.self();
  Claim NewClaim;
  NewClaim.Host_ = Self.Host_;
  NewClaim.Incarnation_ = Parts_.Session_.incarnation();
  NewClaim.Instance_ = Tickets_.instance();
  NewClaim.PeerAddress_ = Self.PeerAddress_;
  NewClaim.CallerAddress_ = Self.CallerAddress_;
  NewClaim.ContentDigest_ = Op.Registry_.ContentDigest_;
  NewClaim.Expiry_ = Op.Registry_.Expiry_;
  return NewClaim;
}

SteadyTime OnceRunner::answerDeadline(Milliseconds Timeout) const {
  Milliseconds Reserve = std::min(Settings_.AnswerReserve_, Timeout / 10);
  return SteadyClock::now() + Timeout - Reserve;
}

bool OnceRunner::isStoreUnavailable() const {
  if (!Journal_.isAvailable())
    return true;
  return !Parts_.Session_.current() && Parts_.Session_.isUnavailable();
}

} // namespace amaranth::coordination
