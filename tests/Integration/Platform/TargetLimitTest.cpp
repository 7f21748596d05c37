#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <mutex>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

constexpr std::size_t HostCount = 4;
/// Requests a second that each limited target accepts.
constexpr double Limit = 2;
constexpr Milliseconds Window{4000};
/// Limits are kept from this time after they were first stated (contact_ms).
constexpr Milliseconds LearningTime{3000};
/// Most requests that a target may get in any Window.
constexpr auto MaxInWindow = static_cast<std::ptrdiff_t>(1.5 * Limit * 4 + 5);

/// A target of the service "desk" that states a limit in all answers.
class LimitedTarget final {
public:
  LimitedTarget(StoreDouble &Store, std::string Id)
      : Target_(
            Store, std::move(Id), "desk",
            [this](RawServerConnection &Connection, const RawRequest &Request) {
              return answer(Connection, Request);
            }) {}

  int requests() const { return Target_.requests(); }

  /// Largest number of requests in any Window that begins after LearningTime.
  std::ptrdiff_t busiestWindow() {
    std::lock_guard Lock(Mutex_);
    std::ptrdiff_t Busiest = 0;
    for (auto First = Arrivals_.begin(); First != Arrivals_.end(); ++First) {
      if (*First < Arrivals_.front() + LearningTime)
        continue;
      auto End = std::lower_bound(First, Arrivals_.end(), *First + Window);
      Busiest = std::max(Busiest, End - First);
    }
    return Busiest;
  }

private:
  bool answer(RawServerConnection &Connection, const RawRequest &Request) {
    {
      std::lock_guard Lock(Mutex_);
      Arrivals_.push_back(SteadyClock::now());
    }
    Connection.write(rawAnswer(200,
                               validResponseFields(Request) + "Server-Limit: " +
                                   std::to_string(Limit) + "\r\n",
                               "done"));
    return true;
  }

  std::mutex Mutex_;
  std::vector<SteadyTime> Arrivals_;
  TargetDouble Target_;
};

/// Counts of the answers to calls sent to all hosts in turn.
struct CallCounts {
  int Served_ = 0;
  int Refused_ = 0;
  int Other_ = 0;
};

/// Sends up to 24 calls a second for \p Duration. Enough callers wait at the
/// same time that some have to be refused if the targets' limits are kept.
CallCounts sendCalls(PlatformFleet &Fleet, Seconds Duration) {
  constexpr std::size_t Callers = 4 * HostCount;
  constexpr Milliseconds CallPeriod{1000 * Callers / 24};
  std::mutex Mutex;
  CallCounts Counts;
  SteadyTime End = SteadyClock::now() + Duration;
  auto CallHost = [&](std::size_t Host) {
    while (SteadyClock::now() < End) {
      SteadyTime NextCall = SteadyClock::now() + CallPeriod;
      int Status = Fleet.call(Host, platformRequest("GET", "/look/1")).Status_;
      {
        std::lock_guard Lock(Mutex);
        ++(Status == 200   ? Counts.Served_
           : Status == 503 ? Counts.Refused_
                           : Counts.Other_);
      }
      std::this_thread::sleep_until(NextCall);
    }
  };
  std::vector<std::thread> Threads;
  for (std::size_t Caller = 0; Caller < Callers; ++Caller)
    Threads.emplace_back(CallHost, Caller % HostCount);
  for (std::thread &Thread : Threads)
    Thread.join();
  return Counts;
}

} // namespace

// Rule LIMIT. Guards against hosts that together send a target more requests
// than it accepts, while another target could take them.
TEST_CASE("platform: targets get no more requests than they accept from all "
          "hosts together") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  LimitedTarget First(Store, "i-1");
  LimitedTarget Second(Store, "i-2");
  TargetDouble Unlimited(Store, "i-3", "desk", answerDone);
  PlatformFleet Fleet(Store, HostCount);
  CallCounts Counts = sendCalls(Fleet, Seconds{10});
  CHECK(First.busiestWindow() <= MaxInWindow);
  CHECK(Second.busiestWindow() <= MaxInWindow);
  CHECK(Counts.Refused_ == 0);
  CHECK(Counts.Other_ == 0);
}

// Rule LIMIT. Guards against limits that are broken, or left unused, when no
// target without one is left: what exceeds them is refused without being run.
TEST_CASE("platform: requests beyond the limits of all targets are refused") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  LimitedTarget First(Store, "i-1");
  LimitedTarget Second(Store, "i-2");
  PlatformFleet Fleet(Store, HostCount);
  CallCounts Counts = sendCalls(Fleet, Seconds{10});
  CHECK(First.busiestWindow() <= MaxInWindow);
  CHECK(Second.busiestWindow() <= MaxInWindow);
  // Both targets accept 40 requests in 10 s.
  CHECK(Counts.Served_ >= 30);
  CHECK(Counts.Refused_ > 0);
  CHECK(Counts.Other_ == 0);
  CHECK(Counts.Served_ == First.requests() + Second.requests());
}
