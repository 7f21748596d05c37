#include "Integration/Eventually.h"
#include "Integration/OrderFixture.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

const std::string JournalPrefix = "/amaranth/journal/";

/// Makes the key-value service leave all calls unanswered and without effect.
/// The calls fail when this object is destroyed.
class KeyValueHang final {
public:
  explicit KeyValueHang(OrderFixture &Fixture) : Fixture_(Fixture) {
    Fixture_.keyValue().setSwitches({{"hang", true}});
  }
  ~KeyValueHang() { Fixture_.keyValue().setSwitches({{"hang", false}}); }
  KeyValueHang(const KeyValueHang &) = delete;
  KeyValueHang &operator=(const KeyValueHang &) = delete;

private:
  OrderFixture &Fixture_;
};

/// Sends the order to hosts 1 and 2 at once, after host 0 has failed.
std::pair<OrderAnswer, OrderAnswer> sendToSurvivors(OrderFixture &Fixture,
                                                    const Order &Sent) {
  auto First = Fixture.sendAsync(1, Sent);
  auto Second = Fixture.sendAsync(2, Sent);
  return {First.get(), Second.get()};
}

void killHome(OrderFixture &Fixture) {
  Fixture.fleet().kill(0);
  Fixture.fleet().waitMemberStatus({1, 2}, 0, "dead");
}

} // namespace

// Control for this file: the check detects a second execution. A caller without
// an idempotency key resends its order after a lost reply.
TEST_CASE("without an idempotency key a lost reply makes an order run twice",
          "[proof][once][counterpart]") {
  StandinProcess Service("service", {"--service-us=500"});
  Service.setSwitches({{"drop_replies", 1}});
  CHECK(placeDirectly(Service.address(), "order-1", Seconds{5}) == 0);
  CHECK(placeDirectly(Service.address(), "order-1", Seconds{5}) == 200);
  OrderHistory Placed;
  Placed.Id_ = "order-1";
  CHECK(ExecutionRecord(Service, 1).check({Placed}).Duplicated_ == 1);
}

// Control for this file: with the call declared idempotent, the same fleet runs
// an order again after a lost reply.
TEST_CASE("a call declared idempotent runs twice after a lost reply",
          "[proof][once][counterpart]") {
  OrderFixtureSettings Settings;
  Settings.Fleet_.Daemons_ = 1;
  Settings.Idempotent_ = true;
  OrderFixture Fixture(Settings);
  Fixture.services().setSwitches({{"drop_replies", 1}}, 0);
  Fixture.services().setSwitches({{"drop_replies", 1}}, 1);
  CHECK(Fixture.send(0, Fixture.makePlainOrder()).Outcome_ == "completed");
  CHECK(Fixture.checkOrders().Duplicated_ == 1);
}

// Guards against an order that runs after the surviving hosts answered
// `not_run`, and against the answer `unknown` although the journal has no
// intent for the order.
TEST_CASE("an order whose home dies before dispatch never runs",
          "[proof][once][kill]") {
  OrderFixture Fixture;
  Order Placed = Fixture.makeTicketedOrder(0);
  std::future<OrderAnswer> Unanswered;
  {
    KeyValueHang Hang(Fixture);
    Unanswered = Fixture.sendAsync(0, Placed);
    REQUIRE(Fixture.waitInFlight(0, 1));
    Fixture.fleet().kill(0);
  }
  CHECK(Unanswered.get().Outcome_ == "no_reply");
  CHECK(Fixture.resend(1, Placed).Outcome_ == "not_run");
  auto [First, Second] = sendToSurvivors(Fixture, Placed);
  CHECK(First.Outcome_ == "not_run");
  CHECK(Second.Outcome_ == "not_run");
  Fixture.restart(0);
  CHECK(Fixture.resend(0, Placed).Outcome_ == "not_run");
  REQUIRE(Fixture.waitIdle({0, 1, 2}));
  CHECK(Fixture.checkOrders().violations() == 0);
  CHECK(Fixture.executionCount(Placed) == 0);
}

