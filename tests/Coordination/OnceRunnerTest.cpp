#include "OnceFixture.h"

#include "Coordination/Journal.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::coordination::test;
using protocol::MemberStatus;
using protocol::OutcomeKind;
using protocol::RequestOutcome;

namespace {

std::future<RequestOutcome> submitLater(Node &At, const std::string &Key,
                                        Milliseconds Timeout = EventLimit) {
  return std::async(std::launch::async, [&At, Key, Timeout] {
    return At.submit(Key, "{}", Timeout);
  });
}

auto outage() {
  return [](const protocol::Transaction *) { return Fault::Unavailable; };
}

/// Faults the first append and leaves the others alone.
auto faultFirstAppend(Fault First) {
  auto Done = std::make_shared<std::atomic<bool>>(false);
  return [=](const protocol::Transaction *Request) {
    bool Hit = isAppend(Request) && !Done->exchange(true);
    return Hit ? First : Fault::None;
  };
}

/// A home whose append is still on its way when a survivor ends its session.
/// Returns how often the key ran; \p Naive drops the condition of appends.
int runsAfterFrozenAppend(bool Naive) {
  Fleet All;
  Node &Home = All.start("a");
  Node &Survivor = All.start("b");
  std::string Key = Home.key();
  if (Naive)
    Home.Store_.setUnconditional("/amaranth/journal/");
  Gate Frozen;
  Home.Store_.setHook([&](const protocol::Transaction *Request) {
    if (isAppend(Request))
      Frozen.wait();
    return Fault::None;
  });
  auto Answer = submitLater(Home, Key);
  Frozen.waitArrived();
  Home.Reachable_ = false;
  All.Members_.setStatus("a", MemberStatus::Dead);
  CHECK(Survivor.submit(Key).Kind_ == OutcomeKind::NotRun);
  Frozen.open();
  RequestOutcome AtHome = Answer.get();
  if (Naive)
    return All.Judge_.runs(Key);
  CHECK(AtHome.Kind_ == OutcomeKind::NotRun);
  // The home learns of the deletion and goes on under a new incarnation.
  REQUIRE(eventually([&] { return Home.Session_->current().has_value(); }));
  CHECK(Home.submit(Home.key("b")).Kind_ == OutcomeKind::Completed);
  CHECK(Home.submit(Key).Kind_ == OutcomeKind::NotRun);
  return All.Judge_.runs(Key);
}

} // namespace

// Guards against a key that runs again when it is sent to its home and to
// another host, and against an answer that differs between them.
TEST_CASE("a ticketed key runs once wherever it is sent") {
  Fleet All;
  Node &Home = All.start("a");
  Node &Other = All.start("b");
  std::string Key = Home.key();
  std::vector<std::future<RequestOutcome>> Answers;
  for (Node *At : {&Home, &Other, &Home, &Other})
    Answers.push_back(submitLater(*At, Key));
  for (auto &Answer : Answers) {
    RequestOutcome Outcome = Answer.get();
    CHECK(Outcome.Kind_ == OutcomeKind::Completed);
    CHECK(Outcome.Body_ == Judge::answerTo("{}"));
  }
  CHECK(All.Judge_.runs(Key) == 1);
}

// Guards against running, or answering with, another request's key.
TEST_CASE("a key belongs to one account, service and content") {
  Fleet All;
  Node &Home = All.start("a");
  Node &Other = All.start("b");
  std::string Key = GENERATE(false, true) ? "plain" : Home.key();
  REQUIRE(Home.submit(Key).Kind_ == OutcomeKind::Completed);
  for (Node *At : {&Home, &Other}) {
    RequestOutcome Outcome = At->submit(Key, "{\"other\":1}");
    CHECK(Outcome.Kind_ == OutcomeKind::Unknown);
    CHECK(Outcome.Status_ == 409);
    RequestOutcome Foreign =
        At->Runner_->lookUp("orders", "rival", Key, Milliseconds(5000));
    CHECK(Foreign.Kind_ == OutcomeKind::Unknown);
    CHECK(Foreign.Body_.empty());
    RequestOutcome Own =
        At->Runner_->lookUp("orders", "guild", Key, Milliseconds(5000));
    CHECK(Own.Kind_ == OutcomeKind::Completed);
  }
  CHECK(All.Judge_.runs(Key) == 1);
  auto Rival = makeRequest(Key, "{\"rival\":1}", Milliseconds(5000));
  Rival.Account_ = "rival";
  CHECK(Other.Runner_->submit(Rival).Body_ == Judge::answerTo("{\"rival\":1}"));
}

