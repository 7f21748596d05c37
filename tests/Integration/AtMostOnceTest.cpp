#include "Integration/Eventually.h"
#include "Integration/OrderDesk.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

const std::string JournalPrefix = "/amaranth/journal/";

/// Holds all calls of the key-value service without an effect; they fail when
/// the hold ends.
class KeyValueHold final {
public:
  explicit KeyValueHold(OrderDesk &Desk) : Desk_(Desk) {
    Desk_.keyValue().setSwitches({{"hang", true}});
  }
  ~KeyValueHold() { Desk_.keyValue().setSwitches({{"hang", false}}); }
  KeyValueHold(const KeyValueHold &) = delete;
  KeyValueHold &operator=(const KeyValueHold &) = delete;

private:
  OrderDesk &Desk_;
};

/// Sends the key to both survivors of host 0 at once.
std::pair<OrderAnswer, OrderAnswer> sendToSurvivors(OrderDesk &Desk,
                                                    const Order &Sent) {
  auto First = Desk.sendLater(1, Sent);
  auto Second = Desk.sendLater(2, Sent);
  return {First.get(), Second.get()};
}

void killHome(OrderDesk &Desk) {
  Desk.fleet().kill(0);
  Desk.fleet().waitStatus({1, 2}, 0, "dead");
}

} // namespace

// Shows that the checker of this file detects a doubled execution: a caller
// without a key sends its order again after a lost reply.
TEST_CASE("without a key a lost reply doubles an order",
          "[proof][once][counterpart]") {
  StandinProcess Service("service", {"--service-us=500"});
  Service.setSwitches({{"drop_replies", 1}});
  CHECK(placeDirectly(Service.address(), "order-1", Seconds{5}) == 0);
  CHECK(placeDirectly(Service.address(), "order-1", Seconds{5}) == 200);
  OrderHistory Placed;
  Placed.Id_ = "order-1";
  CHECK(ExecutionRecord(Service, 1).judge({Placed}).Doubled_ == 1);
}

// The same fleet with the call declared repeatable runs an order again after a
// lost reply, so the declaration is what protects it.
TEST_CASE("a call declared repeatable is doubled by a lost reply",
          "[proof][once][counterpart]") {
  OrderDeskSettings Settings;
  Settings.Fleet_.Daemons_ = 1;
  Settings.Idempotent_ = true;
  OrderDesk Desk(Settings);
  Desk.services().setSwitches({{"drop_replies", 1}}, 0);
  Desk.services().setSwitches({{"drop_replies", 1}}, 1);
  CHECK(Desk.send(0, Desk.plain()).Outcome_ == "completed");
  CHECK(Desk.verdict().Doubled_ == 1);
}

// Guards against a run after survivors said `not_run`, and against `unknown`
// where the journal shows that nothing ran.
TEST_CASE("an order whose home dies before dispatch never runs",
          "[proof][once][kill]") {
  OrderDesk Desk;
  Order Placed = Desk.ticketed(0);
  std::future<OrderAnswer> Lost;
  {
    KeyValueHold Hold(Desk);
    Lost = Desk.sendLater(0, Placed);
    REQUIRE(Desk.waitInFlight(0, 1));
    Desk.fleet().kill(0);
  }
  CHECK(Lost.get().Outcome_ == "no_reply");
  CHECK(Desk.resend(1, Placed).Outcome_ == "not_run");
  auto [First, Second] = sendToSurvivors(Desk, Placed);
  CHECK(First.Outcome_ == "not_run");
  CHECK(Second.Outcome_ == "not_run");
  Desk.restart(0);
  CHECK(Desk.resend(0, Placed).Outcome_ == "not_run");
  REQUIRE(Desk.waitQuiet({0, 1, 2}));
  CHECK(Desk.verdict().faults() == 0);
  CHECK(Desk.executions(Placed) == 0);
}

