#include "Coordination/Admission.h"
#include "Coordination/OpenAdmission.h"

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace amaranth;
using namespace amaranth::coordination;

namespace {

AdmissionRequest request(std::string Id, int MaxTokens = 10,
                         std::string Account = "a") {
  AdmissionRequest Request;
  Request.RequestId_ = std::move(Id);
  Request.Service_ = "guides";
  Request.Account_ = std::move(Account);
  Request.MaxTokens_ = MaxTokens;
  Request.Deadline_ = SteadyClock::now() + Seconds{20};
  return Request;
}

AdmissionSettings slots(double Short, double Long) {
  AdmissionSettings Settings;
  Settings.MaxShort_ = Short;
  Settings.MaxLong_ = Long;
  return Settings;
}

constexpr int LongTokens = 1000;

using Decision = AdmissionPolicy::Decision;

std::future<Decision> admitAsync(AdmissionPolicy &Policy,
                                 AdmissionRequest Request) {
  return std::async(std::launch::async,
                    [&Policy, Request] { return Policy.admit(Request); });
}

/// Waits until \p Count requests are queued.
void waitQueued(Admission &Policy, std::size_t Count) {
  SteadyTime GiveUpTime = SteadyClock::now() + Seconds{20};
  while (SteadyClock::now() < GiveUpTime) {
    AdmissionLoad Load = Policy.load();
    if (Load.ShortQueued_ + Load.LongQueued_ == Count)
      return;
    std::this_thread::yield();
  }
  FAIL("expected number of queued requests not reached within 20 s");
}

} // namespace

// Guards against slots that stay occupied when a permit is moved or a request
// ends with an exception.
TEST_CASE("a permit gives its place back exactly once") {
  Admission Policy(slots(4, 4));
  for (int I = 0; I < 100; ++I) {
    try {
      Decision First = Policy.admit(request("r"));
      REQUIRE(First.Permit_);
      Permit Moved = std::move(First.Permit_);
      if (I % 2 == 0)
        throw std::runtime_error("fault");
      Moved.release();
      Moved = Permit();
    } catch (const std::runtime_error &) {
    }
  }
  CHECK(Policy.load().ShortRunning_ == 0);
}

// Guards against slots or queue entries that stay occupied when callers
// disconnect while queued.
TEST_CASE("a queued request can be cancelled") {
  Admission Policy(slots(4, 0));
  std::vector<Decision> Running;
  for (int I = 0; I < 4; ++I)
    Running.push_back(Policy.admit(request("running")));
  for (int I = 0; I < 20; ++I) {
    auto Queued = admitAsync(Policy, request("queued"));
    waitQueued(Policy, 1);
    Policy.cancel("queued");
    Decision Ended = Queued.get();
    CHECK_FALSE(Ended.Permit_);
    CHECK(Ended.Status_ == 499);
  }
  waitQueued(Policy, 0);
  Running.clear();
  CHECK(Policy.admit(request("later")).Permit_);
  CHECK(Policy.load().ShortRunning_ == 0);
}

// Guards against short work that waits behind long work.
TEST_CASE("short work borrows from long work and not the reverse") {
  Admission Policy(slots(4, 4));
  std::vector<Decision> Running;
  for (int I = 0; I < 8; ++I)
    Running.push_back(Policy.admit(request("short")));
  for (const Decision &Admitted : Running)
    CHECK(Admitted.Permit_);
  Running.clear();
  for (int I = 0; I < 4; ++I)
    Running.push_back(Policy.admit(request("long", LongTokens)));
  auto Fifth = admitAsync(Policy, request("fifth", LongTokens));
  waitQueued(Policy, 1);
  Decision Short = Policy.admit(request("short"));
  REQUIRE(Short.Permit_);
  CHECK(Short.Permit_.grant().Priority_ > Running[0].Permit_.grant().Priority_);
  Running.pop_back();
  CHECK(Fifth.get().Permit_);
}

// Guards against running a request that is predicted to miss its deadline, and
// against a refusal without a retry delay.
TEST_CASE("a request that cannot meet its deadline is refused before it runs") {
  AdmissionSettings Settings = slots(4, 4);
  Settings.Estimate_ = [](const std::string &, double Tokens, SizeClass) {
    return Microseconds{static_cast<Microseconds::rep>(Tokens * 1000)};
  };
  Admission Policy(Settings);
  AdmissionRequest Late = request("late", LongTokens);
  Late.Deadline_ = SteadyClock::now() + Milliseconds{500};
  Decision Refused = Policy.admit(Late);
  CHECK_FALSE(Refused.Permit_);
  CHECK(Refused.Status_ == 503);
  CHECK(Refused.RetryAfter_ >= Milliseconds{400});
  CHECK(Policy.admit(request("in time", 100)).Permit_);
}