// Guards against a second execution when the home (the daemon incarnation that
// alone may run the key) dies while a target executes the order.
TEST_CASE("an order whose home dies during dispatch runs once",
          "[proof][once][kill]") {
  OrderFixture Fixture;
  Fixture.setServiceSwitches({{"delay_ms", 1000}});
  Order Placed = Fixture.makeTicketedOrder(0);
  auto Unanswered = Fixture.sendAsync(0, Placed);
  REQUIRE(eventually([&] { return Fixture.pendingCalls() == 1; }));
  Fixture.fleet().kill(0);
  CHECK(Unanswered.get().Outcome_ == "no_reply");
  CHECK(Fixture.send(1, Placed).Outcome_ == "unknown");
  Fixture.fleet().waitMemberStatus({1, 2}, 0, "dead");
  auto [First, Second] = sendToSurvivors(Fixture, Placed);
  CHECK(First.Outcome_ == "unknown");
  CHECK(Second.Outcome_ == "unknown");
  REQUIRE(Fixture.waitIdle({1, 2}));
  CHECK(Fixture.executionCount(Placed) == 1);
  CHECK(Fixture.checkOrders().violations() == 0);
}

// Guards against a second execution when the home dies after the effect and
// before the target's reply.
TEST_CASE("an order whose home dies after the effect runs once",
          "[proof][once][kill]") {
  OrderFixture Fixture;
  Fixture.setServiceSwitches({{"late_ms", 5000}});
  Order Placed = Fixture.makeTicketedOrder(0);
  auto Unanswered = Fixture.sendAsync(0, Placed);
  REQUIRE(eventually([&] { return Fixture.executionCount(Placed) == 1; }));
  killHome(Fixture);
  CHECK(Unanswered.get().Outcome_ == "no_reply");
  auto [First, Second] = sendToSurvivors(Fixture, Placed);
  CHECK(First.Outcome_ == "unknown");
  CHECK(Second.Outcome_ == "unknown");
  Fixture.restart(0);
  CHECK(Fixture.send(0, Placed).Outcome_ == "unknown");
  REQUIRE(Fixture.waitIdle({0, 1, 2}));
  CHECK(Fixture.executionCount(Placed) == 1);
  CHECK(Fixture.checkOrders().violations() == 0);
}

// Guards against a recorded outcome that is lost when its home dies.
TEST_CASE("a recorded outcome survives its home", "[proof][once][kill]") {
  OrderFixture Fixture;
  Order Placed = Fixture.makeTicketedOrder(0);
  CHECK(Fixture.send(0, Placed).Outcome_ == "completed");
  REQUIRE(eventually(
      [&] { return Fixture.fleet().countKeys(JournalPrefix) >= 2; }));
  killHome(Fixture);
  auto [First, Second] = sendToSurvivors(Fixture, Placed);
  CHECK(First.Outcome_ == "completed");
  CHECK(Second.Outcome_ == "completed");
  CHECK(Fixture.executionCount(Placed) == 1);
  CHECK(Fixture.checkOrders().violations() == 0);
}

// Guards against a frozen home that resumes and dispatches an order after
// another host has answered `not_run` for its key.
TEST_CASE("a home frozen before its append does not run a refused order",
          "[proof][once][freeze]") {
  OrderFixture Fixture;
  Order Placed = Fixture.makeTicketedOrder(0);
  std::future<OrderAnswer> HomeAnswer;
  {
    KeyValueHang Hang(Fixture);
    HomeAnswer = Fixture.sendAsync(0, Placed);
    REQUIRE(Fixture.waitInFlight(0, 1));
    Fixture.fleet().daemon(0).process().stop();
  }
  Fixture.fleet().waitMemberStatus({1, 2}, 0, "dead");
  CHECK(Fixture.resend(1, Placed).Outcome_ == "not_run");
  CHECK(Fixture.resend(2, Placed).Outcome_ == "not_run");
  Fixture.fleet().daemon(0).process().resume();
  CHECK(HomeAnswer.get().Outcome_ == "not_run");
  Fixture.fleet().waitMemberStatus({1, 2}, 0, "alive");
  CHECK(Fixture.resend(0, Placed).Outcome_ == "not_run");
  REQUIRE(Fixture.waitIdle({0, 1, 2}));
  CHECK(Fixture.executionCount(Placed) == 0);
  CHECK(Fixture.checkOrders().violations() == 0);
}

// Guards against a surviving host that answers `not_run` although the intent of
// the frozen home is in the journal, so that the home may still dispatch.
TEST_CASE("a home frozen after its append leaves the order unknown",
          "[proof][once][freeze]") {
  OrderFixture Fixture;
  Order Placed = Fixture.makeTicketedOrder(0);
  Fixture.setServiceSwitches({{"delay_ms", 300}});
  auto HomeAnswer = Fixture.sendAsync(0, Placed);
  REQUIRE(eventually(
      [&] { return Fixture.fleet().countKeys(JournalPrefix) >= 1; }));
  Fixture.fleet().daemon(0).process().stop();
  Fixture.fleet().waitMemberStatus({1, 2}, 0, "dead");
  auto [FirstAnswer, SecondAnswer] = sendToSurvivors(Fixture, Placed);
  CHECK(FirstAnswer.Outcome_ == "unknown");
  CHECK(SecondAnswer.Outcome_ == "unknown");
  Fixture.fleet().daemon(0).process().resume();
  HomeAnswer.get();
  REQUIRE(Fixture.waitIdle({0, 1, 2}));
  CHECK(Fixture.executionCount(Placed) <= 1);
  CHECK(Fixture.checkOrders().violations() == 0);
}