// Guards against a second run when the home dies while a target works on the
// order.
TEST_CASE("an order whose home dies during dispatch runs once",
          "[proof][once][kill]") {
  OrderDesk Desk;
  Desk.setServices({{"delay_ms", 1000}});
  Order Placed = Desk.ticketed(0);
  auto Lost = Desk.sendLater(0, Placed);
  REQUIRE(eventually([&] { return Desk.pendingCalls() == 1; }));
  Desk.fleet().kill(0);
  CHECK(Lost.get().Outcome_ == "no_reply");
  CHECK(Desk.send(1, Placed).Outcome_ == "unknown");
  Desk.fleet().waitStatus({1, 2}, 0, "dead");
  auto [First, Second] = sendToSurvivors(Desk, Placed);
  CHECK(First.Outcome_ == "unknown");
  CHECK(Second.Outcome_ == "unknown");
  REQUIRE(Desk.waitQuiet({1, 2}));
  CHECK(Desk.executions(Placed) == 1);
  CHECK(Desk.verdict().faults() == 0);
}

// Guards against a second run when the home dies after the effect and before
// its answer.
TEST_CASE("an order whose home dies after the effect runs once",
          "[proof][once][kill]") {
  OrderDesk Desk;
  Desk.setServices({{"late_ms", 5000}});
  Order Placed = Desk.ticketed(0);
  auto Lost = Desk.sendLater(0, Placed);
  REQUIRE(eventually([&] { return Desk.executions(Placed) == 1; }));
  killHome(Desk);
  CHECK(Lost.get().Outcome_ == "no_reply");
  auto [First, Second] = sendToSurvivors(Desk, Placed);
  CHECK(First.Outcome_ == "unknown");
  CHECK(Second.Outcome_ == "unknown");
  Desk.restart(0);
  CHECK(Desk.send(0, Placed).Outcome_ == "unknown");
  REQUIRE(Desk.waitQuiet({0, 1, 2}));
  CHECK(Desk.executions(Placed) == 1);
  CHECK(Desk.verdict().faults() == 0);
}

// Guards against losing a recorded outcome with its home.
TEST_CASE("a recorded outcome survives its home", "[proof][once][kill]") {
  OrderDesk Desk;
  Order Placed = Desk.ticketed(0);
  CHECK(Desk.send(0, Placed).Outcome_ == "completed");
  REQUIRE(
      eventually([&] { return Desk.fleet().countKeys(JournalPrefix) >= 2; }));
  killHome(Desk);
  auto [First, Second] = sendToSurvivors(Desk, Placed);
  CHECK(First.Outcome_ == "completed");
  CHECK(Second.Outcome_ == "completed");
  CHECK(Desk.executions(Placed) == 1);
  CHECK(Desk.verdict().faults() == 0);
}

// Guards against a paused home that dispatches after a survivor answered for
// its key.
TEST_CASE("a home frozen before its append does not run a refused order",
          "[proof][once][freeze]") {
  OrderDesk Desk;
  Order Placed = Desk.ticketed(0);
  std::future<OrderAnswer> First;
  {
    KeyValueHold Hold(Desk);
    First = Desk.sendLater(0, Placed);
    REQUIRE(Desk.waitInFlight(0, 1));
    Desk.fleet().daemon(0).process().stop();
  }
  Desk.fleet().waitStatus({1, 2}, 0, "dead");
  CHECK(Desk.resend(1, Placed).Outcome_ == "not_run");
  CHECK(Desk.resend(2, Placed).Outcome_ == "not_run");
  Desk.fleet().daemon(0).process().resume();
  CHECK(First.get().Outcome_ == "not_run");
  Desk.fleet().waitStatus({1, 2}, 0, "alive");
  CHECK(Desk.resend(0, Placed).Outcome_ == "not_run");
  REQUIRE(Desk.waitQuiet({0, 1, 2}));
  CHECK(Desk.executions(Placed) == 0);
  CHECK(Desk.verdict().faults() == 0);
}

// Guards against a survivor that says `not_run` although the frozen home's
// intent is recorded and the home may still dispatch.
TEST_CASE("a home frozen after its append leaves the order unknown",
          "[proof][once][freeze]") {
  OrderDesk Desk;
  Order Placed = Desk.ticketed(0);
  Desk.setServices({{"delay_ms", 300}});
  auto First = Desk.sendLater(0, Placed);
  REQUIRE(
      eventually([&] { return Desk.fleet().countKeys(JournalPrefix) >= 1; }));
  Desk.fleet().daemon(0).process().stop();
  Desk.fleet().waitStatus({1, 2}, 0, "dead");
  auto [Left, Right] = sendToSurvivors(Desk, Placed);
  CHECK(Left.Outcome_ == "unknown");
  CHECK(Right.Outcome_ == "unknown");
  Desk.fleet().daemon(0).process().resume();
  First.get();
  REQUIRE(Desk.waitQuiet({0, 1, 2}));
  CHECK(Desk.executions(Placed) <= 1);
  CHECK(Desk.verdict().faults() == 0);
}

