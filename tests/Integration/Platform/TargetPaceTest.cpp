#include "Coordination/Engines/EngineChooser.h"
#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

constexpr std::size_t HostCount = 4;
constexpr int ColdPerSecond = 6;
constexpr Milliseconds ColdTime{6000};
/// 1.5 times the rate and 5.
constexpr std::ptrdiff_t MaxInSecond = 14;
constexpr int CallsPerSecond = 120;

/// Long beside the delays of a busy machine, which hosts would otherwise take
/// for differences between the targets.
bool answerSlowly(RawServerConnection &Connection, const RawRequest &Request) {
  std::this_thread::sleep_for(Milliseconds{30});
  return answerDone(Connection, Request);
}

bool answerStageCallSlowly(RawServerConnection &Connection,
                           const RawRequest &Request,
                           const std::string &Address) {
  std::this_thread::sleep_for(Milliseconds{20});
  return answerStageCall(Connection, Request, Address);
}

/// A target of the service "desk" that states in its record that it is cold.
class ColdTarget final {
public:
  ColdTarget(StoreDouble &Store, const std::string &Id,
             const std::string &Service = "desk", const char *Zone = "a",
             Milliseconds Stated = ColdTime)
      : ColdUntil_(SteadyClock::now() + ColdTime),
        Server_(
            [this](RawServerConnection &Connection, const RawRequest &Request) {
              {
                std::lock_guard Lock(Mutex_);
                Arrivals_.push_back(SteadyClock::now());
              }
              return Request.path().starts_with("/amaranthcourse/")
                         ? answerStageCallSlowly(Connection, Request,
                                                 Server_.address())
                         : answerSlowly(Connection, Request);
            }) {
    Store.put("servers/" + Id, {{"service", Service},
                                {"address", Server_.address()},
                                {"zone", Zone},
                                {"version", "v1"},
                                {"slots", 8},
                                {"state", "ready"},
                                {"cold_remaining_ms", Stated.count()},
                                {"born", 1},
                                {"sequence", 1}});
  }

  SteadyTime coldUntil() const { return ColdUntil_; }

  std::ptrdiff_t arrivals(SteadyTime From, SteadyTime Until) {
    std::lock_guard Lock(Mutex_);
    return std::lower_bound(Arrivals_.begin(), Arrivals_.end(), Until) -
           std::lower_bound(Arrivals_.begin(), Arrivals_.end(), From);
  }

  /// Most requests in any second in which the target is cold.
  std::ptrdiff_t busiestColdSecond() {
    std::vector<SteadyTime> Begins;
    {
      std::lock_guard Lock(Mutex_);
      Begins = Arrivals_;
    }
    std::ptrdiff_t Busiest = 0;
    for (SteadyTime Begin : Begins)
      Busiest = std::max(
          Busiest, arrivals(Begin, std::min(Begin + Seconds{1}, ColdUntil_)));
    return Busiest;
  }

private:
  SteadyTime ColdUntil_;
  std::mutex Mutex_;
  std::vector<SteadyTime> Arrivals_;
  RawServer Server_;
};

/// A fleet that serves with one target, under constant load from callers that
/// avoid the hosts that a test has stopped.
class LoadedFleet final {
public:
  LoadedFleet() {
    nlohmann::json Configuration = platformConfiguration();
    Configuration["services"][0]["cold_start_s"] = 6;
    Configuration["services"][0]["cold_per_s"] = ColdPerSecond;
    Store_.put("op/config", Configuration);
    Warm_ = std::make_unique<TargetDouble>(Store_, "i-1", "desk", answerSlowly);
    Fleet_ = std::make_unique<PlatformFleet>(Store_, HostCount);
    constexpr std::size_t Callers = 8 * HostCount;
    for (std::size_t Caller = 0; Caller < Callers; ++Caller)
      Threads_.emplace_back([this, Caller] {
        constexpr Milliseconds Period{1000 * Callers / CallsPerSecond};
        SteadyTime Next = SteadyClock::now() + Period * (Caller % 8) / 8;
        for (std::size_t Call = Caller; !Ended_; ++Call) {
          std::this_thread::sleep_until(Next);
          Next += Period;
          std::size_t Host = Call % HostCount;
          if (Host == Lost_)
            continue;
          int Status =
              Fleet_->call(Host, platformRequest("GET", "/look/1")).Status_;
          // A host that is being stopped does not answer.
          Failed_ += Status != 200 && Host != Lost_;
        }
      });
  }
  ~LoadedFleet() { end(); }

  void end() {
    Ended_ = true;
    for (std::thread &Thread : Threads_)
      if (Thread.joinable())
        Thread.join();
  }

  /// Takes the host away that is elected for \p Target.
  void lose(const std::string &Target, void (ChildProcess::*Signal)()) {
    std::size_t Elected = 0;
    auto Rank = [&](std::size_t Host) {
      return coordination::rendezvousRank(Target,
                                          "host-" + std::to_string(Host));
    };
    for (std::size_t Host = 1; Host < HostCount; ++Host)
      if (Rank(Host) > Rank(Elected))
        Elected = Host;
    Lost_ = Elected;
    (Fleet_->process(Elected).*Signal)();
  }

