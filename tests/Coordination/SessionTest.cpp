#include "OnceFixture.h"

#include "Coordination/Journal.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::coordination::test;

namespace {

SessionSettings makeSettings(std::uint64_t Incarnation) {
  SessionSettings Settings;
  Settings.Self_ = {"a", "dc", "caller:a", "peer:a", Incarnation};
  Settings.RetryDelay_ = Milliseconds(1);
  return Settings;
}

bool closeSession(FakeStore &Store, std::uint64_t Incarnation) {
  return Store.commit(Session::closeTransaction("a", Incarnation)).Succeeded_;
}

} // namespace

// Guards against a host that stays without a session after an outage, or that
// mistakes its own session for another one after a lost reply.
TEST_CASE("a session is created once the service answers") {
  FakeStore Store;
  StoreClient Client(Store);
  std::atomic<int> Calls{0};
  std::atomic<bool> Outage{true};
  Client.setFaultHook([&](const protocol::Transaction *) {
    ++Calls;
    if (Outage)
      return Fault::Unavailable;
    return Calls % 2 == 0 ? Fault::LoseReply : Fault::None;
  });
  Session HostSession(makeSettings(7), Client, nullptr);
  REQUIRE(eventually([&] { return Calls > 2; }));
  CHECK_FALSE(HostSession.current());
  CHECK(HostSession.isUnavailable());
  Outage = false;
  REQUIRE(HostSession.waitOpen(EventLimit));
  CHECK(HostSession.current()->Incarnation_ == 7);
  Client.setFaultHook(nullptr);
  auto StoredSessions =
      capture([&] { return Session::readSessions(Client, EventLimit); });
  REQUIRE(StoredSessions);
  REQUIRE(StoredSessions->size() == 1);
  CHECK(StoredSessions->front().PeerAddress_ == "peer:a");
  CHECK(StoredSessions->front().Incarnation_ == 7);
}

// Guards against two processes that share an incarnation and thus a journal.
TEST_CASE("a second process of the host takes a higher incarnation") {
  FakeStore Store;
  StoreClient Client(Store);
  Session First(makeSettings(7), Client, nullptr);
  REQUIRE(First.waitOpen(EventLimit));
  Session Second(makeSettings(7), Client, nullptr);
  REQUIRE(Second.waitOpen(EventLimit));
  CHECK(Second.incarnation() > 7);
}

// Guards against a home that issues tickets whose requests it cannot record.
TEST_CASE("a deleted session is opened under a new incarnation") {
  FakeStore Store;
  StoreClient Client(Store);
  Session HostSession(makeSettings(7), Client, nullptr);
  REQUIRE(HostSession.waitOpen(EventLimit));
  REQUIRE(closeSession(Store, 7));
  HostSession.reportDeleted(7);
  REQUIRE(HostSession.waitOpen(EventLimit));
  CHECK(HostSession.current()->Incarnation_ > 7);
  HostSession.reportDeleted(7);
  CHECK(HostSession.current());
  CHECK(capture([&] { return HostSession.close(EventLimit); }));
  CHECK(Store.count("/amaranth/sessions/") == 0);
  CHECK(Store.count(Journal::closedKey("a", HostSession.incarnation())) == 1);
}

// Guards against a delayed repetition of the creation that reopens a session
// after other hosts have ended it. The case without the second condition shows
// that the scenario detects this.
TEST_CASE("a delayed creation cannot reopen a closed session") {
  bool DropClosedCondition = GENERATE(false, true);
  FakeStore Store;
  StoreClient Client(Store);
  std::atomic<int> Calls{0};
  Client.setFaultHook([&](const protocol::Transaction *Request) {
    if (Calls++ > 0)
      return Fault::None;
    protocol::Transaction Delayed = *Request;
    if (DropClosedCondition)
      Delayed.Conditions_.resize(1);
    Store.delayCommit(Delayed);
    return Fault::LoseRequest;
  });
  Session HostSession(makeSettings(7), Client, nullptr);
  REQUIRE(HostSession.waitOpen(EventLimit));
  REQUIRE(closeSession(Store, 7));
  Store.releaseDelayed();
  CHECK(Store.count("/amaranth/sessions/a/7") == (DropClosedCondition ? 1 : 0));
}
