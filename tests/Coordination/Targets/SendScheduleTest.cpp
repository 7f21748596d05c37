#include "Coordination/Targets/SendSchedule.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

const SteadyTime Start{Seconds{1000}};
constexpr Milliseconds Window{4000};

/// Most requests that a target with a limit may get in any Window.
double maxInWindow(double PerSecond) { return 1.5 * PerSecond * 4 + 5; }

std::ptrdiff_t busiestWindow(const std::vector<SteadyTime> &Sorted) {
  std::ptrdiff_t Busiest = 0;
  for (auto First = Sorted.begin(); First != Sorted.end(); ++First)
    Busiest = std::max(Busiest,
                       std::lower_bound(First, Sorted.end(), *First + Window) -
                           First);
  return Busiest;
}

/// One minute in which the hosts of a fleet ask for a place at one target far
/// more often than it accepts requests. The host that keeps the schedule is
/// lost every five seconds. Its successor begins before it has stopped, when
/// \p Overlap is longer than 0.
std::vector<SteadyTime> simulateMinute(double PerSecond, Milliseconds Overlap) {
  constexpr Milliseconds Tenure{5000};
  std::mt19937 Random(7);
  std::exponential_distribution<double> NextAsk(10 * PerSecond);
  std::vector<SendSchedule> Schedules(13);
  std::vector<SteadyTime> Sent;
  for (double At = 0; At < 60; At += NextAsk(Random)) {
    auto Elapsed = std::chrono::duration_cast<SteadyClock::duration>(
        std::chrono::duration<double>(At));
    auto Keeper = static_cast<std::size_t>(Elapsed / Tenure);
    bool AsksSuccessor = Elapsed % Tenure > Tenure - Overlap && Random() % 2;
    SendSchedule::Place Place =
        Schedules[Keeper + (AsksSuccessor ? 1 : 0)].reserve(
            "t", PerSecond, Milliseconds{Random() % 2 ? 0 : 1000},
            Start + Elapsed);
    if (Place.Granted_)
      Sent.push_back(Start + Elapsed + Place.Delay_);
  }
  std::sort(Sent.begin(), Sent.end());
  return Sent;
}

} // namespace

// Pattern: a target at its limit, asked for by a whole fleet, while the host
// that keeps its schedule is lost again and again. Guards against more requests
// than the target accepts, and against leaving it idle.
TEST_CASE("send schedule: a target gets what it accepts and no more, whoever "
          "keeps its schedule") {
  for (double PerSecond : {0.5, 1.0, 1.9, 13.1, 200.0}) {
    INFO("limit " << PerSecond);
    std::vector<SteadyTime> Sent = simulateMinute(PerSecond, Milliseconds{0});
    CHECK(static_cast<double>(busiestWindow(Sent)) <= maxInWindow(PerSecond));
    CHECK(static_cast<double>(Sent.size()) >= 0.6 * 60 * PerSecond);
  }
}

// Guards against breaking a limit while two hosts keep the schedule, because
// their views of the fleet differ for a second.
TEST_CASE("send schedule: two keepers for a second stay within the limit") {
  for (double PerSecond : {0.5, 1.0, 1.9, 13.1}) {
    INFO("limit " << PerSecond);
    std::vector<SteadyTime> Sent =
        simulateMinute(PerSecond, Milliseconds{1000});
    CHECK(static_cast<double>(busiestWindow(Sent)) <= maxInWindow(PerSecond));
  }
}

// Guards against a burst after a pause.
TEST_CASE("send schedule: unused places do not add up") {
  SendSchedule Schedule;
  Schedule.reserve("t", 1, Milliseconds{0}, Start);
  int Granted = 0;
  for (int I = 0; I < 10; ++I)
    Granted +=
        Schedule.reserve("t", 1, Milliseconds{0}, Start + Seconds{30}).Granted_;
  CHECK(Granted == SendScheduleSettings().Burst_);
  SendSchedule::Place Next =
      Schedule.reserve("t", 1, Milliseconds{0}, Start + Seconds{30});
  CHECK_FALSE(Next.Granted_);
  CHECK(Next.Delay_ == Seconds{1});
}

// Guards against a target that stays idle for seconds after its limit has
// risen, because the next place kept the interval of the lower limit.
TEST_CASE("send schedule: a limit that rises applies at once") {
  SendSchedule Schedule;
  REQUIRE_FALSE(Schedule.reserve("t", 0.25, Milliseconds{0}, Start).Granted_);
  SteadyTime Now = Start + Seconds{4};
  REQUIRE(Schedule.reserve("t", 0.25, Milliseconds{0}, Now).Granted_);
  Now += Milliseconds{99};
  CHECK_FALSE(Schedule.reserve("t", 10, Milliseconds{0}, Now).Granted_);
  Now += Milliseconds{1};
  CHECK(Schedule.reserve("t", 10, Milliseconds{0}, Now).Granted_);
}

// Guards against a target that accepts nothing and is never asked again, so
// that nobody learns that its limit has ended; and against rates that are no
// numbers.
TEST_CASE("send schedule: a limit of nothing") {
  SendSchedule Schedule;
  for (double PerSecond : {0.0, -1.0, std::nan("")}) {
    SendSchedule::Place Place =
        Schedule.reserve("t", PerSecond, Seconds{60}, Start);
    CHECK(Place.Granted_);
    CHECK(Place.Delay_ >= Seconds{4});
  }
}

// Guards against a place that is taken by asking for it, and against a caller
// that is told to wait at a free place.
TEST_CASE("send schedule: asking for the next place does not take it") {
  SendSchedule Schedule;
  CHECK(Schedule.timeToPlace("t", 2, Start) == Milliseconds{500});
  SteadyTime Later = Start + Milliseconds{500};
  for (int I = 0; I < 3; ++I)
    CHECK(Schedule.timeToPlace("t", 2, Later) == Milliseconds{0});
  CHECK(Schedule.reserve("t", 2, Milliseconds{0}, Later).Granted_);
  CHECK(Schedule.timeToPlace("t", 2, Later) == Milliseconds{500});
}