// Guards against a second intent, a lost order or a doubled claim after a write
// took effect without a reply.
TEST_CASE("a lost reply of a key-value write does not double an order",
          "[proof][once][key-value]") {
  OrderDesk Desk;
  std::string Prefix;
  Order Placed;
  SECTION("of the journal") {
    Prefix = JournalPrefix;
    Placed = Desk.ticketed(0);
  }
  SECTION("of a claim") {
    Prefix = "/amaranth/claims/";
    Placed = Desk.plain();
  }
  Desk.keyValue().put("/standin/lost-replies",
                      {{"key_prefix", Prefix}, {"count", 2}});
  auto First = Desk.sendLater(0, Placed);
  auto Second = Desk.sendLater(1, Placed);
  First.get();
  Second.get();
  CHECK(Desk.resend(2, Placed).Outcome_ == "completed");
  CHECK(Desk.keyValue().get("/standin/lost-replies")["count"] < 2);
  REQUIRE(Desk.waitQuiet({0, 1, 2}));
  CHECK(Desk.executions(Placed) == 1);
  CHECK(Desk.verdict().faults() == 0);
}

// Guards against a journaled order that runs without an intent, and against
// `not_run` that is withdrawn after the outage.
TEST_CASE("an order placed during an outage is refused for good",
          "[proof][once][key-value]") {
  OrderDesk Desk;
  Order Placed = Desk.ticketed(0);
  Order Plain = Desk.plain();
  Plain.Timeout_ = Seconds{1};
  Desk.keyValue().setSwitches({{"outage", true}});
  Placed.Timeout_ = Seconds{1};
  CHECK(Desk.send(0, Placed).Outcome_ == "not_run");
  OrderAnswer Refused = Desk.send(1, Plain);
  CAPTURE(Refused.Body_.dump());
  CHECK_FALSE(Refused.Outcome_ == "completed");
  CHECK(Desk.executions(Plain) == 0);
  Desk.keyValue().setSwitches({{"outage", false}});
  CHECK(Desk.resend(1, Placed).Outcome_ == "not_run");
  CHECK(eventually([&] { // A plain key may be sent again after not_run.
    return Desk.send(2, Plain).Outcome_ == "completed";
  }));
  REQUIRE(Desk.waitQuiet({0, 1, 2}));
  CHECK(Desk.executions(Placed) == 0);
  CHECK(Desk.executions(Plain) == 1);
  CHECK(Desk.verdict().faults() == 0);
}

// Guards against a second run or a false refusal when the key-value service is
// silent for a part of a request, and for longer than it.
TEST_CASE("an order survives a silent key-value service",
          "[proof][once][key-value]") {
  OrderDesk Desk;
  Order Placed = Desk.ticketed(0);
  SECTION("for a part of the request") {
    std::future<OrderAnswer> First;
    {
      KeyValueHold Hold(Desk);
      First = Desk.sendLater(0, Placed);
      REQUIRE(Desk.waitInFlight(0, 1));
    }
    CHECK(First.get().Outcome_ == "completed");
    CHECK(Desk.send(1, Placed).Outcome_ == "completed");
    CHECK(Desk.executions(Placed) == 1);
  }
  SECTION("for longer than the request") {
    Placed.Timeout_ = Milliseconds{400};
    {
      KeyValueHold Hold(Desk);
      CHECK(Desk.send(0, Placed).Outcome_ == "not_run");
    }
    Placed.Timeout_ = Seconds{5};
    CHECK(Desk.send(0, Placed).Outcome_ == "not_run");
    CHECK(Desk.send(1, Placed).Outcome_ == "not_run");
    REQUIRE(Desk.waitQuiet({0, 1, 2}));
    CHECK(Desk.executions(Placed) == 0);
  }
  CHECK(Desk.verdict().faults() == 0);
}