// Guards against a second intent, a lost order or a second claim when a write
// took effect but its reply was lost.
TEST_CASE("a lost reply of a key-value write does not double an order",
          "[proof][once][key-value]") {
  OrderFixture Fixture;
  std::string Prefix;
  Order Placed;
  SECTION("of the journal") {
    Prefix = JournalPrefix;
    Placed = Fixture.makeTicketedOrder(0);
  }
  SECTION("of a claim") {
    Prefix = "/amaranth/claims/";
    Placed = Fixture.makePlainOrder();
  }
  Fixture.keyValue().put("/standin/lost-replies",
                         {{"key_prefix", Prefix}, {"count", 2}});
  auto First = Fixture.sendAsync(0, Placed);
  auto Second = Fixture.sendAsync(1, Placed);
  First.get();
  Second.get();
  CHECK(Fixture.resend(2, Placed).Outcome_ == "completed");
  CHECK(Fixture.keyValue().get("/standin/lost-replies")["count"] < 2);
  REQUIRE(Fixture.waitIdle({0, 1, 2}));
  CHECK(Fixture.executionCount(Placed) == 1);
  CHECK(Fixture.checkOrders().violations() == 0);
}

// Guards against a journaled order that runs without a recorded intent, and
// against an order that runs after the outage although `not_run` was answered.
TEST_CASE("an order with a ticket that an outage prevented never runs",
          "[proof][once][key-value]") {
  OrderFixture Fixture;
  Order Placed = Fixture.makeTicketedOrder(0);
  Order Plain = Fixture.makePlainOrder();
  Plain.Timeout_ = Seconds{1};
  Fixture.keyValue().setSwitches({{"outage", true}});
  Placed.Timeout_ = Seconds{1};
  CHECK(Fixture.send(0, Placed).Outcome_ == "not_run");
  OrderAnswer PlainAnswer = Fixture.send(1, Plain);
  CAPTURE(PlainAnswer.Body_.dump());
  CHECK_FALSE(PlainAnswer.Outcome_ == "completed");
  CHECK(Fixture.executionCount(Plain) == 0);
  Fixture.keyValue().setSwitches({{"outage", false}});
  CHECK(Fixture.resend(1, Placed).Outcome_ == "not_run");
  CHECK(eventually([&] { // A plain key may be resent after not_run.
    return Fixture.send(2, Plain).Outcome_ == "completed";
  }));
  REQUIRE(Fixture.waitIdle({0, 1, 2}));
  CHECK(Fixture.executionCount(Placed) == 0);
  CHECK(Fixture.executionCount(Plain) == 1);
  CHECK(Fixture.checkOrders().violations() == 0);
}

// Guards against a second execution, and against a wrong `not_run`, when the
// key-value service does not answer for a part of a request or for longer than
// the request.
TEST_CASE("an order survives a silent key-value service",
          "[proof][once][key-value]") {
  OrderFixture Fixture;
  Order Placed = Fixture.makeTicketedOrder(0);
  SECTION("for a part of the request") {
    std::future<OrderAnswer> First;
    {
      KeyValueHang Hang(Fixture);
      First = Fixture.sendAsync(0, Placed);
      REQUIRE(Fixture.waitInFlight(0, 1));
    }
    CHECK(First.get().Outcome_ == "completed");
    CHECK(Fixture.send(1, Placed).Outcome_ == "completed");
    CHECK(Fixture.executionCount(Placed) == 1);
  }
  SECTION("for longer than the request") {
    Placed.Timeout_ = Milliseconds{400};
    {
      KeyValueHang Hang(Fixture);
      CHECK(Fixture.send(0, Placed).Outcome_ == "not_run");
    }
    Placed.Timeout_ = Seconds{5};
    CHECK(Fixture.send(0, Placed).Outcome_ == "not_run");
    CHECK(Fixture.send(1, Placed).Outcome_ == "not_run");
    REQUIRE(Fixture.waitIdle({0, 1, 2}));
    CHECK(Fixture.executionCount(Placed) == 0);
  }
  CHECK(Fixture.checkOrders().violations() == 0);
}

