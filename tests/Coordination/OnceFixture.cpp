#include "OnceFixture.h"

#include "Support/Log.h"

#include <catch2/catch.hpp>

namespace amaranth::coordination::test {

using protocol::Compare;
using protocol::ForwardedRequest;
using protocol::KeyValue;
using protocol::Member;
using protocol::MemberStatus;
using protocol::Mutation;
using protocol::OutcomeKind;
using protocol::RequestOutcome;
using protocol::Transaction;

namespace {

auto replyLost() { return fail(ErrorCode::Ambiguous, "the reply was lost"); }

/// Simulates a service that accepts the call and never answers.
auto hang(Milliseconds Timeout) {
  std::this_thread::sleep_for(Timeout);
  return replyLost();
}

auto notSent() { return fail(ErrorCode::Unavailable, "not reachable"); }

} // namespace

void Gate::wait() {
  std::unique_lock Lock(Mutex_);
  ++Arrived_;
  Changed_.notify_all();
  Changed_.wait_for(Lock, EventLimit, [this] { return Open_; });
}

void Gate::waitForArrival() {
  std::unique_lock Lock(Mutex_);
  REQUIRE(Changed_.wait_for(Lock, EventLimit, [this] { return Arrived_ > 0; }));
}

void Gate::open() {
  std::lock_guard Lock(Mutex_);
  Open_ = true;
  Changed_.notify_all();
}

protocol::RangeResult FakeStore::range(const std::string &Key, bool Prefix) {
  std::lock_guard Lock(Mutex_);
  protocol::RangeResult Result;
  Result.StoreRevision_ = Revision_;
  for (auto It = Pairs_.lower_bound(Key); It != Pairs_.end(); ++It) {
    bool Match = Prefix ? It->first.starts_with(Key) : It->first == Key;
    if (!Match)
      break;
    Result.Pairs_.push_back(It->second);
  }
  return Result;
}

protocol::TransactionResult FakeStore::commit(const Transaction &Request) {
  std::lock_guard Lock(Mutex_);
  protocol::TransactionResult Result;
  for (const Compare &Condition : Request.Conditions_) {
    if (isSatisfied(Condition))
      continue;
    for (const std::string &Key : Request.ReadOnFailure_)
      if (auto Found = Pairs_.find(Key); Found != Pairs_.end())
        Result.Found_.push_back(Found->second);
    Result.StoreRevision_ = Revision_;
    return Result;
  }
  ++Revision_;
  for (const Mutation &Write : Request.Writes_) {
    if (Write.Kind_ == Mutation::Kind::Delete) {
      Pairs_.erase(Write.Key_);
    } else if (Write.Kind_ == Mutation::Kind::DeletePrefix) {
      std::erase_if(Pairs_, [&](const auto &Entry) {
        return Entry.first.starts_with(Write.Key_);
      });
    } else {
      KeyValue &Pair = Pairs_[Write.Key_];
      if (Pair.CreateRevision_ == 0)
        Pair.CreateRevision_ = Revision_;
      Pair.Key_ = Write.Key_;
      Pair.Value_ = Write.Value_;
      Pair.ModRevision_ = Revision_;
    }
  }
  Result.Succeeded_ = true;
  Result.StoreRevision_ = Revision_;
  return Result;
}

void FakeStore::delayCommit(const Transaction &Request) {
  std::lock_guard Lock(Mutex_);
  Delayed_.push_back(Request);
}

void FakeStore::releaseDelayed() {
  std::vector<Transaction> Released;
  {
    std::lock_guard Lock(Mutex_);
    Released.swap(Delayed_);
  }
  for (const Transaction &Request : Released)
    commit(Request);
}

std::size_t FakeStore::count(const std::string &Prefix) {
  return range(Prefix, true).Pairs_.size();
}

bool FakeStore::isSatisfied(const Compare &Condition) const {
  std::uint64_t Revision = 0;
  if (auto Found = Pairs_.find(Condition.Key_); Found != Pairs_.end())
    Revision = Condition.Field_ == Compare::Field::CreateRevision
                   ? Found->second.CreateRevision_
                   : Found->second.ModRevision_;
  return Condition.Relation_ == Compare::Relation::Equal
             ? Revision == Condition.Revision_
             : Revision > Condition.Revision_;
}

void StoreClient::setFaultHook(FaultHook Hook) {
  std::lock_guard Lock(Mutex_);
  FaultHook_ = std::move(Hook);
}

void StoreClient::setAfterCommit(std::function<void()> Hook) {
  std::lock_guard Lock(Mutex_);
  AfterCommit_ = std::move(Hook);
}

void StoreClient::setUnconditionalPrefix(std::string Prefix) {
  std::lock_guard Lock(Mutex_);
  UnconditionalPrefix_ = std::move(Prefix);
}

protocol::TransactionResult
StoreClient::applyWithHooks(const Transaction &Request) {
  std::function<void()> AfterCommit;
  Transaction Effective = Request;
  {
    std::lock_guard Lock(Mutex_);
    AfterCommit = AfterCommit_;
    if (!UnconditionalPrefix_.empty() &&
        Effective.Writes_.front().Key_.starts_with(UnconditionalPrefix_))
      Effective.Conditions_.clear();
  }
  auto Result = Store_.commit(Effective);
  if (AfterCommit)
    AfterCommit();
  return Result;
}

Fault StoreClient::nextFault(const Transaction *Request) {
  FaultHook CurrentHook;
  {
    std::lock_guard Lock(Mutex_);
    CurrentHook = FaultHook_;
  }
  return CurrentHook ? CurrentHook(Request) : Fault::None;
}

Result<protocol::RangeResult>
StoreClient::range(const std::string &Key, bool Prefix, Milliseconds Timeout) {
  Fault Injected = nextFault(nullptr);
  if (Injected == Fault::Hang)
    return hang(Timeout);
  if (Injected == Fault::Unavailable)
    return notSent();
  if (Injected != Fault::None)
    return replyLost();
  return Store_.range(Key, Prefix);
}

Result<protocol::TransactionResult>
StoreClient::commit(const Transaction &Request, Milliseconds Timeout) {
  switch (nextFault(&Request)) {
  case Fault::None:
    return applyWithHooks(Request);
  case Fault::Unavailable:
    return notSent();
  case Fault::LoseRequest:
    return replyLost();
  case Fault::Hang:
    return hang(Timeout);
  case Fault::LoseReply:
    applyWithHooks(Request);
    return replyLost();
  case Fault::DelayEffect:
    Store_.delayCommit(Request);
    return replyLost();
  }
  return replyLost();
}

Result<protocol::LeaseGrant> StoreClient::grantLease(Seconds, Milliseconds) {
  return notSent();
}
Result<protocol::LeaseGrant> StoreClient::keepAlive(std::int64_t,
                                                    Milliseconds) {
  return notSent();
}
Result<void> StoreClient::revokeLease(std::int64_t, Milliseconds) {
  return notSent();
}
Result<std::unique_ptr<protocol::Watch>>
StoreClient::watch(const std::string &, std::uint64_t,
                   protocol::WatchListener &) {
  return notSent();
}

bool isAppend(const Transaction *Request) {
  return Request && Request->Writes_.size() == 1 &&
         Request->Writes_[0].Key_.starts_with("/amaranth/journal/");
}

void FakeMembers::set(const Member &Entry) {
  std::lock_guard Lock(Mutex_);
  Member &ListedMember = Members_[Entry.Host_];
  if (Entry.Incarnation_ >= ListedMember.Incarnation_)
    ListedMember = Entry;
}

void FakeMembers::setStatus(const std::string &Host, MemberStatus Status) {
  std::lock_guard Lock(Mutex_);
  Members_[Host].Status_ = Status;
}

std::vector<Member> FakeMembers::members() const {
  std::lock_guard Lock(Mutex_);
  std::vector<Member> Entries;
  for (const auto &[Host, ListedMember] : Members_)
    Entries.push_back(ListedMember);
  return Entries;
}

void ExecutionLog::recordRun(const ForwardedRequest &Request) {
  std::lock_guard Lock(Mutex_);
  Record &Found = Records_[Request.Account_ + '/' + Request.IdempotencyKey_];
  ++Found.Runs_;
  Found.Bodies_.push_back(Request.Body_);
}

int ExecutionLog::runCount(const std::string &Key) const {
  std::lock_guard Lock(Mutex_);
  auto Found = Records_.find("guild/" + Key);
  return Found == Records_.end() ? 0 : Found->second.Runs_;
}

std::map<std::string, ExecutionLog::Record> ExecutionLog::records() const {
  std::lock_guard Lock(Mutex_);
  return Records_;
}

std::string ExecutionLog::targetAnswer(const std::string &Body) {
  return "{\"done\":" + Body + "}";
}

Node::Node(Fleet &Owner, std::string Name, OnceRunnerSettings Settings)
    : Fleet_(Owner), Name_(std::move(Name)), Store_(Owner.Store_) {
  SessionSettings SessionConfiguration;
  SessionConfiguration.Self_ = {Name_, "dc", "caller:" + Name_, "peer:" + Name_,
                                0};
  // Higher than the incarnation of every earlier process, even if the clock has
  // not advanced.
  static std::atomic<std::uint64_t> LastIncarnation{0};
  auto Now = static_cast<std::uint64_t>(unixTimeNow().count());
  SessionConfiguration.Self_.Incarnation_ = std::max(Now, LastIncarnation + 1);
  LastIncarnation = SessionConfiguration.Self_.Incarnation_;
  SessionConfiguration.RetryDelay_ = Milliseconds(5);
  onSessionOpen(SessionConfiguration.Self_.Incarnation_);
  Session_ = std::make_unique<Session>(SessionConfiguration, Store_, this);
  Runner_ = std::make_unique<OnceRunner>(
      std::move(Settings),
      OnceRunnerDependencies{Store_, *this, *this, *this, *Session_});
}

Node::~Node() { Runner_.reset(); }

RequestOutcome Node::submit(const std::string &Key, const std::string &Body,
                            Milliseconds Timeout) {
  return Runner_->submit(makeRequest(Key, Body, Timeout));
}

std::string Node::key(const std::string &Suffix, bool AllowVolatile) {
  if (!AllowVolatile)
    REQUIRE(Session_->waitOpen(EventLimit));
  auto Ticket = capture([&] { return Runner_->issueTicket(AllowVolatile); });
  REQUIRE(Ticket);
  return *Ticket + "." + Suffix;
}

Member Node::self() const { return *find(Name_); }

std::vector<Member> Node::members() const { return Fleet_.Members_.members(); }

std::optional<Member> Node::find(const std::string &Host) const {
  for (const Member &ListedMember : members())
    if (ListedMember.Host_ == Host)
      return ListedMember;
  return std::nullopt;
}

Result<RequestOutcome> Node::forward(const std::string &Address,
                                     const ForwardedRequest &Request) {
  Node *Peer = Fleet_.findByAddress(Address);
  Fault Injected = PeerFaultHook_ ? PeerFaultHook_() : Fault::None;
  if (Killed_ || !Peer || !Peer->Reachable_ || Injected == Fault::Unavailable)
    return notSent();
  if (Injected == Fault::DelayEffect)
    Fleet_.delayForward(*Peer, Request);
  if (Injected == Fault::LoseRequest || Injected == Fault::DelayEffect)
    return replyLost();
  RequestOutcome Outcome = Peer->Runner_->onForward(Request);
  if (Peer->Killed_ || Injected == Fault::LoseReply)
    return replyLost();
  return Outcome;
}

Result<RequestOutcome> Node::lookUp(const std::string &Address,
                                    const std::string &Key, Milliseconds) {
  Node *Peer = Fleet_.findByAddress(Address);
  if (Killed_ || !Peer || !Peer->Reachable_)
    return notSent();
  return Peer->Runner_->onLookUp(Key);
}

Result<protocol::Gossip> Node::probe(const std::string &,
                                     const protocol::Gossip &, Milliseconds) {
  return notSent();
}
Result<bool> Node::probeIndirect(const std::string &, const std::string &,
                                 Milliseconds) {
  return notSent();
}
Result<std::vector<protocol::ServiceRevision>>
Node::revisions(const std::string &, Milliseconds) {
  return notSent();
}
Result<std::vector<state::StoredDocument>>
Node::documents(const std::string &, const std::vector<std::string> &,
                Milliseconds) {
  return notSent();
}
Result<void> Node::pushDocument(const std::string &,
                                const state::StoredDocument &, Milliseconds) {
  return notSent();
}
Result<void> Node::reportSuspect(const std::string &,
                                 const protocol::SuspectInput &, Milliseconds) {
  return notSent();
}

RequestOutcome Node::dispatch(const ForwardedRequest &Request, SteadyTime) {
  std::optional<RequestOutcome> Override;
  if (DispatchHook_)
    Override = DispatchHook_();
  RequestOutcome Outcome;
  if (Killed_)
    return Outcome;
  if (Override && Override->Kind_ == OutcomeKind::NotRun)
    return *Override;
  Fleet_.Executions_.recordRun(Request);
  if (Override)
    return *Override;
  Outcome.Kind_ = OutcomeKind::Completed;
  Outcome.Status_ = 200;
  Outcome.Body_ = ExecutionLog::targetAnswer(Request.Body_);
  return Outcome;
}

void Node::onSessionOpen(std::uint64_t Incarnation) {
  Member ListedMember;
  ListedMember.Host_ = Name_;
  ListedMember.Incarnation_ = Incarnation;
  ListedMember.PeerAddress_ = "peer:" + Name_;
  ListedMember.CallerAddress_ = "caller:" + Name_;
  if (!Killed_)
    Fleet_.Members_.set(ListedMember);
}

OnceRunnerSettings Fleet::settings() {
  OnceRunnerSettings Settings;
  Settings.FleetSecret_ = "secret";
  Settings.Journal_.MinWriteInterval_ = Milliseconds(1);
  Settings.Journal_.FleetWritesPerSecond_ = 10000;
  Settings.Journal_.MaxOutcomeDelay_ = Milliseconds(5);
  Settings.Journal_.RetryDelay_ = Milliseconds(2);
  Settings.Journal_.ProbeInterval_ = Milliseconds(10);
  return Settings;
}

Node &Fleet::start(const std::string &Name, OnceRunnerSettings Settings) {
  auto Started = std::make_unique<Node>(*this, Name, std::move(Settings));
  std::lock_guard Lock(Mutex_);
  Nodes_.push_back(std::move(Started));
  return *Nodes_.back();
}

void Fleet::kill(Node &Crashed, bool ListAsDead) {
  Crashed.Killed_ = true;
  Crashed.Store_.setFaultHook(
      [](const Transaction *) { return Fault::Unavailable; });
  if (ListAsDead)
    Members_.setStatus(Crashed.Name_, MemberStatus::Dead);
}

Node *Fleet::findByAddress(const std::string &Address) {
  std::lock_guard Lock(Mutex_);
  // The newest process owns the address, even while an older one still runs.
  for (auto It = Nodes_.rbegin(); It != Nodes_.rend(); ++It)
    if ("peer:" + (*It)->Name_ == Address)
      return (*It)->Killed_ ? nullptr : It->get();
  return nullptr;
}

void Fleet::delayForward(Node &Peer, const ForwardedRequest &Request) {
  std::lock_guard Lock(Mutex_);
  DelayedForwards_.push_back(
      [&Peer, Request] { Peer.Runner_->onForward(Request); });
}

void Fleet::releaseForwards() {
  std::lock_guard Lock(Mutex_);
  for (auto &Deliver : DelayedForwards_)
    Forwards_.push_back(std::async(std::launch::async, std::move(Deliver)));
  DelayedForwards_.clear();
}

void Fleet::joinForwards() {
  std::vector<std::future<void>> Started;
  {
    std::lock_guard Lock(Mutex_);
    Started.swap(Forwards_);
  }
  for (auto &Forward : Started)
    Forward.get();
}

ForwardedRequest makeRequest(const std::string &Key, const std::string &Body,
                             Milliseconds Timeout) {
  ForwardedRequest Request;
  Request.Service_ = "orders";
  Request.Account_ = "guild";
  Request.Call_ = "place";
  Request.IdempotencyKey_ = Key;
  Request.RequestId_ = "r1";
  Request.Body_ = Body;
  Request.Timeout_ = Timeout;
  return Request;
}

bool eventually(const std::function<bool()> &Condition) {
  SteadyTime Deadline = SteadyClock::now() + EventLimit;
  while (SteadyClock::now() < Deadline) {
    if (Condition())
      return true;
    std::this_thread::yield();
  }
  return false;
}

} // namespace amaranth::coordination::test
