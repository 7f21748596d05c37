#include "Coordination/Lease.h"
#include "Coordination/FakeKeyValueStore.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

/// Two hosts that compete for one duty, on a clock that the test advances.
struct TwoHosts {
  SteadyTime Now_{Seconds{1000}};
  std::function<SteadyTime()> Clock_ = [this] { return Now_; };
  FakeKeyValueStore Store_{Clock_};
  LeaseSettings Settings_;
  Lease First_{Settings_, "orders", "h1", Store_, Clock_};
  Lease Second_{Settings_, "orders", "h2", Store_, Clock_};

  /// Advances the clock by \p Time in steps of a second; both hosts maintain
  /// their lease in each step.
  void run(Seconds Time) {
    for (Seconds Elapsed{0}; Elapsed < Time; Elapsed += Seconds{1}) {
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
  TwoHosts Hosts;
  Hosts.run(Seconds{120});
  CHECK(Hosts.First_.holds());
  CHECK(Hosts.First_.fencingToken().has_value());
  CHECK_FALSE(Hosts.Second_.fencingToken().has_value());
  // Renewals by the holder and reads by the other, 30 of each.
  CHECK(Hosts.Store_.Calls_ <= 65);
}

// Guards against a paused holder that continues while its successor works.
TEST_CASE("a paused holder stops by its own clock before the lease expires") {
  TwoHosts Hosts;
  Hosts.First_.maintain();
  REQUIRE(Hosts.First_.holds());
  std::uint64_t FirstToken = *Hosts.First_.fencingToken();
  Hosts.Now_ += Hosts.Settings_.TimeToLive_ - Hosts.Settings_.Margin_;
  CHECK_FALSE(Hosts.First_.holds());
  Hosts.Second_.maintain();
  CHECK_FALSE(Hosts.Second_.holds());
  Hosts.Now_ += Hosts.Settings_.Margin_ + Seconds{1};
  Hosts.Second_.maintain();
  REQUIRE(Hosts.Second_.holds());
  CHECK(*Hosts.Second_.fencingToken() > FirstToken);
  Hosts.First_.maintain();
  CHECK_FALSE(Hosts.First_.holds());
}

// Guards against a duty held beyond its lease during an outage, and against one
// released although the lease could still be renewed.
TEST_CASE("an outage ends the duty only when the margin is reached") {
  TwoHosts Hosts;
  Hosts.run(Seconds{5});
  Hosts.Store_.Outage_ = true;
  Hosts.run(Seconds{5});
  CHECK(Hosts.First_.holds());
  Hosts.run(Seconds{10});
  CHECK_FALSE(Hosts.First_.holds());
  Hosts.Store_.Outage_ = false;
  Hosts.run(Seconds{20});
  CHECK((Hosts.First_.holds() || Hosts.Second_.holds()));
}

// Guards against a duty that no host performs because its holder did not learn
// that it acquired the lease.
TEST_CASE("a lost reply to the acquisition is read back") {
  TwoHosts Hosts;
  SECTION("the write took effect") {
    Hosts.Store_.LoseReply_ = true;
    Hosts.First_.maintain();
    CHECK(Hosts.First_.holds());
  }
  SECTION("the write did not take effect") {
    Hosts.Store_.LoseRequest_ = true;
    Hosts.First_.maintain();
    CHECK_FALSE(Hosts.First_.holds());
    Hosts.Second_.maintain();
    CHECK(Hosts.Second_.holds());
  }
}

// Guards against a holder that counts a renewal without a reply as successful.
TEST_CASE("a lost reply to a renewal does not extend the lease") {
  TwoHosts Hosts;
  Hosts.First_.maintain();
  Hosts.Now_ += Hosts.Settings_.RenewPeriod_;
  Hosts.Store_.LoseReply_ = true;
  Hosts.First_.maintain();
  Hosts.Now_ += Hosts.Settings_.TimeToLive_ - Hosts.Settings_.Margin_ -
                Hosts.Settings_.RenewPeriod_;
  CHECK_FALSE(Hosts.First_.holds());
}

// Guards against a draining host that blocks a duty until its lease expires.
TEST_CASE("a released duty can be taken at once") {
  TwoHosts Hosts;
  Hosts.First_.maintain();
  Hosts.First_.release();
  CHECK_FALSE(Hosts.First_.holds());
  Hosts.Second_.maintain();
  CHECK(Hosts.Second_.holds());
}