// Guards against accepting keys that do not fit in URLs and headers, and
// against taking a forged ticket for a plain key.
TEST_CASE("malformed keys are refused without running") {
  Fleet All;
  Node &Home = All.start("a");
  for (const std::string &Key :
       {std::string(), std::string("a/b"), std::string(400, 'x')}) {
    RequestOutcome Outcome = Home.submit(Key);
    CHECK(Outcome.Kind_ == OutcomeKind::NotRun);
    CHECK(Outcome.Status_ == 400);
  }
  CHECK(Home.submit("t1~abc~def.x").Kind_ == OutcomeKind::Unknown);
  CHECK(All.Judge_.records().empty());
}

// Guards against losing what a dead home recorded, and against `not_run` for
// an intent that may have run.
TEST_CASE("survivors answer for a dead home from its journal") {
  Fleet All;
  Node &Home = All.start("a");
  Node &First = All.start("b");
  Node &Second = All.start("c");
  std::string Recorded = Home.key("recorded");
  std::string Started = Home.key("started");
  std::string Unseen = Home.key("unseen");
  REQUIRE(Home.submit(Recorded).Kind_ == OutcomeKind::Completed);
  // The outcome is written without another request.
  REQUIRE(eventually(
      [&] { return All.Store_.count("/amaranth/journal/a/") >= 2; }));
  Gate Running;
  Home.DispatchHook_ = [&] {
    Running.wait();
    return std::nullopt;
  };
  auto Interrupted = submitLater(Home, Started);
  Running.waitArrived();
  All.kill(Home);
  // One of two survivors loses the reply to its deletion of the session.
  First.Store_.setHook([](const protocol::Transaction *Request) {
    return Request ? Fault::LoseReply : Fault::None;
  });
  std::vector<std::future<RequestOutcome>> Answers;
  for (Node *At : {&First, &Second})
    Answers.push_back(submitLater(*At, Unseen));
  for (auto &Answer : Answers)
    CHECK(Answer.get().Kind_ == OutcomeKind::NotRun);
  for (Node *At : {&First, &Second}) {
    CHECK(At->submit(Started).Kind_ == OutcomeKind::Unknown);
    CHECK(At->submit(Recorded, "{\"x\":1}").Status_ == 409);
    RequestOutcome Outcome = At->submit(Recorded);
    CHECK(Outcome.Kind_ == OutcomeKind::Completed);
    CHECK(Outcome.Body_ == Judge::answerTo("{}"));
  }
  Running.open();
  Interrupted.get();
  CHECK(All.Store_.count("/amaranth/sessions/a/") == 0);
}

// Guards against a late append of a home that survivors have replaced. The
// naive append shows that the scenario detects it.
TEST_CASE("an append in flight fails after a survivor answered not_run") {
  CHECK(runsAfterFrozenAppend(false) == 0);
  CHECK(runsAfterFrozenAppend(true) == 1);
}

// Guards against `not_run` from a survivor while the home is paused between a
// successful append and the dispatch.
TEST_CASE("a home frozen before the dispatch leaves the key unknown") {
  Fleet All;
  Gate Frozen;
  auto Settings = Fleet::settings();
  Settings.BeforeDispatch_ = [&] { Frozen.wait(); };
  Node &Home = All.start("a", Settings);
  Node &Survivor = All.start("b");
  std::string Key = Home.key();
  auto Answer = submitLater(Home, Key);
  Frozen.waitArrived();
  Home.Reachable_ = false;
  All.Members_.setStatus("a", MemberStatus::Dead);
  CHECK(Survivor.submit(Key).Kind_ == OutcomeKind::Unknown);
  Frozen.open();
  CHECK(Answer.get().Kind_ == OutcomeKind::Completed);
  CHECK(All.Judge_.runs(Key) == 1);
  // The home is back under a new incarnation and still knows the answer.
  Home.Reachable_ = true;
  CHECK(Home.submit(Home.key("b")).Kind_ == OutcomeKind::NotRun);
  REQUIRE(eventually([&] { return Home.Session_->current().has_value(); }));
  CHECK(Survivor.submit(Key).Kind_ == OutcomeKind::Completed);
  CHECK(All.Judge_.runs(Key) == 1);
}

