#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

const std::string WholeStream =
    streamEvent(1) + streamEvent(2) + streamEvent(3) + streamEvent(4);

/// Time for an engine to come back after a crash. Crashes of one engine that
/// are closer together count once.
constexpr Milliseconds RestartTime{1100};

std::string promptRequest(const std::string &Prefix) {
  return platformRequest("POST", "/draft/1",
                         "Token-Count: 300,10\r\nPrompt-Prefix: " + Prefix +
                             "\r\n");
}

/// Engines that crash when they begin to answer a prompt with the part "dead".
/// Half of the crashes reset the connection without an answer, the other half
/// end an answer without a length before its first event.
struct CrashingEngines {
  CrashingEngines() {
    Store_.put("op/config", platformConfiguration());
    for (int I = 0; I < 6; ++I)
      Engines_.push_back(std::make_unique<TargetDouble>(
          Store_, "i-" + std::to_string(I), "engine",
          [this](RawServerConnection &Connection, const RawRequest &Request) {
            return answer(Connection, Request);
          }));
  }

  bool answer(RawServerConnection &Connection, const RawRequest &Request) {
    if (Request.field("Prompt-Prefix").find("dead:") == std::string::npos)
      return streamAll(Connection, Request);
    if (++DeadlyRequests_ % 2 == 0)
      return resetWithoutAnswer(Connection, Request);
    Connection.write(streamHead(Request) + "\r\nid: 1\nda");
    return false;
  }

  /// A prompt with the deadly part; no two are alike.
  static std::string deadlyPrompt(int Number) {
    return promptRequest("guide:100,subject-" + std::to_string(Number) +
                         ":50,dead:100,own-" + std::to_string(Number) + ":10");
  }

  static std::string soundPrompt(int Number) {
    return promptRequest("guide:100,subject-" + std::to_string(Number) +
                         ":50,sound-" + std::to_string(Number) + ":10");
  }

  StoreDouble Store_;
  std::atomic<int> DeadlyRequests_{0};
  std::vector<std::unique_ptr<TargetDouble>> Engines_;
};

} // namespace

// Rules BUDGET, LOST. Guards against prompts that have one part in common and
// crash one engine after the other, sent to one host after the other, and
// against refusing other prompts with it.
TEST_CASE("platform: a prompt part that crashes engines is refused by all "
          "hosts") {
  CrashingEngines Setup;
  PlatformFleet Fleet(Setup.Store_, 3);
  auto CallSound = [&](std::size_t Host, int Number) {
    PlatformAnswer Answer =
        Fleet.call(Host, CrashingEngines::soundPrompt(Number));
    CHECK(Answer.Status_ == 200);
    CHECK(Answer.Complete_);
  };
  constexpr int Requests = 6;
  PlatformAnswer LastDeadly;
  for (int I = 0; I < Requests; ++I) {
    std::size_t Host = static_cast<std::size_t>(I) % 3;
    CallSound(Host, I);
    LastDeadly = Fleet.call(Host, CrashingEngines::deadlyPrompt(I));
    std::this_thread::sleep_for(RestartTime);
  }
  CHECK(LastDeadly.Status_ == 503);
  CHECK(LastDeadly.Head_.find("Retry-After"));
  // Five crashes, and three requests after them.
  CHECK(Setup.DeadlyRequests_ <= 8);
  for (int I = 0; I < Requests; ++I)
    CallSound(static_cast<std::size_t>(I) % 3, I);

  // Hosts that start later send no such prompt either.
  int Before = Setup.DeadlyRequests_;
  Fleet.addHost(Setup.Store_);
  CHECK(Fleet.call(3, CrashingEngines::deadlyPrompt(Requests)).Status_ == 503);
  CHECK(Setup.DeadlyRequests_ == Before);
}

// Rule BUDGET. Guards against a part that crashes engines again because all
// hosts that refused it were killed at the same time.
TEST_CASE("platform: a prompt part that crashes engines is refused after all "
          "hosts were killed") {
  CrashingEngines Setup;
  {
    PlatformFleet Fleet(Setup.Store_, 2);
    PlatformAnswer Deadly;
    for (int I = 0; I < 6 && Deadly.Status_ != 503; ++I) {
      std::size_t Host = static_cast<std::size_t>(I) % 2;
      Deadly = Fleet.call(Host, CrashingEngines::deadlyPrompt(I));
      std::this_thread::sleep_for(RestartTime);
    }
    REQUIRE(Deadly.Status_ == 503);
  }
  int Before = Setup.DeadlyRequests_;
  PlatformFleet Fleet(Setup.Store_, 2);
  for (int I = 0; I < 4; ++I) {
    std::size_t Host = static_cast<std::size_t>(I) % 2;
    CHECK(Fleet.call(Host, CrashingEngines::deadlyPrompt(10 + I)).Status_ ==
          503);
    CHECK(Fleet.call(Host, CrashingEngines::soundPrompt(I)).Complete_);
  }
  CHECK(Setup.DeadlyRequests_ == Before);
}

// Rules MIXED, ORDER. Guards against a stream that ends with its connection and
// is cut or repeated, and against taking one that ends within an event, or is
// reset, as complete.
TEST_CASE("platform: a stream without length or chunks ends with its "
          "connection") {
  StoreDouble Store;
  Store.put("op/config", platformConfiguration());
  std::string End = GENERATE("whole", "within an event", "reset");
  CAPTURE(End);
  std::atomic<int> FirstRequests{0};
  TargetDouble Unframed(
      Store, "i-1", "engine",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        ++FirstRequests;
        std::string Bytes = streamHead(Request) + "\r\n" + streamEvent(1);
        if (End == "whole")
          Bytes += streamEvent(2) + streamEvent(3) + streamEvent(4);
        else if (End == "within an event")
          Bytes += "id: 2\nda";
        Connection.write(Bytes);
        std::this_thread::sleep_for(Milliseconds{50});
        if (End == "reset")
          Connection.resetOnClose();
        return false;
      });
  {
    PlatformFleet Fleet(Store, 1);
    PlatformAnswer Answer = Fleet.call(0, promptRequest("a:10,b:10"));
    CHECK(Answer.Complete_ == (End == "whole"));
    CHECK(Answer.Body_ == (End == "whole" ? WholeStream : streamEvent(1)));
  }
  TargetDouble Resuming(Store, "i-2", "engine", streamAll);
  PlatformFleet Fleet(Store, 1);
  // The prompt determines which engine is tried first.
  int Before = FirstRequests;
  for (int I = 0; I < 40 && FirstRequests == Before; ++I) {
    PlatformAnswer Answer =
        Fleet.call(0, promptRequest(std::to_string(I) + ":10,c:10"));
    CHECK(Answer.Complete_);
    CHECK(Answer.Body_ == WholeStream);
  }
  CHECK(FirstRequests == Before + 1);
}