// Guards against a request that stays queued after its latest start time.
TEST_CASE("a queued request is refused when it is too late to start") {
  Admission Policy(slots(4, 0));
  std::vector<Decision> Running;
  for (int I = 0; I < 4; ++I)
    Running.push_back(Policy.admit(request("running")));
  AdmissionRequest Short = request("queued");
  Short.Deadline_ = SteadyClock::now() + Milliseconds{20};
  CHECK(Policy.admit(Short).Status_ == 503);
  OpenAdmission Baseline(1);
  Decision First = Baseline.admit(request("first"));
  Short.Deadline_ = SteadyClock::now() + Milliseconds{20};
  CHECK(Baseline.admit(Short).Status_ == 503);
}

// Guards against classifying all requests of an account as long work when it
// sets max_tokens high but uses few tokens.
TEST_CASE("account history changes the predicted size") {
  SizePredictor Sizes({});
  CHECK(Sizes.predict("a", 0, 400).Class_ == SizeClass::Long);
  for (int I = 0; I < 60; ++I)
    Sizes.record("a", 400, 20);
  CHECK(Sizes.predict("a", 0, 400).Class_ == SizeClass::Short);
  CHECK(Sizes.predict("b", 0, 400).Class_ == SizeClass::Long);
}

// Guards against an account with many requests taking the share of a small one.
TEST_CASE("accounts share by weight whatever their number of requests") {
  FairQueue Queue;
  SteadyTime Now{};
  std::uint64_t Id = 0;
  for (int I = 0; I < 1000; ++I)
    Queue.push({++Id, "large", 1, 10, Now});
  for (int I = 0; I < 10; ++I)
    Queue.push({++Id, "small", 1, 10, Now});
  // Ten requests of its own and eleven of the large account.
  CHECK(Queue.costAhead("small") == 210);
  CHECK(Queue.costAhead("large") == 10100);
  int Small = 0;
  for (int I = 0; I < 20; ++I)
    Small += Queue.pop(Now, Seconds{1})->Account_ == "small";
  CHECK(Small >= 9);
  // An aged item is taken first at every second call, whatever its tag.
  Queue.push({++Id, "costly", 0.001, 10, Now});
  Queue.push({++Id, "costly", 0.001, 10, Now});
  bool CostlyServed = false;
  SteadyTime Later = Now + Seconds{5};
  for (int I = 0; I < 2000 && !Queue.empty(); ++I)
    CostlyServed =
        CostlyServed || Queue.pop(Later, Seconds{1})->Account_ == "costly";
  CHECK(CostlyServed);
}

// Guards against charging an account for a cancelled request.
TEST_CASE("a removed request gives its cost back to its account") {
  FairQueue Queue;
  SteadyTime Now{};
  Queue.push({1, "a", 1, 100, Now});
  Queue.push({2, "a", 1, 1, Now});
  Queue.push({3, "b", 1, 1, Now});
  CHECK(Queue.remove(1));
  CHECK_FALSE(Queue.remove(1));
  CHECK(Queue.pop(Now, Seconds{1})->Id_ == 2);
  CHECK(Queue.pop(Now, Seconds{1})->Id_ == 3);
  CHECK(Queue.empty());
}

// Pattern: connections to targets go silent under a load that the fleet
// carries. Guards against time lost on silent targets that counts as a queue,
// so that the next requests are refused although targets are free.
TEST_CASE("time lost on silent targets does not fill the queue") {
  SteadyTime Now{Seconds{1000}};
  AdmissionSettings Settings;
  Settings.Now_ = [&Now] { return Now; };
  Admission Policy(Settings);
  auto Request = [&Now] {
    AdmissionRequest Steady = request("steady");
    Steady.Deadline_ = Now + Seconds{20};
    return Steady;
  };
  auto RunTogether = [&](int Count, Milliseconds Duration,
                         Milliseconds LostTime) {
    std::vector<Permit> Permits;
    for (int I = 0; I < Count; ++I) {
      Admission::PendingRequest Pending = Policy.enqueue(Request());
      CHECK(Policy.isDecided(Pending));
      Decision Decided = Policy.takeDecision(std::move(Pending));
      CHECK(Decided.Detail_ == "");
      Permits.push_back(std::move(Decided.Permit_));
    }
    Now += Duration;
    for (Permit &Running : Permits)
      Running.complete({10, LostTime});
  };
  for (int I = 0; I < 100; ++I)
    RunTogether(12, Milliseconds{50}, Milliseconds{0});
  RunTogether(12, Milliseconds{1550}, Milliseconds{1500});
  RunTogether(12, Milliseconds{50}, Milliseconds{0});
}