// Guards against running a key whose append was given up, when the write
// arrives late or its repetition succeeds.
TEST_CASE("an append that timed out is not_run for good") {
  Fleet All;
  Node &Home = All.start("a");
  Node &Survivor = All.start("b");
  std::string Key = Home.key();
  Home.Store_.setHook([](const protocol::Transaction *Request) {
    return isAppend(Request) ? Fault::DelayEffect : Fault::None;
  });
  CHECK(Home.submit(Key, "{}", Milliseconds(100)).Kind_ == OutcomeKind::NotRun);
  Home.Store_.setHook(nullptr);
  All.Store_.releaseDelayed();
  // The outcome of the refusal follows the late intent.
  REQUIRE(eventually(
      [&] { return All.Store_.count("/amaranth/journal/a/") >= 2; }));
  for (Node *At : {&Home, &Survivor})
    CHECK(At->submit(Key).Kind_ == OutcomeKind::NotRun);
  All.kill(Home);
  CHECK(Survivor.submit(Key).Kind_ == OutcomeKind::NotRun);
  CHECK(All.Judge_.runs(Key) == 0);
}

// Guards against two records, or a false refusal, after a lost reply.
TEST_CASE("a lost reply to an append repeats the same write") {
  Fleet All;
  Node &Home = All.start("a");
  std::string Key = Home.key();
  std::mutex Mutex;
  std::vector<std::string> Writes;
  auto First = faultFirstAppend(Fault::LoseReply);
  Home.Store_.setHook([&, First](const protocol::Transaction *Request) {
    std::lock_guard Lock(Mutex);
    if (isAppend(Request))
      Writes.push_back(Request->Writes_[0].Key_ + Request->Writes_[0].Value_);
    return First(Request);
  });
  CHECK(Home.submit(Key).Kind_ == OutcomeKind::Completed);
  std::lock_guard Lock(Mutex);
  REQUIRE(Writes.size() >= 2);
  CHECK(Writes[0] == Writes[1]);
  CHECK(All.Judge_.runs(Key) == 1);
}

// Guards against refusing, or running, what cannot be recorded, and against
// volatile tickets while the service is there.
TEST_CASE("an outage refuses journaled keys and allows volatile ones") {
  Fleet All;
  Node &Home = All.start("a");
  Node &Other = All.start("b");
  std::string Journaled = Home.key("j");
  std::string Early = Home.key("e", true);
  CHECK(Early.substr(0, 5) == Journaled.substr(0, 5));
  Home.Store_.setHook(outage());
  Other.Store_.setHook(outage());
  CHECK(Home.submit(Journaled).Kind_ == OutcomeKind::NotRun);
  std::string Volatile = Home.key("v", true);
  auto Class = capture([&] {
    return Home.Runner_->tickets().check(
        Volatile.substr(0, Volatile.find('.')));
  });
  REQUIRE(Class);
  CHECK(Class->Class_ == TicketClass::Volatile);
  CHECK(Other.submit(Volatile).Kind_ == OutcomeKind::Completed);
  // A plain key may have run at another host before the outage.
  CHECK(Home.submit("plain").Kind_ == OutcomeKind::Unknown);
  All.kill(Home);
  CHECK(Other.submit(Journaled).Kind_ == OutcomeKind::Unknown);
  Other.Store_.setHook(nullptr);
  CHECK(Other.submit(Journaled).Kind_ == OutcomeKind::NotRun);
  CHECK(Other.submit(Volatile).Kind_ == OutcomeKind::Unknown);
  CHECK(Other.submit(Volatile + "2").Kind_ == OutcomeKind::Unknown);
  CHECK(All.Judge_.runs(Journaled) == 0);
  CHECK(All.Judge_.runs(Volatile) == 1);
}

// Guards against refusing a key, or ending a session, for a home that is only
// cut off from this host.
TEST_CASE("an unreachable home that is not dead leaves the key unknown") {
  Fleet All;
  Node &Home = All.start("a");
  Node &Other = All.start("b");
  std::string Key = Home.key();
  auto Status = GENERATE(MemberStatus::Alive, MemberStatus::Suspect,
                         MemberStatus::Draining);
  All.Members_.setStatus("a", Status);
  Home.Reachable_ = false;
  RequestOutcome Outcome = Other.submit(Key);
  CHECK(Outcome.Kind_ == OutcomeKind::Unknown);
  CHECK(Outcome.HomeAddress_ == "caller:a");
  CHECK(All.Store_.count("/amaranth/sessions/a/") == 1);
  CHECK(Home.submit(Key).Kind_ == OutcomeKind::Completed);
}

