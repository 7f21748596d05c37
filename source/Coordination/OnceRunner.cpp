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

/// Time after which asking an unreachable home again can help.
constexpr Milliseconds AskAgain{1000};
/// Timeout of a look-up that a peer makes here.
constexpr Milliseconds PeerLookUpTimeout{1000};

/// An answer to a request; one that still runs is unknown to its caller.
RequestOutcome toAnswer(RequestOutcome Outcome) {
  if (Outcome.Kind_ == OutcomeKind::Running)
    Outcome.Kind_ = OutcomeKind::Unknown;
  return Outcome;
}

RequestOutcome refuseKey(const Error &Failure) {
  // A malformed key is refused alike by every daemon. A ticket that is not
  // ours may be valid for a daemon with another fleet secret.
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
class OnceRunner::InFlight final {
public:
  explicit InFlight(OnceRunner &Runner) : Runner_(Runner) {
    std::lock_guard Lock(Runner_.Mutex_);
    ++Runner_.InFlight_;
  }
  ~InFlight() {
    std::lock_guard Lock(Runner_.Mutex_);
    --Runner_.InFlight_;
    if (Runner_.InFlight_ == 0)
      Runner_.Idle_.notify_all();
  }
  InFlight(const InFlight &) = delete;
  InFlight &operator=(const InFlight &) = delete;

private:
  OnceRunner &Runner_;
};

/// One request or look-up on its way through the runner.
struct OnceRunner::Job {
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

/// Where a home can be asked and what membership says of it.
struct OnceRunner::HomeView {
  std::string Host_;
  std::uint64_t Incarnation_ = 0;
  std::string PeerAddress_;
  std::string CallerAddress_;
  /// Membership knows this incarnation or a newer one.
  bool Known_ = false;
  bool ListedDead_ = false;
  /// Listed as dead, or replaced by a newer incarnation; only then may its
  /// session be ended.
  bool Gone_ = false;
  /// The home may have ended its session itself.
  bool MayBeClosed_ = false;
};

OnceRunner::OnceRunner(OnceRunnerSettings Settings, OnceRunnerParts Parts)
    : Settings_(std::move(Settings)), Parts_(Parts),
      Tickets_(ticketSettings(Settings_, Parts.Session_)),
      Registry_(Settings_.Registry_, [this] { return Tickets_.now(); }),
      Journal_(Settings_.Journal_, Parts.Store_, Parts.Session_,
               Parts.Members_),
      Claims_(Settings_.Claims_, Parts.Store_, Parts.Members_),
      Closed_(Settings_.ClosedJournals_, Parts.Store_) {}

OnceRunner::~OnceRunner() {
  std::unique_lock Lock(Mutex_);
  Idle_.wait(Lock, [this] { return InFlight_ == 0; });
}

RequestOutcome OnceRunner::submit(const ForwardedRequest &Request) {
  return run(Request, false);
}

RequestOutcome OnceRunner::onForward(const ForwardedRequest &Request) {
  return run(Request, true);
}

RequestOutcome OnceRunner::run(const ForwardedRequest &Request,
                               bool Forwarded) {
  InFlight Counted(*this);
  SteadyTime Deadline = deadlineOf(Request.Timeout_);
  auto Key = capture(
      [&] { return IdempotencyKey::parse(Request.IdempotencyKey_, Tickets_); });
  if (!Key)
    return refuseKey(Key.error());
  Job Work{&Request, std::move(*Key), {}, Deadline, Forwarded};
  Work.Registry_.Identity_ = requestIdentity(Request.Service_, Request.Account_,
                                             Request.IdempotencyKey_);
  Work.Registry_.ContentDigest_ = contentDigest(Request);
  if (Work.Key_.ticket())
    return toAnswer(runTicketed(Work));
  return toAnswer(runPlain(Work));
}

RequestOutcome OnceRunner::lookUp(const std::string &Service,
                                  const std::string &Account,
                                  const std::string &Key,
                                  Milliseconds Timeout) {
  InFlight Counted(*this);
  SteadyTime Deadline = deadlineOf(Timeout);
  auto Parsed = capture([&] { return IdempotencyKey::parse(Key, Tickets_); });
  if (!Parsed)
    return refuseKey(Parsed.error());
  Job Work{nullptr, std::move(*Parsed), {}, Deadline, false};
  Work.Registry_.Identity_ = requestIdentity(Service, Account, Key);
  return lookUpWork(Work);
}

RequestOutcome OnceRunner::onLookUp(const std::string &ScopedKey) {
  InFlight Counted(*this);
  SteadyTime Deadline = deadlineOf(PeerLookUpTimeout);
  auto Scoped = capture([&] { return parseScopedKey(ScopedKey); });
  if (!Scoped)
    return refuseKey(Scoped.error());
  auto Parsed =
      capture([&] { return IdempotencyKey::parse(Scoped->Key_, Tickets_); });
  if (!Parsed)
    return refuseKey(Parsed.error());
  Job Work{nullptr, std::move(*Parsed), {}, Deadline, true};
  Work.Registry_.Identity_ = Scoped->Identity_;
  return lookUpWork(Work);
}

Result<std::string> OnceRunner::issueTicket(bool AllowVolatile) {
  if (Draining_ || Stopping_)
    return fail(ErrorCode::Unavailable, "this host is draining");
  if (Registry_.isAlmostFull())
    return fail(ErrorCode::ResourceExhausted,
                "this host remembers as many keys as it can");
  if (AllowVolatile && isOutage())
    return Tickets_.issue(Parts_.Session_.incarnation(), TicketClass::Volatile);
  auto Open = Parts_.Session_.current();
  if (!Open)
    return fail(ErrorCode::Unavailable, "this host has no session");
  return Tickets_.issue(Open->Incarnation_, TicketClass::Journaled);
}

void OnceRunner::drain() { Draining_ = true; }

bool OnceRunner::stop(Milliseconds Timeout) {
  SteadyTime Deadline = SteadyClock::now() + Timeout;
  Draining_ = true;
  Stopping_ = true;
  bool Ended = false;
  {
    std::unique_lock Lock(Mutex_);
    Ended = Idle_.wait_until(Lock, Deadline, [this] { return InFlight_ == 0; });
  }
  bool Flushed = Journal_.flush(remaining(Deadline));
  auto Closed =
      capture([&] { return Parts_.Session_.close(remaining(Deadline)); });
  return Ended && Flushed && Closed;
}

/// Finds the home of a ticketed key. Only here and in answerFor() is a
/// ticketed key ever refused.
RequestOutcome OnceRunner::runTicketed(const Job &Found) {
  Job Work = Found;
  Work.Registry_.Expiry_ = Work.ticket().Expiry_;
  if (Tickets_.isOwn(Work.ticket()))
    return runAtHome(Work);
  return runElsewhere(Work);
}

RequestOutcome OnceRunner::runAtHome(const Job &Work) {
  const Ticket &Home = Work.ticket();
  bool Ended = Home.Class_ == TicketClass::Journaled &&
               Home.Incarnation_ < Parts_.Session_.incarnation();
  if (!Ended)
    return decideAtHome(Work);
  // The session of the ticket was deleted. What this process knows is more
  // than what the journal says.
  if (auto Known = Registry_.find(Work.Registry_, Work.Deadline_))
    return *Known;
  auto Read = fromJournal(Work, Home.Host_, Home.Incarnation_, true);
  return Read.value_or(
      makeUnknown("the journal of the home could not be read", AskAgain));
}

RequestOutcome OnceRunner::decideAtHome(const Job &Work) {
  if (auto Known = Registry_.begin(Work.Registry_, Work.Deadline_))
    return *Known;
  RequestOutcome Outcome;
  if (Stopping_)
    Outcome = makeNotRun("the home is stopping");
  else if (Work.ticket().Class_ == TicketClass::Volatile)
    Outcome = dispatchVolatile(Work);
  else
    Outcome = dispatchJournaled(Work);
  Outcome.HomeAddress_ = Parts_.Session_.self().CallerAddress_;
  Registry_.finish(Work.Registry_.Identity_, Outcome);
  return Outcome;
}

RequestOutcome OnceRunner::dispatchVolatile(const Job &Work) {
  if (Settings_.Admission_)
    if (auto Refused = Settings_.Admission_(*Work.Request_))
      return *Refused;
  return dispatch(Work);
}

RequestOutcome OnceRunner::dispatchJournaled(const Job &Work) {
  if (Settings_.Admission_)
    if (auto Refused = Settings_.Admission_(*Work.Request_))
      return *Refused;
  std::uint64_t Incarnation = Work.ticket().Incarnation_;
  if (Settings_.TestDispatchBeforeAppend_)
    dispatch(Work);
  AppendStatus Status = Journal_.append(
      Work.intent(), Incarnation, Work.Deadline_ - Settings_.DispatchReserve_);
  RequestOutcome Outcome;
  switch (Status) {
  case AppendStatus::Durable:
    Outcome = dispatch(Work);
    break;
  case AppendStatus::Failed:
    return makeNotRun("the journal of the home could not be written");
  case AppendStatus::Full:
    return makeNotRun("the journal of the home is overloaded");
  case AppendStatus::TimedOut:
    // Recorded when the service answers again, so that survivors who find the
    // late intent can say that it did not run.
    Outcome = makeNotRun("the journal of the home did not answer in time");
    break;
  }
  Journal_.addOutcome(Work.intent(), Incarnation, Outcome);
  return Outcome;
}

/// Sends the request to a target, unless its time is over.
RequestOutcome OnceRunner::dispatch(const Job &Work) {
  if (Settings_.BeforeDispatch_)
    Settings_.BeforeDispatch_();
  if (SteadyClock::now() + Settings_.DispatchReserve_ > Work.Deadline_)
    return makeNotRun("no time was left to run the request");
  RequestOutcome Outcome =
      Parts_.Dispatcher_.dispatch(*Work.Request_, Work.Deadline_);
  if (Outcome.Kind_ == OutcomeKind::Running)
    Outcome.Kind_ = OutcomeKind::Unknown;
  return Outcome;
}

RequestOutcome OnceRunner::runElsewhere(const Job &Work) {
  const Ticket &Home = Work.ticket();
  HomeView View = viewOf(Home.Host_, Home.Incarnation_);
  if (!View.Known_)
    findAddress(Work, View);
  if (auto Answer = ask(Work, View))
    return *Answer;
  // Membership may have found the home dead while it was asked.
  HomeView Later = viewOf(Home.Host_, Home.Incarnation_);
  return answerFor(Work, Later.Known_ ? Later : View);
}

/// Asks the home; none if it could not be reached or did not answer.
std::optional<RequestOutcome> OnceRunner::ask(const Job &Work,
                                              const HomeView &Home) {
  const std::string &Self = Parts_.Session_.self().PeerAddress_;
  if (Work.Forwarded_ || Home.PeerAddress_.empty() || Home.PeerAddress_ == Self)
    return std::nullopt;
  // A host listed as dead gets only a short look-up first, so that time is
  // left to read its journal.
  if (Home.ListedDead_ && !isReachable(Work, Home))
    return std::nullopt;
  Milliseconds Timeout = remaining(Work.Deadline_);
  if (Timeout == Milliseconds{0})
    return std::nullopt;
  auto Answer = capture([&]() -> Result<RequestOutcome> {
    if (!Work.Request_)
      return Parts_.Peers_.lookUp(
          Home.PeerAddress_,
          toText({Work.Registry_.Identity_, Work.Key_.text()}), Timeout);
    ForwardedRequest Copy = *Work.Request_;
    Copy.Timeout_ = Timeout;
    return Parts_.Peers_.forward(Home.PeerAddress_, Copy);
  });
  if (!Answer) {
    LogEvent Event(LogLevel::Warn, "home_not_reached");
    if (Work.Request_)
      Event.field("request", Work.Request_->RequestId_);
    Event.field("host", Home.Host_)
        .field("code", toString(Answer.error().Code_));
    return std::nullopt;
  }
  if (Answer->HomeAddress_.empty())
    Answer->HomeAddress_ = Home.CallerAddress_;
  return *Answer;
}

/// The answer for a home that did not answer itself.
RequestOutcome OnceRunner::answerFor(const Job &Work, const HomeView &Home) {
  const Ticket &Issued = Work.ticket();
  RequestOutcome Unknown =
      makeUnknown("the home of the key cannot be reached", AskAgain);
  Unknown.HomeAddress_ = Home.CallerAddress_;
  if (Issued.Class_ == TicketClass::Volatile) {
    if (Home.Gone_)
      Unknown.RetryAfter_ = Milliseconds{0};
    return Unknown;
  }
  // This process replaced the one that issued the ticket.
  bool Replaced = Issued.Host_ == Parts_.Session_.self().Host_ &&
                  Issued.Incarnation_ < Parts_.Session_.incarnation();
  bool MayClose = Home.Gone_ || Replaced;
  if (!MayClose && !Home.MayBeClosed_)
    return Unknown;
  auto Read = fromJournal(Work, Issued.Host_, Issued.Incarnation_, MayClose);
  return Read.value_or(Unknown);
}

/// What the closed journal of a home says; none if it cannot be read or is not
/// closed.
std::optional<RequestOutcome> OnceRunner::fromJournal(const Job &Work,
                                                      const std::string &Host,
                                                      std::uint64_t Incarnation,
                                                      bool MayClose) {
  auto Content = Closed_.read(Host, Incarnation, MayClose, Work.Deadline_);
  if (!Content)
    return std::nullopt;
  auto Found = Content->Entries_.find(Work.Registry_.Identity_);
  if (Found != Content->Entries_.end()) {
    const JournalEntry &Entry = Found->second;
    bool Same = Work.Registry_.ContentDigest_.empty() ||
                Work.Registry_.ContentDigest_ == Entry.ContentDigest_;
    if (!Same)
      return makeConflict();
    return Entry.Outcome_.value_or(makeUnknown(
        "the home stopped before it recorded an outcome", Milliseconds{0}));
  }
  // An intent may be missing because it was deleted by age; the deletion
  // recorded the highest expiry, on the clock that the ticket was made by.
  bool Complete = !Content->Corrupt_ && Work.Key_.ticket() &&
                  Work.ticket().Expiry_ > Content->DeletedUpTo_;
  if (!Complete)
    return makeUnknown("the journal of the home no longer covers the key",
                       Milliseconds{0});
  return makeNotRun("the home stopped before the request started");
}

OnceRunner::HomeView OnceRunner::viewOf(const std::string &Host,
                                        std::uint64_t Incarnation) const {
  HomeView View;
  View.Host_ = Host;
  View.Incarnation_ = Incarnation;
  auto Listed = Parts_.Members_.find(Host);
  // A host that is not listed may have been forgotten after its end.
  View.MayBeClosed_ = true;
  if (!Listed)
    return View;
  View.PeerAddress_ = Listed->PeerAddress_;
  View.CallerAddress_ = Listed->CallerAddress_;
  if (Listed->Incarnation_ < Incarnation)
    return View;
  View.Known_ = true;
  View.ListedDead_ = Listed->Status_ == MemberStatus::Dead;
  View.Gone_ = View.ListedDead_ || Listed->Incarnation_ > Incarnation;
  View.MayBeClosed_ = View.Gone_ || Listed->Status_ == MemberStatus::Draining;
  return View;
}

/// Takes the address of a home that membership does not list from its session.
void OnceRunner::findAddress(const Job &Work, HomeView &Home) {
  Milliseconds Timeout =
      std::min(Settings_.ReachTimeout_, remaining(Work.Deadline_));
  auto Read = capture([&] {
    return Session::readSession(Parts_.Store_, Home.Host_, Home.Incarnation_,
                                Timeout);
  });
  if (!Read || !*Read)
    return;
  Home.PeerAddress_ = (*Read)->PeerAddress_;
  Home.CallerAddress_ = (*Read)->CallerAddress_;
}

bool OnceRunner::isReachable(const Job &Work, const HomeView &Home) {
  Milliseconds Timeout =
      std::min(Settings_.ReachTimeout_, remaining(Work.Deadline_) / 3);
  auto Answer = capture([&] {
    return Parts_.Peers_.lookUp(
        Home.PeerAddress_, toText({Work.Registry_.Identity_, Work.Key_.text()}),
        Timeout);
  });
  return static_cast<bool>(Answer);
}

RequestOutcome OnceRunner::runPlain(const Job &Found) {
  Job Work = Found;
  Work.Registry_.Expiry_ = Tickets_.now() + Tickets_.lifetime();
  if (auto Known = Registry_.begin(Work.Registry_, Work.Deadline_))
    return *Known;
  const std::string &Identity = Work.Registry_.Identity_;
  if (Stopping_)
    return endPlain(Work, makeUnknown("this host is stopping", AskAgain));
  ClaimResult Result =
      Work.Forwarded_ ? Claims_.read(Identity, Work.Deadline_)
                      : Claims_.claim(Identity, ownClaim(Work), Work.Deadline_);
  switch (Result.Status_) {
  case ClaimStatus::Created:
    return runClaimed(Work);
  case ClaimStatus::Found:
    break;
  case ClaimStatus::Absent:
    if (Work.Forwarded_)
      return endPlain(
          Work, makeUnknown("this host has no claim of the key", AskAgain));
    return endPlain(Work, makeNotRun("too many requests without a ticket; send "
                                     "the same key again later"));
  case ClaimStatus::Unavailable:
    // Not `not_run`: another host may have claimed and run the key before.
    return endPlain(Work, makeUnknown("the claim of the key cannot be read; "
                                      "send the same key again later",
                                      AskAgain));
  }
  if (!Result.Claim_)
    return endPlain(
        Work, makeUnknown("the claim of the key is unreadable", AskAgain));
  const Claim &Existing = *Result.Claim_;
  if (Existing.ContentDigest_ != Work.Registry_.ContentDigest_)
    return endPlain(Work, makeConflict());
  if (Existing.Instance_ != Tickets_.instance())
    return endPlain(Work, followClaim(Work, Existing));
  // Claimed here by an attempt that never dispatched: one that did would
  // still be in the registry until the claim expires.
  if (Tickets_.now() > Existing.Expiry_)
    return endPlain(
        Work, makeUnknown("the claim of the key has expired", Milliseconds{0}));
  return runClaimed(Work);
}

/// Runs a plain key that this process has claimed.
RequestOutcome OnceRunner::runClaimed(const Job &Work) {
  if (Settings_.Admission_)
    if (auto Refused = Settings_.Admission_(*Work.Request_))
      return endPlain(Work, *Refused);
  std::uint64_t Incarnation = Parts_.Session_.incarnation();
  RequestOutcome Outcome = dispatch(Work);
  Outcome.HomeAddress_ = Parts_.Session_.self().CallerAddress_;
  // After `not_run` the caller sends the same plain key again, and the claim
  // lets it run here.
  if (Outcome.Kind_ == OutcomeKind::NotRun)
    return endPlain(Work, Outcome);
  Registry_.finish(Work.Registry_.Identity_, Outcome);
  Journal_.addOutcome(Work.intent(), Incarnation, Outcome);
  return Outcome;
}

/// Asks the claimant, or answers for it when it is gone. The claim stands for
/// the intent: without an outcome the answer is `unknown`.
RequestOutcome OnceRunner::followClaim(const Job &Work, const Claim &Found) {
  HomeView View = viewOf(Found.Host_, Found.Incarnation_);
  if (!View.Known_) {
    View.PeerAddress_ = Found.PeerAddress_;
    View.CallerAddress_ = Found.CallerAddress_;
  }
  if (auto Answer = ask(Work, View))
    return *Answer;
  RequestOutcome Unknown =
      makeUnknown("the host that claimed the key cannot be reached", AskAgain);
  Unknown.HomeAddress_ = View.CallerAddress_;
  HomeView Later = viewOf(Found.Host_, Found.Incarnation_);
  if (!Later.Gone_)
    return Unknown;
  auto Read = fromJournal(Work, Found.Host_, Found.Incarnation_, true);
  return Read.value_or(Unknown);
}

/// Ends a plain key that was not dispatched here; it may be sent again.
RequestOutcome OnceRunner::endPlain(const Job &Work, RequestOutcome Outcome) {
  Registry_.withdraw(Work.Registry_.Identity_, Outcome);
  return Outcome;
}

RequestOutcome OnceRunner::lookUpWork(const Job &Found) {
  // A look-up reports a running request at once.
  Job Work = Found;
  if (auto Known = Registry_.find(Work.Registry_, SteadyClock::now()))
    return *Known;
  if (!Work.Key_.ticket())
    return lookUpPlain(Work);
  Work.Registry_.Expiry_ = Work.ticket().Expiry_;
  if (!Tickets_.isOwn(Work.ticket()))
    return runElsewhere(Work);
  bool Ended = Work.ticket().Class_ == TicketClass::Journaled &&
               Work.ticket().Incarnation_ < Parts_.Session_.incarnation();
  if (!Ended)
    return Registry_.lookUp(Work.Registry_, SteadyClock::now());
  auto Read =
      fromJournal(Work, Work.ticket().Host_, Work.ticket().Incarnation_, true);
  return Read.value_or(
      makeUnknown("the journal of the home could not be read", AskAgain));
}

RequestOutcome OnceRunner::lookUpPlain(const Job &Work) {
  if (Work.Forwarded_)
    return makeUnknown("this host does not remember the key", AskAgain);
  ClaimResult Result = Claims_.read(Work.Registry_.Identity_, Work.Deadline_);
  if (Result.Status_ != ClaimStatus::Found || !Result.Claim_)
    return makeUnknown("no claim of the key was found", AskAgain);
  if (Result.Claim_->Instance_ == Tickets_.instance())
    return makeUnknown("this host does not remember the key", AskAgain);
  return followClaim(Work, *Result.Claim_);
}

Claim OnceRunner::ownClaim(const Job &Work) const {
  const SessionRecord &Self = Parts_.Session_.self();
  Claim Mine;
  Mine.Host_ = Self.Host_;
  Mine.Incarnation_ = Parts_.Session_.incarnation();
  Mine.Instance_ = Tickets_.instance();
  Mine.PeerAddress_ = Self.PeerAddress_;
  Mine.CallerAddress_ = Self.CallerAddress_;
  Mine.ContentDigest_ = Work.Registry_.ContentDigest_;
  Mine.Expiry_ = Work.Registry_.Expiry_;
  return Mine;
}

SteadyTime OnceRunner::deadlineOf(Milliseconds Timeout) const {
  Milliseconds Reserve = std::min(Settings_.AnswerReserve_, Timeout / 10);
  return SteadyClock::now() + Timeout - Reserve;
}

bool OnceRunner::isOutage() const {
  if (!Journal_.isAvailable())
    return true;
  return !Parts_.Session_.current() && Parts_.Session_.isUnavailable();
}

} // namespace amaranth::coordination