// Guards against a plain key that runs twice, or never, after its claim was
// delayed by a silent key-value service.
TEST_CASE("a plain key survives a silent key-value service",
          "[proof][once][key-value]") {
  OrderDesk Desk;
  Order Placed = Desk.plain();
  Milliseconds Timeout = Placed.Timeout_;
  SECTION("for a part of the request") {
    std::future<OrderAnswer> First;
    {
      KeyValueHold Hold(Desk);
      First = Desk.sendLater(0, Placed);
      REQUIRE(Desk.waitInFlight(0, 1));
    }
    First.get();
  }
  SECTION("for longer than the request") {
    KeyValueHold Hold(Desk);
    Placed.Timeout_ = Milliseconds{400};
    CHECK_FALSE(Desk.send(0, Placed).Outcome_ == "completed");
    CHECK(Desk.executions(Placed) == 0);
  }
  Placed.Timeout_ = Timeout;
  CHECK(eventually([&] { // After not_run a plain key is sent again.
    return Desk.send(1, Placed).Outcome_ == "completed";
  }));
  CHECK(Desk.send(2, Placed).Outcome_ == "completed");
  REQUIRE(Desk.waitQuiet({0, 1, 2}));
  CHECK(Desk.executions(Placed) == 1);
  CHECK(Desk.verdict().faults() == 0);
}

// Guards against `not_run` for a volatile key whose home is gone, and against
// volatile tickets that a service did not allow.
TEST_CASE("a volatile order whose home dies stays unknown",
          "[proof][once][key-value]") {
  OrderDeskSettings Settings;
  Settings.AllowVolatile_ = true;
  OrderDesk Desk(Settings);
  OrderCaller Caller;
  Desk.keyValue().setSwitches({{"outage", true}});
  // A home without traffic notices the outage by its first refused order.
  REQUIRE(eventually([&] {
    if (Caller.takeTicket(Desk.host(0)).Class_ == "volatile")
      return true;
    Order Refused = Desk.ticketed(0);
    Refused.Timeout_ = Milliseconds{500};
    Desk.send(0, Refused);
    return false;
  }));
  Order Ran = Desk.ticketed(0);
  Order NotSent = Desk.ticketed(0);
  CHECK(Desk.send(1, Ran).Outcome_ == "completed");
  CHECK(Desk.send(2, Ran).Outcome_ == "completed");
  killHome(Desk);
  CHECK(Desk.send(1, Ran).Outcome_ == "unknown");
  CHECK(Desk.send(1, NotSent).Outcome_ == "unknown");
  Desk.keyValue().setSwitches({{"outage", false}});
  CHECK(Desk.send(2, Ran).Outcome_ == "unknown");
  CHECK(Desk.executions(Ran) == 1);
  CHECK(Desk.executions(NotSent) == 0);
  CHECK(Desk.verdict().faults() == 0);
}

// Guards against a volatile ticket for a service that does not allow it.
TEST_CASE("a service without volatile tickets issues none in an outage",
          "[proof][once][key-value]") {
  OrderDesk Desk;
  OrderCaller Caller;
  Desk.keyValue().setSwitches({{"outage", true}});
  Order Placed = Desk.plain();
  Placed.Timeout_ = Seconds{1};
  Desk.send(0, Placed);
  CHECK_FALSE(Caller.takeTicket(Desk.host(0)).Class_ == "volatile");
}

// Guards against a repeated call, or another answer than `unknown`, when a
// target gives no reply.
TEST_CASE("an order without a reply of the target is unknown",
          "[proof][once][target]") {
  OrderDesk Desk;
  int Executions = 1;
  SECTION("silent before the effect") {
    Desk.setServices({{"silent", -1}});
    Executions = 0;
  }
  SECTION("silent after the effect") {
    Desk.setServices({{"silent_after", -1}});
  }
  SECTION("cut after the effect") { Desk.setServices({{"drop_replies", -1}}); }
  Order Placed = Desk.ticketed(0);
  CHECK(Desk.send(0, Placed).Outcome_ == "unknown");
  Desk.setServices({{"silent", 0}, {"silent_after", 0}, {"drop_replies", 0}});
  CHECK(Desk.send(1, Placed).Outcome_ == "unknown");
  CHECK(Desk.send(2, Placed).Outcome_ == "unknown");
  REQUIRE(Desk.waitQuiet({0, 1, 2}));
  CHECK(Desk.executions(Placed) == Executions);
  CHECK(Desk.verdict().faults() == 0);
}