// Guards against running a request that reaches the home after a survivor
// answered for it.
TEST_CASE("a forward that arrives late does not run") {
  Fleet All;
  Node &Home = All.start("a");
  Node &Other = All.start("b");
  std::string Key = Home.key();
  Other.PeerHook_ = [] { return Fault::DelayEffect; };
  CHECK(Other.submit(Key).Kind_ == OutcomeKind::Unknown);
  Home.Reachable_ = false;
  All.Members_.setStatus("a", MemberStatus::Dead);
  CHECK(Other.submit(Key).Kind_ == OutcomeKind::NotRun);
  All.releaseForwards();
  All.joinForwards();
  CHECK(All.Judge_.runs(Key) == 0);
}

// Guards against a restarted host that takes its predecessor's tickets for its
// own.
TEST_CASE("a new process of the host answers for its predecessor") {
  Fleet All;
  Node &Old = All.start("a");
  Node &Other = All.start("b");
  std::string Key = Old.key("done");
  std::string Unseen = Old.key("unseen");
  REQUIRE(Old.submit(Key).Kind_ == OutcomeKind::Completed);
  Old.Runner_->stop(EventLimit);
  All.kill(Old);
  Node &New = All.start("a");
  for (Node *At : {&New, &Other}) {
    CHECK(At->submit(Unseen).Kind_ == OutcomeKind::NotRun);
    CHECK(At->submit(Key).Kind_ == OutcomeKind::Completed);
  }
  CHECK(All.Judge_.runs(Key) == 1);
  CHECK(All.Judge_.runs(Unseen) == 0);
}

// Guards against lost work and false refusals at a regular stop.
TEST_CASE("a stopping home ends running requests and refuses new ones") {
  Fleet All;
  Node &Home = All.start("a");
  Node &Other = All.start("b");
  std::string Running = Home.key("running");
  std::string Late = Home.key("late");
  Gate Busy;
  std::atomic<bool> First{true};
  Home.DispatchHook_ = [&] {
    if (First.exchange(false))
      Busy.wait();
    return std::nullopt;
  };
  auto Answer = submitLater(Home, Running);
  Busy.waitArrived();
  Home.Runner_->drain();
  CHECK_FALSE(capture([&] { return Home.Runner_->issueTicket(true); }));
  auto Stopped = std::async(std::launch::async,
                            [&] { return Home.Runner_->stop(EventLimit); });
  // Keys of their own tell when the home has begun to refuse.
  int Tries = 0;
  REQUIRE(eventually([&] {
    auto Probe = Home.submit(Late + std::to_string(++Tries));
    return Probe.Kind_ == OutcomeKind::NotRun;
  }));
  CHECK(Home.submit(Late).Kind_ == OutcomeKind::NotRun);
  Busy.open();
  CHECK(Answer.get().Kind_ == OutcomeKind::Completed);
  CHECK(Stopped.get());
  All.kill(Home, false);
  All.Members_.setStatus("a", MemberStatus::Draining);
  CHECK(Other.submit(Running).Kind_ == OutcomeKind::Completed);
  CHECK(Other.submit(Late).Kind_ == OutcomeKind::NotRun);
}

// Guards against false refusals when clocks differ: only the home's clock ends
// a ticket, and `not_run` is not said once the key may be forgotten.
TEST_CASE("a ticket expires by the clock of its home") {
  Fleet All;
  auto Clock = std::make_shared<std::atomic<std::int64_t>>(1000000);
  auto Settings = Fleet::settings();
  Settings.TicketClock_ = [=] { return Milliseconds(Clock->load()); };
  Node &Home = All.start("a", Settings);
  Settings.TicketClock_ = [] { return Milliseconds(1LL << 50); };
  Node &Ahead = All.start("b", Settings);
  std::string Key = Home.key("ok");
  std::string Expired = Home.key("expired");
  CHECK(Ahead.submit(Key).Kind_ == OutcomeKind::Completed);
  *Clock += 600001;
  CHECK(Ahead.submit(Expired).Kind_ == OutcomeKind::NotRun);
  CHECK(Ahead.submit(Key).Kind_ == OutcomeKind::Completed);
  *Clock += 600001;
  CHECK(Ahead.submit(Expired).Kind_ == OutcomeKind::Unknown);
  CHECK(Ahead.submit(Key).Kind_ == OutcomeKind::Unknown);
  CHECK(All.Judge_.runs(Key) == 1);
  CHECK(All.Judge_.runs(Expired) == 0);
}