// Guards against a plain key that runs twice or never when an unresponsive
// key-value service delays its claim.
TEST_CASE("a plain key survives a silent key-value service",
          "[proof][once][key-value]") {
  OrderFixture Fixture;
  Order Placed = Fixture.makePlainOrder();
  Milliseconds Timeout = Placed.Timeout_;
  SECTION("for a part of the request") {
    std::future<OrderAnswer> First;
    {
      KeyValueHang Hang(Fixture);
      First = Fixture.sendAsync(0, Placed);
      REQUIRE(Fixture.waitInFlight(0, 1));
    }
    First.get();
  }
  SECTION("for longer than the request") {
    KeyValueHang Hang(Fixture);
    Placed.Timeout_ = Milliseconds{400};
    CHECK_FALSE(Fixture.send(0, Placed).Outcome_ == "completed");
    CHECK(Fixture.executionCount(Placed) == 0);
  }
  Placed.Timeout_ = Timeout;
  CHECK(eventually([&] { // A plain key may be resent after not_run.
    return Fixture.send(1, Placed).Outcome_ == "completed";
  }));
  CHECK(Fixture.send(2, Placed).Outcome_ == "completed");
  REQUIRE(Fixture.waitIdle({0, 1, 2}));
  CHECK(Fixture.executionCount(Placed) == 1);
  CHECK(Fixture.checkOrders().violations() == 0);
}

// Guards against the answer `not_run` for a volatile key, which is in no
// journal, after its home has died.
TEST_CASE("a volatile order whose home dies stays unknown",
          "[proof][once][key-value]") {
  OrderFixtureSettings Settings;
  Settings.AllowVolatile_ = true;
  OrderFixture Fixture(Settings);
  OrderCaller Caller;
  Fixture.keyValue().setSwitches({{"outage", true}});
  // A host without traffic detects the outage when its first order fails.
  REQUIRE(eventually([&] {
    if (Caller.requestTicket(Fixture.host(0)).Class_ == "volatile")
      return true;
    Order RefusedOrder = Fixture.makeTicketedOrder(0);
    RefusedOrder.Timeout_ = Milliseconds{500};
    Fixture.send(0, RefusedOrder);
    return false;
  }));
  Order ExecutedOrder = Fixture.makeTicketedOrder(0);
  Order UnsentOrder = Fixture.makeTicketedOrder(0);
  CHECK(Fixture.send(1, ExecutedOrder).Outcome_ == "completed");
  CHECK(Fixture.send(2, ExecutedOrder).Outcome_ == "completed");
  killHome(Fixture);
  CHECK(Fixture.send(1, ExecutedOrder).Outcome_ == "unknown");
  CHECK(Fixture.send(1, UnsentOrder).Outcome_ == "unknown");
  Fixture.keyValue().setSwitches({{"outage", false}});
  CHECK(Fixture.send(2, ExecutedOrder).Outcome_ == "unknown");
  CHECK(Fixture.executionCount(ExecutedOrder) == 1);
  CHECK(Fixture.executionCount(UnsentOrder) == 0);
  CHECK(Fixture.checkOrders().violations() == 0);
}

// Guards against volatile tickets for a service that does not allow them.
TEST_CASE("a service without volatile tickets issues none in an outage",
          "[proof][once][key-value]") {
  OrderFixture Fixture;
  OrderCaller Caller;
  Fixture.keyValue().setSwitches({{"outage", true}});
  Order Placed = Fixture.makePlainOrder();
  Placed.Timeout_ = Seconds{1};
  Fixture.send(0, Placed);
  CHECK_FALSE(Caller.requestTicket(Fixture.host(0)).Class_ == "volatile");
}

// Guards against a second call, and against any answer but `unknown`, when the
// target does not reply.
TEST_CASE("an order without a reply of the target is unknown",
          "[proof][once][target]") {
  OrderFixture Fixture;
  int Executions = 1;
  SECTION("silent before the effect") {
    Fixture.setServiceSwitches({{"silent", -1}});
    Executions = 0;
  }
  SECTION("silent after the effect") {
    Fixture.setServiceSwitches({{"silent_after", -1}});
  }
  SECTION("cut after the effect") {
    Fixture.setServiceSwitches({{"drop_replies", -1}});
  }
  Order Placed = Fixture.makeTicketedOrder(0);
  CHECK(Fixture.send(0, Placed).Outcome_ == "unknown");
  Fixture.setServiceSwitches(
      {{"silent", 0}, {"silent_after", 0}, {"drop_replies", 0}});
  CHECK(Fixture.send(1, Placed).Outcome_ == "unknown");
  CHECK(Fixture.send(2, Placed).Outcome_ == "unknown");
  REQUIRE(Fixture.waitIdle({0, 1, 2}));
  CHECK(Fixture.executionCount(Placed) == Executions);
  CHECK(Fixture.checkOrders().violations() == 0);
}

