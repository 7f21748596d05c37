#include "Integration/Platform/PlatformFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <mutex>
#include <thread>
#include <vector>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

constexpr int MemoryTokens = 1000;
constexpr int RequestTokens = 300;

/// Counts the tokens of the requests that an engine has in progress.
struct TokenCount {
  void add(int Tokens) {
    std::lock_guard Lock(Mutex_);
    Held_ += Tokens;
    Most_ = std::max(Most_, Held_);
  }
  std::mutex Mutex_;
  int Held_ = 0;
  int Most_ = 0;
};

} // namespace

// Requirement M2. Load: 10 prompts at once for an engine that holds three.
// Guards against an engine that crashes because it gets more than fits into its
// memory, against refusing requests that only have to wait, and against sending
// a prompt that fits into no engine.
TEST_CASE("platform: an engine never holds more tokens than its memory") {
  StoreDouble Store;
  nlohmann::json Configuration = platformConfiguration();
  Configuration["services"][1]["engine"] = {
      {"slots", 64}, {"kv_capacity_tokens", MemoryTokens}};
  Store.put("op/config", Configuration);
  TokenCount Count;
  TargetDouble Engine(
      Store, "i-1", "engine",
      [&](RawServerConnection &Connection, const RawRequest &Request) {
        Count.add(RequestTokens);
        std::this_thread::sleep_for(Milliseconds{100});
        Count.add(-RequestTokens);
        return streamAll(Connection, Request);
      });
  PlatformFleet Fleet(Store, 1);
  std::vector<std::future<PlatformAnswer>> Answers;
  for (int I = 0; I < 10; ++I)
    Answers.push_back(std::async(std::launch::async, [&] {
      return Fleet.call(
          0, platformRequest("POST", "/once/1", "Token-Count: 200,100\r\n"));
    }));
  for (std::future<PlatformAnswer> &Answer : Answers)
    CHECK(Answer.get().Status_ == 200);
  CHECK(Count.Most_ == 3 * RequestTokens);
  SteadyTime Sent = SteadyClock::now();
  PlatformAnswer TooLarge = Fleet.call(
      0, platformRequest("POST", "/once/1", "Token-Count: 1001,1\r\n"));
  CHECK(TooLarge.Status_ == 503);
  CHECK(SteadyClock::now() - Sent < Milliseconds{500});
  CHECK(Engine.requests() == 10);
}
