#include "Integration/Eventually.h"
#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

/// Time after a forwarded answer in which no host sends to a target that stated
/// in it that it leaves; half of bounds.drain_ms.
constexpr Milliseconds NoticeTime{1000};

/// A target whose answers contain a statement while one is set.
class StatingTarget final {
public:
  StatingTarget(StoreDouble &Store, std::string Id, std::string Service)
      : Target_(
            Store, std::move(Id), std::move(Service),
            [this](RawServerConnection &Connection, const RawRequest &Request) {
              return answer(Connection, Request);
            }) {}

  int requests() const { return Target_.requests(); }
  void restart() { Target_.restart(); }

  std::atomic<bool> IsLeaving_{false};
  /// Refuses with a wish for no requests in this time; 0 serves.
  std::atomic<int> RefuseForMs_{0};

private:
  bool answer(RawServerConnection &Connection, const RawRequest &Request) {
    if (int Wait = RefuseForMs_)
      Connection.write(rawAnswer(
          503,
          "Not-Executed: 1\r\nRequest-Id: " + Request.field("Request-Id") +
              "\r\nRetry-After: " + std::to_string(Wait / 1000.0) + "\r\n",
          ""));
    else if (Request.path().starts_with("/amaranthcourse/"))
      Connection.write(withStatement(stageAnswer(Request, Target_.address())));
    else if (Request.path().starts_with("/look/"))
      Connection.write(
          withStatement(rawAnswer(200, validResponseFields(Request), "done")));
    else
      Connection.write(withStatement(streamHead(Request) +
                                     "Transfer-Encoding: chunked\r\n\r\n" +
                                     transport::encodeChunk(streamEvent(1)) +
                                     std::string(transport::LastChunk)));
    return true;
  }

  /// Adds a field after the status line.
  std::string withStatement(std::string Answer) const {
    if (IsLeaving_)
      Answer.insert(Answer.find("\r\n") + 2, "Server-Leaving: 1\r\n");
    return Answer;
  }

  TargetDouble Target_;
};

std::string guideRequest() {
  return platformRequest("POST", "/guide/1", "Pieces: 4,4\r\nPiece-Key: k\r\n");
}

/// Callers at each host that send at the same time, so that all targets of a
/// service get requests.
constexpr int CallersPerHost = 4;

/// Sends plain requests and streams with stages to the first \p Hosts hosts and
/// checks that all are served.
void sendToHosts(PlatformFleet &Fleet, int Hosts, int Rounds) {
  std::atomic<int> Served{0};
  std::vector<std::thread> Callers;
  for (int Caller = 0; Caller < Hosts * CallersPerHost; ++Caller)
    Callers.emplace_back([&, Host = Caller % Hosts] {
      for (int I = 0; I < Rounds; ++I) {
        Served +=
            Fleet.call(Host, platformRequest("GET", "/look/1")).Status_ == 200;
        Served += Fleet.call(Host, guideRequest()).Status_ == 200;
      }
    });
  for (std::thread &Caller : Callers)
    Caller.join();
  CHECK(Served == Hosts * CallersPerHost * Rounds * 2);
}

} // namespace

// Rule L1. Guards against requests, stage calls and calls that free results
// that reach a target after it stated that it leaves, from the host that got
// the answer or from others; and against withholding them from its next
// process.
TEST_CASE("platform: a target that states that it leaves gets no request") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  std::vector<std::unique_ptr<StatingTarget>> Leaving;
  std::vector<std::unique_ptr<StatingTarget>> Staying;
  for (const char *Service : {"desk", "engine", "stage"}) {
    Leaving.push_back(std::make_unique<StatingTarget>(
        Store, std::string("1-") + Service, Service));
    Staying.push_back(std::make_unique<StatingTarget>(
        Store, std::string("2-") + Service, Service));
  }
  constexpr int Hosts = 3;
  PlatformFleet Fleet(Store, Hosts);
  auto Requests = [&] {
    return Leaving[0]->requests() + Leaving[1]->requests() +
           Leaving[2]->requests();
  };
  for (auto &Target : Leaving)
    Target->IsLeaving_ = true;
  // One host gets the answers with the statement of each target.
  CHECK(eventually(
      [&] {
        sendToHosts(Fleet, 1, 1);
        return Leaving[0]->requests() > 0 && Leaving[1]->requests() > 0 &&
               Leaving[2]->requests() > 0;
      },
      Seconds{10}));
  std::this_thread::sleep_for(NoticeTime);
  int Before = Requests();
  sendToHosts(Fleet, Hosts, 3);
  CHECK(Requests() == Before);
  for (auto &Target : Leaving) {
    Target->IsLeaving_ = false;
    Target->restart();
  }
  CHECK(eventually(
      [&] {
        sendToHosts(Fleet, Hosts, 1);
        return Requests() > Before;
      },
      Seconds{10}));
}

// Rules W1, R1. Guards against requests to a target that asked this host for a
// pause, as a host sends when it has no other; against requests that wait
// although the pause outlasts them; and against a target that gets none
// afterwards.
TEST_CASE("platform: a target that wants nothing gets no request meanwhile") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  StatingTarget Desk(Store, "i-1", "desk");
  PlatformFleet Fleet(Store, 1);
  constexpr Milliseconds Pause{4000};
  Desk.RefuseForMs_ = static_cast<int>(Pause.count());
  SteadyTime StatedAt = SteadyClock::now();
  for (int I = 0; I < 10; ++I) {
    PlatformAnswer Answer = Fleet.call(0, platformRequest("GET", "/look/1"));
    CHECK(Answer.Status_ == 503);
    REQUIRE(Answer.Head_.find("Retry-After"));
    CHECK(std::stod(*Answer.Head_.find("Retry-After")) > 1.0);
  }
  CHECK(SteadyClock::now() - StatedAt < Pause / 2);
  CHECK(Desk.requests() == 1);
  Desk.RefuseForMs_ = 0;
  std::this_thread::sleep_until(StatedAt + Pause);
  CHECK(Fleet.call(0, platformRequest("GET", "/look/1")).Status_ == 200);
}

// Rules W1, R1. Guards against requests that are refused although the only
// target takes them in time.
TEST_CASE("platform: requests wait for the only target") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  StatingTarget Desk(Store, "i-1", "desk");
  PlatformFleet Fleet(Store, 1);
  Desk.RefuseForMs_ = 1000;
  PlatformAnswer First = Fleet.call(0, platformRequest("GET", "/look/1"));
  CHECK(First.Status_ == 503);
  REQUIRE(First.Head_.find("Retry-After"));
  CHECK(std::stod(*First.Head_.find("Retry-After")) > 0.5);
  Desk.RefuseForMs_ = 0;
  SteadyTime SentAt = SteadyClock::now();
  CHECK(Fleet.call(0, platformRequest("GET", "/look/1")).Status_ == 200);
  CHECK(SteadyClock::now() - SentAt > Milliseconds{500});
  CHECK(Desk.requests() == 2);
}
