#include "Coordination/DrainSchedule.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

constexpr Milliseconds Grace{8000};

DrainSchedule begunAt(SteadyTime Begin, Milliseconds GracePeriod = Grace) {
  DrainScheduleSettings Settings;
  Settings.Grace_ = GracePeriod;
  DrainSchedule Schedule(Settings);
  Schedule.begin(Begin);
  return Schedule;
}

} // namespace

// Guards against a host that refuses requests although it is not stopping.
TEST_CASE("drain schedule: a host that does not drain takes every request") {
  DrainSchedule Schedule({});
  SteadyTime Now = SteadyClock::now();
  CHECK_FALSE(Schedule.hasBegun());
  CHECK(Schedule.acceptsConnections(Now));
  CHECK(Schedule.acceptsRequest(Now, Now + std::chrono::hours{24}));
  CHECK(Schedule.endRequestsAt() > Now + std::chrono::hours{24});
  CHECK(Schedule.stopAt() > Now + std::chrono::hours{24});
}

// Pattern: a request arrives, or has been received whole, late in the grace
// period of a planned stop. Guards against passing it on when its answer may
// not be there before the host ends.
TEST_CASE("drain schedule: a late request is taken only if it ends in time") {
  SteadyTime Begin = SteadyClock::now();
  DrainSchedule Schedule = begunAt(Begin);
  Schedule.begin(Begin + Seconds{5}); // A second signal.
  SteadyTime Early = Begin + Seconds{2};
  SteadyTime Late = Begin + Seconds{4};
  CHECK(Schedule.acceptsConnections(Early));
  CHECK(Schedule.acceptsRequest(Early, Early + Seconds{20}));
  CHECK_FALSE(Schedule.acceptsConnections(Late));
  CHECK_FALSE(Schedule.acceptsRequest(Late, Late + Seconds{20}));
  CHECK(Schedule.acceptsRequest(Late, Late + Seconds{2}));
}

// Guards against requests that are ended without time to send their answers,
// and against a process that is killed before it has ended them.
TEST_CASE("drain schedule: requests end before the host, the host in its "
          "grace period") {
  SteadyTime Begin = SteadyClock::now();
  for (Milliseconds Period : {Milliseconds{500}, Milliseconds{1500},
                              Milliseconds{4000}, Milliseconds{8000}}) {
    CAPTURE(Period.count());
    DrainSchedule Schedule = begunAt(Begin, Period);
    CHECK(Schedule.endRequestsAt() <= Schedule.stopAt());
    CHECK(Schedule.stopAt() < Begin + Period);
    CHECK_FALSE(Schedule.acceptsConnections(Begin + Period / 2));
  }
  DrainSchedule Schedule = begunAt(Begin);
  CHECK(Schedule.stopAt() - Schedule.endRequestsAt() >= Milliseconds{200});
}