// Guards against a repeated call when the network loses it or its reply.
TEST_CASE("an order on a silent connection is unknown",
          "[proof][once][target]") {
  OrderDesk Desk;
  StandinProcess Proxy("proxy", {"--to=" + Desk.services().address()});
  PlainServiceSettings Service;
  Service.Name_ = "proxied";
  Service.Targets_ = {Proxy.address()};
  Desk.fleet().apply(Service);
  OrderCaller Caller("proxied");
  Order Placed = Desk.ticketed(0);
  int Executions = 0;
  SECTION("blackhole") { Proxy.setSwitches({{"blackhole", true}}); }
  SECTION("lost reply") {
    Proxy.setSwitches({{"drop_replies", true}});
    Executions = 1;
  }
  CHECK(Caller.place(Desk.host(0), Placed).Outcome_ == "unknown");
  Proxy.setSwitches({{"blackhole", false}, {"drop_replies", false}});
  CHECK(Caller.place(Desk.host(1), Placed).Outcome_ == "unknown");
  REQUIRE(Desk.waitQuiet({0, 1, 2}));
  CHECK(Desk.executions(Placed) == Executions);
}

// Guards against a second run, or two different answers, when a caller gives up
// before the answer arrives and sends the key again.
TEST_CASE("a late answer reaches the caller's repeated request",
          "[proof][once][target]") {
  OrderDesk Desk;
  Desk.setServices({{"late_ms", 1000}});
  Order Placed = Desk.ticketed(0);
  Order Impatient = Placed;
  Impatient.Patience_ = Milliseconds{200};
  CHECK(Desk.send(0, Impatient).Outcome_ == "no_reply");
  auto Second = Desk.sendLater(1, Placed);
  auto Third = Desk.sendLater(0, Placed);
  CHECK(Second.get().Outcome_ == "completed");
  CHECK(Third.get().Outcome_ == "completed");
  REQUIRE(Desk.waitQuiet({0, 1, 2}));
  CHECK(Desk.executions(Placed) == 1);
  CHECK(Desk.verdict().faults() == 0);
}

// Guards against a key that runs with a second body, and against an answer or a
// refusal that reaches another account.
TEST_CASE("a key serves one body and one account", "[proof][once][key]") {
  OrderDesk Desk;
  Order Placed;
  SECTION("ticketed") { Placed = Desk.ticketed(0); }
  SECTION("plain") { Placed = Desk.plain(); }
  REQUIRE(Desk.send(0, Placed).Outcome_ == "completed");
  OrderCaller Same;
  OrderCaller Other("orders", "beta");
  OrderCaller Stranger("orders", "nobody");
  Order Changed = Placed;
  Changed.Id_ = "changed-body";
  Order Foreign = Placed;
  Foreign.Id_ = "foreign-account";
  for (std::size_t Host = 0; Host < Desk.fleet().size(); ++Host) {
    OrderAnswer Conflict = Same.place(Desk.host(Host), Changed);
    CHECK(Conflict.Status_ >= 400);
    CHECK_FALSE(Conflict.Outcome_ == "not_run");
    OrderAnswer Answer = Other.place(Desk.host(Host), Foreign);
    if (Answer.Outcome_ == "completed")
      CHECK(Answer.Body_["result"]["order_id"] == Foreign.Id_);
    CHECK(Stranger.place(Desk.host(Host), Placed).Status_ == 401);
  }
  CHECK_FALSE(Other.lookUp(Desk.host(1), Placed.Key_ + "x") == "completed");
  REQUIRE(Desk.waitQuiet({0, 1, 2}));
  CHECK(Desk.executions(Changed) == 0);
  CHECK(Desk.executions(Foreign) <= 1);
  CHECK(Desk.executions(Placed) == 1);
  CHECK(Desk.verdict().faults() == 0);
}
