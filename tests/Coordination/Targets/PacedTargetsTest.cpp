#include "Coordination/Targets/PacedTargets.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

const SteadyTime Start{Seconds{1000}};

state::RoutingTablePtr table(double ColdPerSecond) {
  state::RoutingTable Table;
  Table.Services_["s"].ColdStart_ = Seconds{4};
  Table.Services_["s"].ColdPerSecond_ = ColdPerSecond;
  return std::make_shared<const state::RoutingTable>(std::move(Table));
}

state::TargetRecord record(const char *Id, std::int64_t Incarnation = 1,
                           Milliseconds Cold = Milliseconds{0}) {
  state::TargetRecord Record;
  Record.Id_ = Id;
  Record.Service_ = "s";
  Record.DataCentre_ = "dc";
  Record.WarmUpRemaining_ = Cold;
  Record.Incarnation_ = Incarnation;
  return Record;
}

/// The record of a target that states how long it is still cold.
void put(PacedTargets &Paced, const state::TargetRecord &Record,
         SteadyTime Now) {
  Paced.onRecord(Record, Now);
  Paced.onCold(Record.Id_, Now + Record.WarmUpRemaining_, Now);
}

bool isPaced(const PacedTargets &Paced, const char *Id, SteadyTime Now) {
  return Paced.makeRequest(Id, 1, Now).has_value();
}

} // namespace

// Guards against new, cold and recovered targets that get requests without a
// place, and against a fleet or a service that starts with all targets paced:
// their prompts then went to engines without their cached parts.
TEST_CASE("paced targets: what starts to be paced") {
  PacedTargets Paced("host");
  Paced.onConfiguration(table(12));
  put(Paced, record("old"), Start);
  put(Paced, record("cold", 1, Seconds{3}), Start);
  Paced.onRecordsComplete();
  put(Paced, record("early"), Start);
  put(Paced, record("early-and-cold", 1, Seconds{3}), Start);
  CHECK_FALSE(isPaced(Paced, "early", Start));
  CHECK(isPaced(Paced, "early-and-cold", Start));
  Paced.onResponse(record("early"), TargetResult::Success, Milliseconds{50}, 1,
                   Start);
  put(Paced, record("new"), Start);
  CHECK(isPaced(Paced, "new", Start));
  CHECK_FALSE(isPaced(Paced, "old", Start));
  CHECK(isPaced(Paced, "cold", Start));
  // The record of a new target may have been written before it became cold.
  CHECK(Paced.makeRequest("new", 1, Start)->ColdPerSecond_ == 12);
  put(Paced, record("old", 1, Seconds{-5}), Start);
  CHECK_FALSE(isPaced(Paced, "old", Start));
  put(Paced, record("old", 1, Seconds{2}), Start);
  CHECK(Paced.makeRequest("old", 1, Start)->ColdPerSecond_ == 12);
  // Heartbeats do not begin anew; the elected host's word ends it, once the
  // target is not cold.
  PaceRequest Asked = *Paced.makeRequest("old", 1, Start);
  SteadyTime Now = Start + Seconds{1};
  put(Paced, record("old", 1, Seconds{1}), Now);
  Paced.onReply(Asked, {true, {}, false, 50}, Now);
  CHECK(isPaced(Paced, "old", Now));
  Now += Seconds{2};
  Paced.onReply(Asked, {true, {}, false, 50}, Now);
  CHECK_FALSE(isPaced(Paced, "old", Now));
  Paced.onRemoved("old", Now);
  put(Paced, record("old"), Now);
  CHECK_FALSE(isPaced(Paced, "old", Now));
  put(Paced, record("old", 2), Now);
  CHECK(isPaced(Paced, "old", Now));
  // Services without cold targets are served as before, unless their data
  // centre returns.
  Paced.onConfiguration(table(0));
  CHECK_FALSE(isPaced(Paced, "old", Now));
  Paced.onDataCentreReturned("dc", Now);
  CHECK(isPaced(Paced, "old", Now));
}

