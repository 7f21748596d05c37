#include "Integration/Eventually.h"
#include "Integration/Fleet.h"
#include "Integration/PromptCaller.h"

#include <catch2/catch.hpp>

#include <future>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

const std::string Marker = "CRASH-NOW";

/// Engines that one input may crash at most while all hosts know the same
/// targets (docs/design.md, section 6.8).
constexpr int MaxCrashedEngines = 2;

/// Engines whose process ends when they run a prompt with the marker, behind
/// three daemons.
class CrashableEngines final {
public:
  explicit CrashableEngines(int Count) {
    PipelineSettings Service;
    for (int I = 0; I < Count; ++I) {
      Engines_.push_back(std::make_unique<StandinProcess>(
          "engine", std::vector<std::string>{"--token-us=20000", "--slots=32",
                                             "--crash-marker=" + Marker}));
      Service.Engines_.push_back(Engines_.back()->address());
    }
    Fleet_.apply(Service);
  }

  std::string host(std::size_t Index) {
    return Fleet_.daemon(Index).callerAddress();
  }
  const std::string &engine(std::size_t Index) const {
    return Engines_.at(Index)->address();
  }

  std::future<PromptAnswer> askAsync(std::size_t Host, const Prompt &Request) {
    return std::async(std::launch::async, [Address = host(Host), Request] {
      return askPrompt(Address, Request);
    });
  }

  /// Starts requests without the marker that run for about 2 s.
  void startOtherRequests() {
    for (std::size_t I = 0; I < 12; ++I) {
      Prompt Request;
      Request.Text_ = "innocent " + std::to_string(I);
      Request.MaxTokens_ = 100;
      Request.Stream_ = I % 2 == 0;
      OtherRequests_.push_back(Request);
      PendingAnswers_.push_back(askAsync(I % 3, Request));
    }
    REQUIRE(eventually([&] { return runningCount() == 12; }));
  }

  void checkOtherRequests() {
    for (std::size_t I = 0; I < OtherRequests_.size(); ++I) {
      PromptAnswer Answer = PendingAnswers_[I].get();
      CAPTURE(I, Answer.Status_, Answer.Outcome_, Answer.Detail_);
      CHECK(Answer.isAnswerTo(OtherRequests_[I]));
    }
  }

  int crashedCount() {
    int Crashed = 0;
    for (auto &Engine : Engines_)
      Crashed += Engine->process().waitExit(Milliseconds{0}).has_value();
    return Crashed;
  }

private:
  int runningCount() {
    int Running = 0;
    for (auto &Engine : Engines_)
      Running += Engine->get("/standin/state").value("running", 0);
    return Running;
  }

  std::vector<std::unique_ptr<StandinProcess>> Engines_;
  Fleet Fleet_;
  std::vector<Prompt> OtherRequests_;
  std::vector<std::future<PromptAnswer>> PendingAnswers_;
};

Prompt crashingPrompt(const std::string &Text) {
  Prompt Request;
  Request.Text_ = Text + " " + Marker;
  return Request;
}

void sendToEachHost(CrashableEngines &Engines) {
  for (int Round = 0; Round < 2; ++Round)
    for (std::size_t Host = 0; Host < 3; ++Host) {
      PromptAnswer Answer =
          askPrompt(Engines.host(Host), crashingPrompt("in turn"));
      CAPTURE(Round, Host, Answer.Detail_);
      CHECK_FALSE(Answer.Complete_);
      CHECK(Answer.Status_ >= 400);
    }
}

void sendToAllHostsAtOnce(CrashableEngines &Engines) {
  for (int Round = 0; Round < 2; ++Round) {
    std::vector<std::future<PromptAnswer>> Answers;
    for (std::size_t I = 0; I < 6; ++I)
      Answers.push_back(Engines.askAsync(I % 3, crashingPrompt("at once")));
    for (auto &Pending : Answers)
      CHECK_FALSE(Pending.get().Complete_);
  }
}

} // namespace

// Control for this file: without a limit, a caller that resends the prompt to
// each engine crashes all of them.
TEST_CASE("a repeated prompt crashes every engine without a bound",
          "[proof][crash][counterpart]") {
  CrashableEngines Engines(4);
  for (std::size_t I = 0; I < 4; ++I)
    callJson(Engines.engine(I), "POST", "/v1/completions",
             {{"prompt", "naive " + Marker}, {"max_tokens", 4}});
  CHECK(eventually([&] { return Engines.crashedCount() == 4; }));
}

// Guards against a prompt that crashes one engine per entry host.
TEST_CASE("a prompt sent to each host in turn crashes two engines at most",
          "[proof][crash]") {
  CrashableEngines Engines(6);
  Engines.startOtherRequests();
  sendToEachHost(Engines);
  CHECK(Engines.crashedCount() >= 1);
  CHECK(Engines.crashedCount() <= MaxCrashedEngines);
}

// Guards against entry hosts that each crash engines before gossip reports the
// crashes that the other hosts caused.
TEST_CASE("a prompt sent to all hosts at once crashes two engines at most",
          "[.][known-red][proof][crash]") {
  CrashableEngines Engines(6);
  Engines.startOtherRequests();
  sendToAllHostsAtOnce(Engines);
  CHECK(Engines.crashedCount() >= 1);
  CHECK(Engines.crashedCount() <= MaxCrashedEngines);
}

// Guards against unrelated requests that fail because another request crashes
// their engine.
TEST_CASE("requests beside a prompt sent to each host in turn complete",
          "[proof][crash][innocent]") {
  CrashableEngines Engines(6);
  Engines.startOtherRequests();
  sendToEachHost(Engines);
  Engines.checkOtherRequests();
}

// Guards against unrelated requests that lose both of their candidate engines
// at the same moment as the crashing prompt, and are refused together with it.
TEST_CASE("requests beside a prompt sent to all hosts at once complete",
          "[proof][crash][innocent]") {
  CrashableEngines Engines(6);
  Engines.startOtherRequests();
  sendToAllHostsAtOnce(Engines);
  Engines.checkOtherRequests();
}
