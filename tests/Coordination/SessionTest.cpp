#include "OnceFixture.h"

#include "Coordination/Journal.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;
using namespace amaranth::coordination::test;

namespace {

SessionSettings settings(std::uint64_t Incarnation) {
  SessionSettings Settings;
  Settings.Self_ = {"a", "dc", "caller:a", "peer:a", Incarnation};
  Settings.RetryDelay_ = Milliseconds(1);
  return Settings;
}

bool closeFrom(FakeStore &Store, std::uint64_t Incarnation) {
  return Store.commit(Session::closing("a", Incarnation)).Succeeded_;
}

} // namespace

// Guards against a host that stays without a session after an outage, or that
// takes a lost reply for another host's session.
TEST_CASE("a session is created once the service answers") {
  FakeStore Store;
  StoreClient Client(Store);
  std::atomic<int> Calls{0};
  std::atomic<bool> Outage{true};
  Client.setHook([&](const protocol::Transaction *) {
    ++Calls;
    if (Outage)
      return Fault::Unavailable;
    return Calls % 2 == 0 ? Fault::LoseReply : Fault::None;
  });
  Session Mine(settings(7), Client, nullptr);
  REQUIRE(eventually([&] { return Calls > 2; }));
  CHECK_FALSE(Mine.current());
  CHECK(Mine.isUnavailable());
  Outage = false;
  REQUIRE(Mine.waitOpen(EventLimit));
  CHECK(Mine.current()->Incarnation_ == 7);
  Client.setHook(nullptr);
  auto Listed =
      capture([&] { return Session::readSessions(Client, EventLimit); });
  REQUIRE(Listed);
  REQUIRE(Listed->size() == 1);
  CHECK(Listed->front().PeerAddress_ == "peer:a");
  CHECK(Listed->front().Incarnation_ == 7);
}

// Guards against two processes that share an incarnation, and so a journal.
TEST_CASE("a second process of the host takes a higher incarnation") {
  FakeStore Store;
  StoreClient Client(Store);
  Session First(settings(7), Client, nullptr);
  REQUIRE(First.waitOpen(EventLimit));
  Session Second(settings(7), Client, nullptr);
  REQUIRE(Second.waitOpen(EventLimit));
  CHECK(Second.incarnation() > 7);
}

// Guards against a home that keeps issuing tickets nobody can record.
TEST_CASE("a deleted session is opened under a new incarnation") {
  FakeStore Store;
  StoreClient Client(Store);
  Session Mine(settings(7), Client, nullptr);
  REQUIRE(Mine.waitOpen(EventLimit));
  REQUIRE(closeFrom(Store, 7));
  Mine.reportDeleted(7);
  REQUIRE(Mine.waitOpen(EventLimit));
  CHECK(Mine.current()->Incarnation_ > 7);
  Mine.reportDeleted(7);
  CHECK(Mine.current());
  CHECK(capture([&] { return Mine.close(EventLimit); }));
  CHECK(Store.count("/amaranth/sessions/") == 0);
  CHECK(Store.count(Journal::closedKeyOf("a", Mine.incarnation())) == 1);
}

// Guards against a delayed repetition of the creation that opens a session
// again after survivors have answered for it. Without the second condition it
// does.
TEST_CASE("a delayed creation cannot reopen a closed session") {
  bool Naive = GENERATE(false, true);
  FakeStore Store;
  StoreClient Client(Store);
  std::atomic<int> Calls{0};
  Client.setHook([&](const protocol::Transaction *Request) {
    if (Calls++ > 0)
      return Fault::None;
    protocol::Transaction Late = *Request;
    if (Naive)
      Late.Conditions_.resize(1);
    Store.delay(Late);
    return Fault::LoseRequest;
  });
  Session Mine(settings(7), Client, nullptr);
  REQUIRE(Mine.waitOpen(EventLimit));
  REQUIRE(closeFrom(Store, 7));
  Store.releaseDelayed();
  CHECK(Store.count("/amaranth/sessions/a/7") == (Naive ? 1 : 0));
}