// Guards against a target that recovers from failures into full load, and
// against reports of responses that were only slow because they were large.
TEST_CASE("paced targets: failures and slow responses") {
  PacedTargets Paced("host");
  Paced.onConfiguration(table(12));
  put(Paced, record("t"), Start);
  Paced.onRecordsComplete();
  auto Respond = [&](TargetResult Result, int Time, double Cost) {
    return Paced.onResponse(record("t"), Result, Milliseconds{Time}, Cost,
                            Start);
  };
  for (int I = 0; I < 3; ++I) {
    CHECK_FALSE(Respond(TargetResult::Success, 200, 1));
    CHECK_FALSE(Respond(TargetResult::Broken, 5, 1));
  }
  CHECK_FALSE(isPaced(Paced, "t", Start));
  Respond(TargetResult::Broken, 5, 1);
  Respond(TargetResult::Unreachable, 5, 1);
  CHECK(isPaced(Paced, "t", Start));
  CHECK(Respond(TargetResult::Broken, 5, 1) == PaceOutcome::Failed);
  CHECK(Respond(TargetResult::Overloaded, 5, 1) == PaceOutcome::Refused);
  CHECK(Respond(TargetResult::Success, 300, 1) == PaceOutcome::Usual);
  CHECK(Respond(TargetResult::Success, 2000, 1) == PaceOutcome::Slow);
  CHECK(Respond(TargetResult::Success, 2000, 8) == PaceOutcome::Usual);
}

// Rule FAILBACK. Guards against 25 hosts that lose the elected host at the same
// moment and each send a cold target a request at once, or more than their
// share together.
TEST_CASE("paced targets: the shares of all hosts keep a cold target's bound") {
  constexpr std::size_t Hosts = 25;
  std::vector<SteadyTime> Sent;
  for (std::size_t I = 0; I < Hosts; ++I) {
    PacedTargets Paced("host-" + std::to_string(I));
    Paced.onConfiguration(table(12));
    put(Paced, record("t", 1, Seconds{60}), Start);
    for (SteadyTime Now = Start; Now < Start + Seconds{30};
         Now += Milliseconds{10}) {
      PaceRequest Request = *Paced.makeRequest("t", 1, Now);
      if (Paced.reserveShare(Request, Hosts, Now).Granted_)
        Sent.push_back(Now);
    }
  }
  std::sort(Sent.begin(), Sent.end());
  CHECK(Sent.size() > 60);
  for (auto First = Sent.begin(); First != Sent.end(); ++First) {
    auto End = std::lower_bound(First, Sent.end(), *First + Seconds{1});
    // Beside 12 and a burst of 2 from the elected host, the bound is 23.
    REQUIRE(End - First <= 9);
  }
}

// Guards against a cold target that stays idle although the elected host
// replies again, or another one has been elected: the host waited for its
// share, which is many seconds later in a large fleet.
TEST_CASE("paced targets: an elected host that does not reply is asked again") {
  constexpr std::size_t Hosts = 25;
  PacedTargets Paced("host-1");
  Paced.onConfiguration(table(12));
  put(Paced, record("t", 1, Seconds{60}), Start);
  CHECK(Paced.mayHavePlace("t", Start));
  PaceRequest Asked = *Paced.makeRequest("t", 1, Start);
  REQUIRE_FALSE(Paced.reserveShare(Asked, Hosts, Start).Granted_);
  REQUIRE(Paced.opensAt("t") > Start + Seconds{2});
  CHECK_FALSE(Paced.mayHavePlace("t", Start + Milliseconds{249}));
  SteadyTime Now = Start + Milliseconds{250};
  CHECK(Paced.mayHavePlace("t", Now));
  // One request asks; the others do not wait for a reply that may not come.
  Paced.onAsked("t", Now);
  CHECK_FALSE(Paced.mayHavePlace("t", Now));
  Paced.onReply(Asked, {false, Milliseconds{100}, true, 3}, Now);
  CHECK_FALSE(Paced.mayHavePlace("t", Now + Milliseconds{99}));
  CHECK(Paced.mayHavePlace("t", Now + Milliseconds{100}));
}
