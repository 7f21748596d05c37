#include "Integration/CompletionStream.h"
#include "Integration/Eventually.h"
#include "Integration/OrderFixture.h"
#include "Integration/PromptCaller.h"
#include "Standin/DeterministicText.h"
#include "Support/Digest.h"

#include <catch2/catch.hpp>

#include <future>

using namespace amaranth;
using namespace amaranth::integration;

namespace {

const std::vector<std::string> EngineArguments{"--token-us=1000",
                                               "--prefill-us=10"};

/// Tokens of most answers, enough for the stream to reach the latest cut.
constexpr int PromptTokens = 60;

FleetSettings oneDaemonSettings() {
  FleetSettings Settings;
  Settings.Daemons_ = 1;
  Settings.ExtraDaemonSettings_ += "\nprogress_timeout_ms = 400";
  return Settings;
}

/// Sends some prompts, each as a whole and as a stream, and checks the answers.
/// Returns the number of retries, which shows that the fault took effect.
int checkAnswers(Fleet &Daemons, const std::string &Name) {
  int Repeated = 0;
  for (int I = 0; I < 8; ++I) {
    Prompt Request;
    Request.MaxTokens_ = PromptTokens;
    Request.Text_ = Name + " prompt " + std::to_string(I);
    PromptAnswer WholeAnswer =
        askPrompt(Daemons.daemon(0).callerAddress(), Request);
    CAPTURE(Name, I, WholeAnswer.Status_, WholeAnswer.Detail_);
    CHECK(WholeAnswer.isAnswerTo(Request));
    Repeated += WholeAnswer.Attempts_ - 1;
    Request.Stream_ = true;
    PromptAnswer StreamedAnswer =
        askPrompt(Daemons.daemon(0).callerAddress(), Request);
    CAPTURE(StreamedAnswer.Status_, StreamedAnswer.Detail_,
            StreamedAnswer.Text_);
    CHECK(StreamedAnswer.isAnswerTo(Request));
  }
  return Repeated;
}

} // namespace

// Guards against a stale reply that is passed on as the answer to the current
// request: the target answers calls with the answer to the previous call.
TEST_CASE("a stale reply reaches no other request", "[proof][results][stale]") {
  OrderFixtureSettings Settings;
  Settings.Fleet_ = oneDaemonSettings();
  bool Idempotent = GENERATE(false, true);
  Settings.Idempotent_ = Idempotent;
  OrderFixture Fixture(Settings);
  std::vector<std::future<OrderAnswer>> Pending;
  Fixture.send(0, Fixture.makePlainOrder());
  Fixture.setServiceSwitches({{"stale_replies", 5}});
  for (int I = 0; I < 30; ++I)
    Pending.push_back(Fixture.sendAsync(0, Fixture.makeTicketedOrder(0)));
  int Completed = 0;
  for (auto &Answer : Pending)
    Completed += Answer.get().Outcome_ == "completed";
  CAPTURE(Idempotent, Fixture.checkOrders().Outcomes_);
  CHECK(Completed >= 20);
  CHECK(Fixture.checkOrders().Contradictory_ == 0);
  CHECK(Fixture.services().get("/standin/switches")["stale_replies"] < 5);
  if (!Idempotent)
    CHECK(Fixture.checkOrders().violations() == 0);
}

// Control: a direct caller of the target gets the answer to another order.
TEST_CASE("a direct caller of a target receives a stale reply",
          "[proof][results][counterpart]") {
  StandinProcess Service("service", {"--service-us=500"});
  callJson(Service.address(), "POST", "/v1/calls/place", {{"order_id", "a"}});
  Service.setSwitches({{"stale_replies", 1}});
  auto Outcome = callJson(Service.address(), "POST", "/v1/calls/place",
                          {{"order_id", "b"}});
  REQUIRE(Outcome.Ok_);
  CHECK(nlohmann::json::parse(Outcome.Reply_.Body_)["order_id"] == "a");
}

// Guards against text that is lost, repeated or corrupted when a connection is
// cut in the headers, inside an event or close to the end.
TEST_CASE("a stream cut at any byte is resumed elsewhere",
          "[proof][results][cut]") {
  for (int Bytes : {1, 60, 150, 233, 400, 1000, 2000, 3000}) {
    StandinProcess Engines("engine", EngineArguments, 2);
    StandinProcess Proxy("proxy", {"--to=" + Engines.address(0)});
    Proxy.setSwitches({{"cut_after_to_client", Bytes}});
    Fleet Daemons(oneDaemonSettings());
    PipelineSettings Service;
    Service.Engines_ = {Proxy.address(), Engines.address(1)};
    Daemons.apply(Service);
    CAPTURE(Bytes);
    CHECK(checkAnswers(Daemons, "cut " + std::to_string(Bytes)) > 0);
  }
}

// Guards against the same faults after a cut between two tokens.
TEST_CASE("a stream cut after some tokens is resumed elsewhere",
          "[proof][results][cut]") {
  for (int Tokens : {0, 1, 20, PromptTokens - 1, PromptTokens}) {
    StandinProcess Engines("engine", EngineArguments, 2);
    Engines.setSwitches({{"cut_after_tokens", Tokens}}, 0);
    Fleet Daemons(oneDaemonSettings());
    PipelineSettings Service;
    Service.Engines_ = {Engines.address(0), Engines.address(1)};
    Daemons.apply(Service);
    CHECK(checkAnswers(Daemons, "tokens " + std::to_string(Tokens)) > 0);
  }
}