  StoreDouble Store_;
  std::unique_ptr<TargetDouble> Warm_;
  std::unique_ptr<PlatformFleet> Fleet_;
  std::atomic<std::size_t> Lost_{HostCount};
  std::atomic<bool> Ended_{false};
  std::atomic<int> Failed_{0};
  std::vector<std::thread> Threads_;
};

} // namespace

// Rule FAILBACK. Guards against hosts that together send a cold target more
// requests than it accepts, and against a target that stays idle after that.
TEST_CASE("platform: a cold target gets its rate from all hosts together and "
          "then its share") {
  LoadedFleet Fleet;
  ColdTarget Cold(Fleet.Store_, "i-2");
  std::this_thread::sleep_until(Cold.coldUntil() + Seconds{5});
  Fleet.end();
  SteadyTime Until = Cold.coldUntil() + Seconds{5};
  CHECK(Cold.busiestColdSecond() <= MaxInSecond);
  CHECK(Cold.arrivals({}, Cold.coldUntil()) >= 3 * ColdPerSecond);
  // Half of the calls, less what the machine's load costs.
  CHECK(Cold.arrivals(Until - Seconds{2}, Until) >= 2 * CallsPerSecond / 4);
  CHECK(Fleet.Failed_ == 0);
}

// Rule FAILBACK. Guards against targets that get their whole share as soon as
// their zone returns, before their records state that they are cold.
TEST_CASE("platform: a target of a zone that returns is paced") {
  constexpr Milliseconds UnconfirmedTime{2500};
  LoadedFleet Fleet;
  Fleet.Store_.put("op/evacuate/b", nlohmann::json::object());
  std::this_thread::sleep_for(Seconds{1});
  ColdTarget Returned(Fleet.Store_, "i-2", "desk", "b", Milliseconds{0});
  std::this_thread::sleep_until(Returned.coldUntil() - UnconfirmedTime);
  CHECK(Returned.arrivals({}, Returned.coldUntil()) == 0);
  Fleet.Store_.remove("op/evacuate/b");
  std::this_thread::sleep_until(Returned.coldUntil() + Seconds{1});
  Fleet.end();
  CHECK(Returned.busiestColdSecond() <= MaxInSecond);
  CHECK(Returned.arrivals({}, Returned.coldUntil()) >= ColdPerSecond);
  CHECK(Fleet.Failed_ == 0);
}

// Rule FAILBACK. Guards against a dispatcher that keeps a cold stage target
// busy with calls, which do not ask for permits.
TEST_CASE("platform: a cold stage target gets no more calls than it accepts") {
  StoreDouble Store;
  nlohmann::json Configuration = platformConfiguration();
  Configuration["services"][2]["cold_start_s"] = 6;
  Configuration["services"][2]["cold_per_s"] = ColdPerSecond;
  Store.put("op/config", Configuration);
  TargetDouble Engine(Store, "e-1", "engine", streamAll);
  std::string WarmAddress;
  TargetDouble Warm(
      Store, "i-1", "stage",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        return answerStageCallSlowly(Connection, Request, WarmAddress);
      });
  WarmAddress = Warm.address();
  PlatformFleet Fleet(Store, 2);
  ColdTarget Cold(Store, "i-2", "stage");
  std::atomic<int> Served{0};
  std::vector<std::thread> Callers;
  // Enough that the warm target is always busy.
  for (std::size_t Caller = 0; Caller < 6; ++Caller)
    Callers.emplace_back([&, Caller] {
      std::string Pieces = "Pieces: 1,1\r\n";
      while (SteadyClock::now() < Cold.coldUntil() - Seconds{1})
        Served +=
            Fleet.call(Caller % 2, platformRequest("POST", "/guide/1", Pieces))
                .Status_ == 200;
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Served > 40);
  CHECK(Cold.arrivals({}, Cold.coldUntil()) >= ColdPerSecond);
  CHECK(Cold.busiestColdSecond() <= MaxInSecond);
}

// Rule FAILBACK. Guards against a burst at a cold target when the host that
// gives its places is lost, or cannot be reached and then returns.
TEST_CASE("platform: a cold target's rate holds while the host that paces it "
          "is lost") {
  auto Signal = GENERATE(&ChildProcess::kill, &ChildProcess::stop);
  LoadedFleet Fleet;
  ColdTarget Cold(Fleet.Store_, "i-2");
  std::this_thread::sleep_until(Cold.coldUntil() - Milliseconds{3500});
  Fleet.lose("i-2", Signal);
  std::this_thread::sleep_until(Cold.coldUntil() - Milliseconds{1500});
  Fleet.Fleet_->process(Fleet.Lost_).resume();
  std::this_thread::sleep_until(Cold.coldUntil());
  Fleet.end();
  CHECK(Cold.busiestColdSecond() <= MaxInSecond);
  CHECK(Cold.arrivals(Cold.coldUntil() - Milliseconds{1500},
                      Cold.coldUntil()) >= 2);
  CHECK(Fleet.Failed_ == 0);
}
