#include "Coordination/RunnerFixture.h"

#include "Protocol/EngineClient.h"
#include "Protocol/FakeEngine.h"
#include "Support/Digest.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::testing;
using protocol::OutcomeKind;
using state::StageKind;

namespace {

/// Collects the text of a stream and checks the order of its tokens.
class TextListener final : public protocol::TokenListener {
public:
  bool onToken(int Index, const std::string &Text) override {
    InOrder_ = InOrder_ && Index == Next_++;
    Text_ += Text;
    return true;
  }
  std::string Text_;
  int Next_ = 0;
  bool InOrder_ = true;
};

/// A runner with two engines over HTTP.
struct EngineFixture {
  EngineFixture() {
    Document_ = makeDocument(2, {StageKind::Generate});
    Document_.Targets_ = {A_.target(), B_.target()};
    Document_.Stages_[0].Targets_ = {"a", "b"};
  }

  /// The engine that the router chooses first for an input.
  FakeEngine &preferredEngine(const std::string &Input) {
    std::vector<const state::Target *> Targets = {&Document_.Targets_[0],
                                                  &Document_.Targets_[1]};
    RouteQuery Query;
    Query.Targets_ = Targets;
    Query.InputDigest_ = sha256Hex(Input);
    Query.TimeLeft_ = Seconds{5};
    auto Choice = Fixture_.Router_.choose(Query);
    return Choice->Target_->Name_ == "a" ? A_ : B_;
  }

  FakeEngine A_{"a"};
  FakeEngine B_{"b"};
  transport::HttpClient Http_{{}};
  protocol::EngineClient Client_{Http_};
  RunnerFixture Fixture_{Client_};
  state::ServiceDocument Document_;
};

} // namespace

// Guards against missing or repeated text when an engine is killed mid-stream.
TEST_CASE("a stream of a killed engine continues on another one") {
  EngineFixture F;
  FakeEngine &Killed = F.preferredEngine("question");
  Killed.KillAt_ = 3;
  TextListener Listener;
  PipelineResult Result = F.Fixture_.run(F.Document_, "question", 6, &Listener);
  REQUIRE(Result.Outcome_ == OutcomeKind::Completed);
  CHECK(Result.Data_.Output_ == FakeEngine::text(6));
  CHECK(Listener.Text_ == FakeEngine::text(6));
  CHECK(Listener.InOrder_);
  CHECK(Killed.Calls_ == 1);
  REQUIRE(Result.Stages_.size() == 1);
  CHECK(Result.Stages_[0].Attempts_ == 2);
  CHECK(F.Fixture_.nothingInFlight());
}

// Guards against text delivered twice when a corrupt stream starts again.
TEST_CASE("after a corrupt stream each token is passed on once") {
  EngineFixture F;
  F.preferredEngine("question").WrongDigest_ = true;
  TextListener Listener;
  PipelineResult Result = F.Fixture_.run(F.Document_, "question", 6, &Listener);
  REQUIRE(Result.Outcome_ == OutcomeKind::Completed);
  CHECK(Listener.Text_ == FakeEngine::text(6));
  CHECK(Listener.InOrder_);
}

// Guards against waiting until the deadline for a silent engine.
TEST_CASE("a silent engine is left in time for another one") {
  EngineFixture F;
  FakeEngine &Silent = F.preferredEngine("question");
  Silent.Silent_ = true;
  F.Fixture_.Timeout_ = Milliseconds{1500};
  PipelineResult Result = F.Fixture_.run(F.Document_);
  Silent.Silent_ = false;
  Silent.Silent_.notify_all();
  CHECK(Result.Outcome_ == OutcomeKind::Completed);
  CHECK(Result.Stages_[0].Wasted_ >= Milliseconds{700});
}

// Guards against new work for a leaving target after its first refusal.
TEST_CASE("a leaving target gets nothing after its first refusal") {
  EngineFixture F;
  FakeEngine &Leaving = F.preferredEngine("question");
  Leaving.Status_ = 503;
  Leaving.Leaving_ = true;
  for (int I = 0; I < 30; ++I) {
    std::string Input = I == 0 ? "question" : std::to_string(I);
    REQUIRE(F.Fixture_.run(F.Document_, Input).Outcome_ ==
            OutcomeKind::Completed);
  }
  CHECK(Leaving.Calls_ == 1);
}

// Guards against "not run" for a request of which a stage may have run.
TEST_CASE("a refusal says not run only if no stage ran") {
  ScriptedClient Client;
  RunnerFixture F(Client);
  auto Document = makeDocument(3, {StageKind::Encode, StageKind::Generate});
  auto Refuse = [](const StageCall &, PipelineData &) {
    return StageReply{StageStatus::Overloaded, CallFailure::NotSent, "429"};
  };
  Client.Handler_ = Refuse;
  CHECK(F.run(Document).Outcome_ == OutcomeKind::NotRun);
  Client.Handler_ = [&](const StageCall &Call, PipelineData &Data) {
    return Call.Stage_.Kind_ == StageKind::Encode ? ScriptedClient::ok()
                                                  : Refuse(Call, Data);
  };
  PipelineResult Later = F.run(Document);
  CHECK(Later.Outcome_ == OutcomeKind::Failed);
  REQUIRE(Later.Stages_.size() == 2);
  CHECK(Later.Stages_[0].Target_ != "");
  for (CallFailure Failure : {CallFailure::Reset, CallFailure::Silent}) {
    Client.Handler_ = [=](const StageCall &, PipelineData &) {
      return ScriptedClient::failed(Failure);
    };
    RunnerFixture Fresh(Client);
    CHECK(Fresh.run(Document).Outcome_ == OutcomeKind::Failed);
  }
  F.Timeout_ = Milliseconds{0};
  CHECK(F.run(Document).Outcome_ == OutcomeKind::NotRun);
  CHECK(F.nothingInFlight());
}