// Guards against a request that waits for a target that makes no progress.
TEST_CASE("a stream that falls silent is resumed elsewhere",
          "[proof][results][silent]") {
  StandinProcess Engines("engine", EngineArguments, 2);
  Engines.setSwitches({{"silent_after_tokens", 10}}, 0);
  Fleet Daemons(oneDaemonSettings());
  PipelineSettings Service;
  Service.Engines_ = {Engines.address(0), Engines.address(1)};
  Daemons.apply(Service);
  CHECK(checkAnswers(Daemons, "silent") > 0);
}

// Guards against a truncated answer when the engine's process is killed.
TEST_CASE("a stream survives the death of its engine",
          "[proof][results][kill]") {
  for (bool Stream : {true, false}) {
    std::vector<std::string> SlowArguments{"--token-us=10000"};
    StandinProcess First("engine", SlowArguments);
    StandinProcess Second("engine", SlowArguments);
    Fleet Daemons(oneDaemonSettings());
    PipelineSettings Service;
    Service.Engines_ = {First.address(), Second.address()};
    Daemons.apply(Service);
    Prompt Request;
    Request.Text_ = "an engine dies";
    Request.Stream_ = Stream;
    auto Pending = std::async(std::launch::async, [&] {
      return askPrompt(Daemons.daemon(0).callerAddress(), Request);
    });
    StandinProcess *Running = nullptr;
    REQUIRE(eventually([&] {
      for (StandinProcess *Engine : {&First, &Second})
        if (Engine->get("/standin/state")["running"] == 1)
          Running = Engine;
      return Running != nullptr;
    }));
    Running->process().kill();
    PromptAnswer Answer = Pending.get();
    CAPTURE(Stream, Answer.Status_, Answer.Detail_);
    CHECK(Answer.isAnswerTo(Request));
  }
}

// Control: a direct caller of the engine gets a truncated text.
TEST_CASE("a direct caller of an engine receives a truncated stream",
          "[proof][results][counterpart]") {
  StandinProcess Engine("engine", EngineArguments);
  Engine.setSwitches({{"cut_after_tokens", 20}});
  CompletionStream Stream(Engine.address(),
                          {{"prompt", "truncated"}, {"max_tokens", 40}});
  Stream.run();
  CHECK_FALSE(Stream.Done_);
  CHECK(Stream.ReceivedTokens_ < 40);
}

// Guards against an incomplete stream that ends with an `end` event or without
// an error event.
TEST_CASE("a stream that cannot be completed ends with an error",
          "[proof][results][cut]") {
  StandinProcess Engines("engine", EngineArguments, 2);
  for (std::size_t I : {0U, 1U})
    Engines.setSwitches({{"cut_after_tokens", 3}}, I);
  Fleet Daemons(oneDaemonSettings());
  PipelineSettings Service;
  Service.Engines_ = {Engines.address(0), Engines.address(1)};
  Daemons.apply(Service);
  Prompt Request;
  Request.Text_ = "never complete";
  Request.MaxTokens_ = 500;
  Request.Stream_ = true;
  PromptAnswer Answer = askPrompt(Daemons.daemon(0).callerAddress(), Request);
  CHECK_FALSE(Answer.Complete_);
  CHECK(Answer.Outcome_ == "failed");
  std::string WholeAnswer = standin::DeterministicText(Request.Text_).text(500);
  CHECK(WholeAnswer.compare(0, Answer.Text_.size(), Answer.Text_) == 0);
}

// Guards against answers that are swapped between concurrent callers.
TEST_CASE("concurrent callers get the answers to their own prompts",
          "[proof][results][concurrent]") {
  StandinProcess Engines("engine", {"--token-us=1000", "--slots=16"}, 4);
  Fleet Daemons;
  PipelineSettings Service;
  for (std::size_t I = 0; I < 4; ++I)
    Service.Engines_.push_back(Engines.address(I));
  Daemons.apply(Service);
  Engines.setSwitches({{"cut_after_tokens", 7}}, 0);
  std::vector<Prompt> Prompts(100);
  std::vector<std::future<PromptAnswer>> Answers;
  for (std::size_t I = 0; I < Prompts.size(); ++I) {
    Prompts[I].Text_ = "caller " + std::to_string(I);
    Prompts[I].Stream_ = I % 2 == 0;
    Answers.push_back(std::async(std::launch::async, [&, I] {
      return askPrompt(Daemons.daemon(I % 3).callerAddress(), Prompts[I]);
    }));
  }
  for (std::size_t I = 0; I < Prompts.size(); ++I) {
    PromptAnswer Answer = Answers[I].get();
    CAPTURE(I, Answer.Status_, Answer.Outcome_, Answer.Detail_);
    CHECK(Answer.Text_.rfind(sha256Hex(Prompts[I].Text_).substr(0, 12), 0) ==
          0);
    CHECK(Answer.isAnswerTo(Prompts[I]));
  }
}