// Guards against `not_run` for an intent that the janitor has deleted.
TEST_CASE("a deleted journal leaves its keys unknown") {
  Fleet All;
  Node &Home = All.start("a");
  Node &Survivor = All.start("b");
  std::string Key = Home.key();
  REQUIRE(Home.submit(Key).Kind_ == OutcomeKind::Completed);
  REQUIRE(eventually(
      [&] { return All.Store_.count("/amaranth/journal/a/") >= 2; }));
  std::uint64_t Incarnation = Home.Session_->incarnation();
  auto Deleted = capture([&] {
    return Journal::deleteOldSegments(Survivor.Store_, "a", Incarnation, ~0ULL,
                                      100, Milliseconds(100));
  });
  REQUIRE(Deleted);
  CHECK(*Deleted >= 2);
  All.kill(Home);
  CHECK(Survivor.submit(Key).Kind_ == OutcomeKind::Unknown);
  Node &Third = All.start("c");
  CHECK(capture([&] {
    return Journal::deleteClosed(Survivor.Store_, "a", Incarnation,
                                 Milliseconds(100));
  }));
  CHECK(Third.submit(Key).Kind_ == OutcomeKind::Unknown);
}

// Guards against answers after the caller's timeout, with a key-value service
// that accepts calls and never answers.
TEST_CASE("every path answers within the timeout of the request") {
  std::size_t Case = GENERATE(0u, 1u, 2u);
  Fleet All;
  auto Settings = Fleet::settings();
  Settings.Journal_.CallTimeout_ = Milliseconds(3000);
  Settings.Claims_.CallTimeout_ = Milliseconds(3000);
  Settings.ClosedJournals_.CallTimeout_ = Milliseconds(3000);
  Node &Home = All.start("a", Settings);
  Node &Other = All.start("b");
  std::string Key = Home.key("a");
  std::string Dead = Other.key("b");
  All.kill(Other);
  Home.Store_.setHook(
      [](const protocol::Transaction *) { return Fault::Hang; });
  std::string Text = std::vector<std::string>{Key, Dead, "p"}[Case];
  auto Expected = Case == 0 ? OutcomeKind::NotRun : OutcomeKind::Unknown;
  SteadyTime Start = SteadyClock::now();
  CHECK(Home.submit(Text, "{}", Milliseconds(400)).Kind_ == Expected);
  // The bound leaves room for a busy machine; one call that was not cut to
  // the timeout of the request would exceed it.
  CHECK(SteadyClock::now() - Start < Milliseconds(2500));
}

// Guards against running again what a target or admission refused.
TEST_CASE("a refusal at the home is final for a ticketed key") {
  Fleet All;
  auto Settings = Fleet::settings();
  Settings.Admission_ = [](const protocol::ForwardedRequest &Request) {
    std::optional<RequestOutcome> Refused;
    if (Request.Body_ == "\"refuse\"")
      Refused.emplace().Kind_ = OutcomeKind::NotRun;
    return Refused;
  };
  Node &Home = All.start("a", Settings);
  std::string Key = Home.key("a");
  std::string Refused = Home.key("b");
  std::atomic<bool> Busy{true};
  Home.DispatchHook_ = [&] {
    std::optional<RequestOutcome> Outcome;
    if (Busy)
      Outcome.emplace().Kind_ = OutcomeKind::NotRun;
    return Outcome;
  };
  CHECK(Home.submit(Key).Kind_ == OutcomeKind::NotRun);
  CHECK(Home.submit("plain").Kind_ == OutcomeKind::NotRun);
  Busy = false;
  CHECK(Home.submit(Key).Kind_ == OutcomeKind::NotRun);
  CHECK(Home.submit("plain").Kind_ == OutcomeKind::Completed);
  CHECK(Home.submit(Refused, "\"refuse\"").Kind_ == OutcomeKind::NotRun);
  CHECK(Home.submit(Refused, "\"refuse\"").Kind_ == OutcomeKind::NotRun);
  CHECK(All.Judge_.runs(Key) + All.Judge_.runs(Refused) == 0);
}