// Guards against retries that multiply the load of a failing fleet.
TEST_CASE("retries stop when the budget is used up") {
  ScriptedClient Client;
  Client.Handler_ = [](const StageCall &, PipelineData &) {
    return StageReply{StageStatus::TargetError, CallFailure::NotSent, "500"};
  };
  RunnerFixture F(Client);
  auto Document = makeDocument(6, {StageKind::Encode});
  int Attempts = 0;
  for (int I = 0; I < 200; ++I)
    Attempts += F.run(Document, std::to_string(I)).Stages_[0].Attempts_;
  CHECK(Attempts == 220);
}

// Guards against attempts that stay counted as in flight when a client throws.
TEST_CASE("an exception in an attempt leaves nothing counted") {
  ScriptedClient Client;
  Client.Handler_ = [](const StageCall &, PipelineData &) -> StageReply {
    throw std::runtime_error("fault");
  };
  RunnerFixture F(Client);
  CHECK_THROWS(F.run(makeDocument(2, {StageKind::Encode})));
  CHECK(F.nothingInFlight());
}

// Guards against waiting for a straggler while another target is idle, and
// against not cancelling the slower attempt.
TEST_CASE("a slow attempt is hedged and the loser cancelled") {
  ScriptedClient Client;
  RunnerFixture F(Client);
  auto Document = makeDocument(4, {StageKind::Encode});
  for (int I = 0; I < 40; ++I)
    REQUIRE(F.run(Document, std::to_string(I)).Outcome_ ==
            OutcomeKind::Completed);
  std::atomic<int> CallCount = 0;
  Client.Handler_ = [&](const StageCall &Call, PipelineData &) {
    if (CallCount++ > 0)
      return ScriptedClient::ok();
    while (!Call.Cancel_->cancelled())
      std::this_thread::yield();
    return ScriptedClient::failed(CallFailure::Cancelled);
  };
  PipelineResult Result = F.run(Document);
  CHECK(Result.Outcome_ == OutcomeKind::Completed);
  CHECK(Result.Stages_[0].Hedges_ == 1);
  CHECK(F.nothingInFlight());
}

// Guards against a hedge that outlives its request and cancels an attempt that
// no longer exists.
TEST_CASE("an exception beside a running hedge detaches the hedge") {
  ScriptedClient Client;
  RunnerFixture F(Client);
  auto Document = makeDocument(4, {StageKind::Encode});
  for (int I = 0; I < 40; ++I)
    F.run(Document, std::to_string(I));
  std::atomic<int> Started = 0;
  std::atomic<bool> HedgeCancelled = false;
  Client.Handler_ = [&](const StageCall &Call, PipelineData &) -> StageReply {
    if (Started++ > 0) {
      while (!Call.Cancel_->cancelled())
        std::this_thread::yield();
      HedgeCancelled = true;
      HedgeCancelled.notify_all();
      return ScriptedClient::ok();
    }
    while (Started < 2)
      std::this_thread::yield();
    throw std::runtime_error("fault");
  };
  CHECK_THROWS(F.run(Document));
  HedgeCancelled.wait(false);
  CHECK(HedgeCancelled);
}

// Guards against an input that crashes one target after another because its
// caller repeats it through every daemon.
TEST_CASE("an input crashes at most two targets through all daemons") {
  struct ReportRelay final : SuspectListener {
    void onSuspectChanged(const protocol::SuspectInput &Report) override {
      for (RunnerFixture *Peer : Peers_)
        Peer->Suspects_.merge(Report);
    }
    std::vector<RunnerFixture *> Peers_;
  };
  ScriptedClient Client;
  Client.Handler_ = [](const StageCall &, PipelineData &Data) {
    if (Data.Input_ == "poison")
      return ScriptedClient::failed(CallFailure::Reset);
    return ScriptedClient::ok();
  };
  auto Document = makeDocument(12, {StageKind::Encode});
  ReportRelay Relay;
  PipelineRunnerSettings Settings;
  Settings.Answers_ = [](const state::Target &) { return false; };
  RunnerFixture FirstDaemon(Client, &Relay, Settings);
  RunnerFixture SecondDaemon(Client, &Relay, Settings);
  RunnerFixture ThirdDaemon(Client, &Relay, Settings);
  Relay.Peers_ = {&FirstDaemon, &SecondDaemon, &ThirdDaemon};
  for (RunnerFixture *Daemon : {&FirstDaemon, &SecondDaemon, &ThirdDaemon,
                                &FirstDaemon, &SecondDaemon, &ThirdDaemon})
    CHECK(Daemon->run(Document, "poison").Outcome_ != OutcomeKind::Completed);
  CHECK(Client.targetsCalled() == 2);
  CHECK(SecondDaemon.run(Document, "harmless").Outcome_ ==
        OutcomeKind::Completed);
}

// Guards against counting exceeded deadlines as target failures: in an overload
// healthy targets would be avoided and the remaining capacity lost.
TEST_CASE("an expired deadline is not held against the target") {
  ScriptedClient Client;
  Client.Handler_ = [](const StageCall &, PipelineData &) {
    return ScriptedClient::failed(CallFailure::DeadlineExceeded);
  };
  RunnerFixture F(Client);
  auto Document = makeDocument(1, {StageKind::Encode});
  for (int I = 0; I < 10; ++I)
    F.run(Document, std::to_string(I));
  const std::string &Address = Document.Targets_[0].Address_;
  CHECK_FALSE(F.Table_.estimate({Address}, WorkClass::Encode, 1)[0].Avoided_);
}