// Guards against a second call when the network loses the call or its reply.
TEST_CASE("an order on a silent connection is unknown",
          "[proof][once][target]") {
  OrderFixture Fixture;
  StandinProcess Proxy("proxy", {"--to=" + Fixture.services().address()});
  PlainServiceSettings Service;
  Service.Name_ = "proxied";
  Service.Targets_ = {Proxy.address()};
  Fixture.fleet().apply(Service);
  OrderCaller Caller("proxied");
  Order Placed = Fixture.makeTicketedOrder(0);
  int Executions = 0;
  SECTION("blackhole") { Proxy.setSwitches({{"blackhole", true}}); }
  SECTION("lost reply") {
    Proxy.setSwitches({{"drop_replies", true}});
    Executions = 1;
  }
  CHECK(Caller.place(Fixture.host(0), Placed).Outcome_ == "unknown");
  Proxy.setSwitches({{"blackhole", false}, {"drop_replies", false}});
  CHECK(Caller.place(Fixture.host(1), Placed).Outcome_ == "unknown");
  REQUIRE(Fixture.waitIdle({0, 1, 2}));
  CHECK(Fixture.executionCount(Placed) == Executions);
}

// Guards against a second execution, and against two different answers, when a
// caller disconnects before the answer arrives and resends the key.
TEST_CASE("a late answer reaches the caller's repeated request",
          "[proof][once][target]") {
  OrderFixture Fixture;
  Fixture.setServiceSwitches({{"late_ms", 1000}});
  Order Placed = Fixture.makeTicketedOrder(0);
  Order EarlyDisconnect = Placed;
  EarlyDisconnect.DisconnectAfter_ = Milliseconds{200};
  CHECK(Fixture.send(0, EarlyDisconnect).Outcome_ == "no_reply");
  auto Second = Fixture.sendAsync(1, Placed);
  auto Third = Fixture.sendAsync(0, Placed);
  CHECK(Second.get().Outcome_ == "completed");
  CHECK(Third.get().Outcome_ == "completed");
  REQUIRE(Fixture.waitIdle({0, 1, 2}));
  CHECK(Fixture.executionCount(Placed) == 1);
  CHECK(Fixture.checkOrders().violations() == 0);
}

// Guards against a key that runs again with a different body, and against an
// outcome that is disclosed to another client account.
TEST_CASE("a key serves one body and one account", "[proof][once][key]") {
  OrderFixture Fixture;
  Order Placed;
  SECTION("ticketed") { Placed = Fixture.makeTicketedOrder(0); }
  SECTION("plain") { Placed = Fixture.makePlainOrder(); }
  REQUIRE(Fixture.send(0, Placed).Outcome_ == "completed");
  OrderCaller SameAccount;
  OrderCaller OtherAccount("orders", "beta");
  OrderCaller UnknownAccount("orders", "nobody");
  Order ChangedBody = Placed;
  ChangedBody.Id_ = "changed-body";
  Order OtherAccountOrder = Placed;
  OtherAccountOrder.Id_ = "foreign-account";
  for (std::size_t Host = 0; Host < Fixture.fleet().size(); ++Host) {
    OrderAnswer Conflict = SameAccount.place(Fixture.host(Host), ChangedBody);
    CHECK(Conflict.Status_ >= 400);
    CHECK_FALSE(Conflict.Outcome_ == "not_run");
    OrderAnswer Answer =
        OtherAccount.place(Fixture.host(Host), OtherAccountOrder);
    if (Answer.Outcome_ == "completed")
      CHECK(Answer.Body_["result"]["order_id"] == OtherAccountOrder.Id_);
    CHECK(UnknownAccount.place(Fixture.host(Host), Placed).Status_ == 401);
  }
  CHECK_FALSE(OtherAccount.lookUpOutcome(Fixture.host(1), Placed.Key_ + "x") ==
              "completed");
  REQUIRE(Fixture.waitIdle({0, 1, 2}));
  CHECK(Fixture.executionCount(ChangedBody) == 0);
  CHECK(Fixture.executionCount(OtherAccountOrder) <= 1);
  CHECK(Fixture.executionCount(Placed) == 1);
  CHECK(Fixture.checkOrders().violations() == 0);
}