// Guards against two claimants of a plain key, and against answers for a dead
// claimant that its records do not support.
TEST_CASE("a plain key runs once at the host that claimed it") {
  Fleet All;
  Node &First = All.start("a");
  Node &Second = All.start("b");
  std::atomic<int> Lost{0};
  First.Store_.setHook([&](const protocol::Transaction *Request) {
    bool IsClaim =
        Request && Request->Writes_[0].Key_.starts_with("/amaranth/claims/");
    return IsClaim && Lost++ < 2 ? Fault::LoseReply : Fault::None;
  });
  std::vector<std::future<RequestOutcome>> Answers;
  for (Node *At : {&First, &Second, &First, &Second})
    Answers.push_back(submitLater(*At, "p"));
  for (auto &Answer : Answers)
    CHECK(Answer.get().Kind_ == OutcomeKind::Completed);
  CHECK(All.Judge_.runs("p") == 1);

  Gate Busy;
  REQUIRE(First.Session_->waitOpen(EventLimit));
  CHECK(First.submit("done").Kind_ == OutcomeKind::Completed);
  REQUIRE(First.Runner_->lookUp("orders", "guild", "done", EventLimit).Kind_ ==
          OutcomeKind::Completed);
  REQUIRE(eventually(
      [&] { return All.Store_.count("/amaranth/journal/a/") >= 1; }));
  First.DispatchHook_ = [&] {
    Busy.wait();
    return std::nullopt;
  };
  auto Interrupted = submitLater(First, "started");
  Busy.waitArrived();
  All.kill(First);
  CHECK(Second.submit("done").Kind_ == OutcomeKind::Completed);
  CHECK(Second.submit("started").Kind_ == OutcomeKind::Unknown);
  Busy.open();
  Interrupted.get();
  CHECK(All.Judge_.runs("done") == 1);
}

// Guards against unbounded claim writes, and against refusing a key that
// another host has run.
TEST_CASE("without claim budget new plain keys are refused") {
  Fleet All;
  auto Settings = Fleet::settings();
  Settings.Claims_.Burst_ = 1;
  Settings.Claims_.FleetWritesPerSecond_ = 0;
  Node &First = All.start("a", Settings);
  Node &Second = All.start("b", Settings);
  CHECK(First.submit("p").Kind_ == OutcomeKind::Completed);
  CHECK(Second.submit("q").Kind_ == OutcomeKind::Completed);
  CHECK(Second.submit("p").Kind_ == OutcomeKind::Completed);
  CHECK(Second.submit("r").Kind_ == OutcomeKind::NotRun);
  CHECK(All.Judge_.runs("p") == 1);
  CHECK(All.Judge_.runs("r") == 0);
}

// Guards against a home that runs what it cannot record while survivors answer
// for it, and against one that stays out of service afterwards.
TEST_CASE("an isolated home refuses and comes back under a new incarnation") {
  Fleet All;
  Node &Home = All.start("a");
  Node &Survivor = All.start("b");
  std::string AtHome = Home.key("a");
  std::string AtSurvivor = Home.key("b");
  std::uint64_t Before = Home.Session_->incarnation();
  Home.Reachable_ = false;
  Home.PeerHook_ = [] { return Fault::Unavailable; };
  Home.Store_.setHook(outage());
  All.Members_.setStatus("a", MemberStatus::Dead);
  CHECK(Home.submit(AtHome).Kind_ == OutcomeKind::NotRun);
  CHECK(Survivor.submit(AtSurvivor).Kind_ == OutcomeKind::NotRun);
  CHECK(Survivor.submit(AtHome).Kind_ == OutcomeKind::NotRun);
  Home.Store_.setHook(nullptr);
  // The read that finds the service again also finds the session deleted.
  REQUIRE(eventually([&] {
    auto Open = Home.Session_->current();
    return Open && Open->Incarnation_ > Before;
  }));
  CHECK(Home.submit(AtSurvivor).Kind_ == OutcomeKind::NotRun);
  CHECK(Home.submit(Home.key("c")).Kind_ == OutcomeKind::Completed);
  CHECK(All.Judge_.runs(AtHome) + All.Judge_.runs(AtSurvivor) == 0);
}

// Guards against `not_run` from a journal in which an intent may be
// unreadable.
TEST_CASE("a damaged journal leaves unseen keys unknown") {
  Fleet All;
  Node &Home = All.start("a");
  Node &Survivor = All.start("b");
  std::string Key = Home.key();
  protocol::Transaction Damage;
  Damage.Writes_.push_back(
      {protocol::Mutation::Kind::Put,
       Journal::prefixOf("a", Home.Session_->incarnation()) + "000000000009",
       "?"});
  All.Store_.commit(Damage);
  All.kill(Home);
  CHECK(Survivor.submit(Key).Kind_ == OutcomeKind::Unknown);
}
