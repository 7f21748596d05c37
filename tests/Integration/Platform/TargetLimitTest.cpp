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

/// A target that states a limit in all answers.
class LimitedTarget final {
public:
  LimitedTarget(StoreDouble &Store, std::string Id,
                std::string Service = "desk")
      : Target_(
            Store, std::move(Id), std::move(Service),
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
    std::string Answer =
        Request.path().starts_with("/amaranthcourse/")
            ? stageAnswer(Request, Target_.address())
            : rawAnswer(200, validResponseFields(Request), "done");
    Answer.insert(Answer.find("\r\n") + 2,
                  "Server-Limit: " + std::to_string(Limit) + "\r\n");
    Connection.write(Answer);
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

std::string lookRequest() { return platformRequest("GET", "/look/1"); }

std::string guideRequest() {
  return platformRequest("POST", "/guide/1", "Pieces: 4,4\r\nPiece-Key: k\r\n");
}

/// Sends up to 24 calls a second for \p Duration. Enough callers wait at the
/// same time that some have to be refused if the targets' limits are kept.
/// Fewer \p Callers send fewer calls.
CallCounts sendCalls(PlatformFleet &Fleet, Seconds Duration,
                     std::string (*MakeRequest)() = lookRequest,
                     std::size_t Callers = 4 * HostCount) {
  constexpr Milliseconds CallPeriod{1000 * 4 * HostCount / 24};
  std::mutex Mutex;
  CallCounts Counts;
  SteadyTime End = SteadyClock::now() + Duration;
  auto CallHost = [&](std::size_t Host) {
    while (SteadyClock::now() < End) {
      SteadyTime NextCall = SteadyClock::now() + CallPeriod;
      int Status = Fleet.call(Host, MakeRequest()).Status_;
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

// Rule S1 (LIMIT for stages). Guards against stage calls, and calls that free
// results, beyond what their target accepts, and against pieces that are never
// made there.
TEST_CASE("platform: stage targets get no more calls than they accept") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  LimitedTarget Stage(Store, "i-1", "stage");
  TargetDouble Engine(Store, "i-2", "engine", streamAll);
  PlatformFleet Fleet(Store, HostCount);
  CallCounts Counts = sendCalls(Fleet, Seconds{12}, guideRequest, HostCount);
  CHECK(Stage.busiestWindow() <= MaxInWindow);
  // Two calls a second make the pieces of two requests, less what the calls
  // that free results take.
  CHECK(Counts.Served_ >= 10);
  CHECK(Counts.Other_ == 0);
}
