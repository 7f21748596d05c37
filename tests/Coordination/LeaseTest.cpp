#include "Coordination/Lease.h"
#include "Coordination/FakeKeyValueStore.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

/// Two hosts that want one duty, on a clock that only the test advances.
struct Contest {
  SteadyTime Now_{Seconds{1000}};
  std::function<SteadyTime()> Clock_ = [this] { return Now_; };
  FakeKeyValueStore Store_{Clock_};
  LeaseSettings Settings_;
  Lease First_{Settings_, "orders", "h1", Store_, Clock_};
  Lease Second_{Settings_, "orders", "h2", Store_, Clock_};

  /// Advances by \p Time in steps of a second, in which both hosts run.
  void run(Seconds Time) {
    for (Seconds Passed{0}; Passed < Time; Passed += Seconds{1}) {
      Now_ += Seconds{1};
      First_.maintain();
      Second_.maintain();
      REQUIRE_FALSE((First_.holds() && Second_.holds()));
    }
  }
};

} // namespace

// Guards against two holders, and against a lease that is not renewed.
TEST_CASE("one host holds the duty and keeps it") {
  Contest Two;
  Two.run(Seconds{120});
  CHECK(Two.First_.holds());
  CHECK(Two.First_.fencing().has_value());
  CHECK_FALSE(Two.Second_.fencing().has_value());
  // Renewals by the holder and reads by the other, 30 of each.
  CHECK(Two.Store_.Calls_ <= 65);
}

// Guards against a paused holder that goes on while its successor works.
TEST_CASE("a paused holder stops by its own clock before the lease expires") {
  Contest Two;
  Two.First_.maintain();
  REQUIRE(Two.First_.holds());
  std::uint64_t Former = *Two.First_.fencing();
  Two.Now_ += Two.Settings_.TimeToLive_ - Two.Settings_.Margin_;
  CHECK_FALSE(Two.First_.holds());
  Two.Second_.maintain();
  CHECK_FALSE(Two.Second_.holds());
  Two.Now_ += Two.Settings_.Margin_ + Seconds{1};
  Two.Second_.maintain();
  REQUIRE(Two.Second_.holds());
  CHECK(*Two.Second_.fencing() > Former);
  Two.First_.maintain();
  CHECK_FALSE(Two.First_.holds());
}

// Guards against a duty held past an outage of the service, and against one
// given up although the lease could still be renewed.
TEST_CASE("an outage ends the duty only when the margin is reached") {
  Contest Two;
  Two.run(Seconds{5});
  Two.Store_.Outage_ = true;
  Two.run(Seconds{5});
  CHECK(Two.First_.holds());
  Two.run(Seconds{10});
  CHECK_FALSE(Two.First_.holds());
  Two.Store_.Outage_ = false;
  Two.run(Seconds{20});
  CHECK((Two.First_.holds() || Two.Second_.holds()));
}

// Guards against a duty that nobody performs because its holder does not know
// that it is the holder.
TEST_CASE("a lost reply to the acquisition is read back") {
  Contest Two;
  SECTION("the write took effect") {
    Two.Store_.LoseReply_ = true;
    Two.First_.maintain();
    CHECK(Two.First_.holds());
  }
  SECTION("the write did not take effect") {
    Two.Store_.LoseRequest_ = true;
    Two.First_.maintain();
    CHECK_FALSE(Two.First_.holds());
    Two.Second_.maintain();
    CHECK(Two.Second_.holds());
  }
}

// Guards against a renewal without reply that extends the holder's own time.
TEST_CASE("a lost reply to a renewal does not extend the lease") {
  Contest Two;
  Two.First_.maintain();
  Two.Now_ += Two.Settings_.RenewPeriod_;
  Two.Store_.LoseReply_ = true;
  Two.First_.maintain();
  Two.Now_ += Two.Settings_.TimeToLive_ - Two.Settings_.Margin_ -
              Two.Settings_.RenewPeriod_;
  CHECK_FALSE(Two.First_.holds());
}

// Guards against a draining host that blocks a duty until its lease expires.
TEST_CASE("a released duty can be taken at once") {
  Contest Two;
  Two.First_.maintain();
  Two.First_.release();
  CHECK_FALSE(Two.First_.holds());
  Two.Second_.maintain();
  CHECK(Two.Second_.holds());
}
