#include "Protocol/EngineClient.h"

#include "Protocol/FakeEngine.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::protocol;
using testing::FakeEngine;
using transport::CallFailure;

namespace {

constexpr int Tokens = 6;

struct Fixture {
  StageReply run(const FakeEngine &Engine, TokenListener *Listener = nullptr) {
    StageCall Call;
    Call.RequestId_ = "r1/3/0";
    Call.Target_ = Engine.target();
    Call.Deadline_ = SteadyClock::now() + Seconds{20};
    Call.ProgressTimeout_ = ProgressTimeout_;
    return Client_.run(Call, Data_, Listener);
  }

  Fixture() {
    Data_.Input_ = "question";
    Data_.MaxTokens_ = Tokens;
  }

  Milliseconds ProgressTimeout_{5000};
  transport::HttpClient Http_{{}};
  EngineClient Client_{Http_};
  PipelineData Data_;
};

class CountingListener final : public TokenListener {
public:
  bool onToken(int, const std::string &) override { return ++Tokens_ < Limit_; }
  int Tokens_ = 0;
  int Limit_ = 1000;
};

} // namespace

// Guards against documents and input joined wrongly, and against lost tokens.
TEST_CASE("the prompt is the documents, then the input") {
  Fixture F;
  FakeEngine Engine("a");
  F.Data_.Documents_ = {{"1", "first", 0}, {"2", "second", 0}};
  REQUIRE(F.run(Engine).Status_ == StageStatus::Ok);
  CHECK(Engine.lastPrompt() == "first\nsecond\nquestion");
  CHECK(F.Data_.Output_ == FakeEngine::text(Tokens));
}

// Guards against lost or repeated text when a stream resumes on another engine,
// and against a truncated stream that counts as complete.
TEST_CASE("a stream cut at any token resumes to the identical text") {
  FakeEngine First("a");
  FakeEngine Second("b");
  for (int Cut = 0; Cut <= Tokens; ++Cut) {
    Fixture F;
    CountingListener Listener;
    First.CutAfter_ = Cut;
    Second.Overlap_ = Cut % 3;
    StageReply Reply = F.run(First, &Listener);
    REQUIRE(Reply.Status_ == StageStatus::NoReply);
    CHECK(Reply.Failure_ == CallFailure::Reset);
    CHECK(F.Data_.Tokens_ == Cut);
    REQUIRE(F.run(Second, &Listener).Status_ == StageStatus::Ok);
    CHECK(F.Data_.Output_ == FakeEngine::text(Tokens));
    CHECK(Listener.Tokens_ == Tokens);
  }
}

// Guards against text with a token missing or altered being taken as complete.
TEST_CASE("a missing token or a wrong digest is corrupt") {
  FakeEngine Engine("a");
  SECTION("gap") { Engine.SkipIndex_ = 2; }
  SECTION("digest") { Engine.WrongDigest_ = true; }
  Fixture F;
  StageReply Reply = F.run(Engine);
  CHECK(Reply.Status_ == StageStatus::Corrupt);
  CHECK_FALSE(Reply.Detail_.empty());
}

// Guards against altered text kept from an earlier attempt.
TEST_CASE("the digest covers text kept from earlier attempts") {
  Fixture F;
  FakeEngine Engine("a");
  F.Data_.Output_ = "T0 ";
  F.Data_.Tokens_ = 1;
  CHECK(F.run(Engine).Status_ == StageStatus::Corrupt);
}

// Guards against the answer of another request becoming part of this one's.
TEST_CASE("a reply with another request id is dropped and counted") {
  Fixture F;
  FakeEngine Engine("a");
  Engine.WrongEcho_ = true;
  StageReply Reply = F.run(Engine);
  CHECK(Reply.Status_ == StageStatus::NoReply);
  CHECK(Reply.Failure_ == CallFailure::Mismatched);
  CHECK(F.Client_.mismatches() == 1);
  CHECK(F.Data_.Output_.empty());
  CHECK(F.Data_.Tokens_ == 0);
}

// Guards against the tokens of another request being passed on to the caller
// before the echo is checked.
TEST_CASE("no token of a reply with another request id is passed on") {
  Fixture F;
  FakeEngine Engine("a");
  Engine.WrongEcho_ = true;
  CountingListener Listener;
  F.run(Engine, &Listener);
  CHECK(Listener.Tokens_ == 0);
}

// Guards against a refusal that ran nothing being reported as an error, or the
// reverse.
TEST_CASE("refusals are told apart") {
  Fixture F;
  FakeEngine Engine("a");
  auto StatusOf = [&](int Status) {
    Engine.Status_ = Status;
    return F.run(Engine).Status_;
  };
  CHECK(StatusOf(429) == StageStatus::Overloaded);
  CHECK(StatusOf(503) == StageStatus::Overloaded);
  CHECK(StatusOf(400) == StageStatus::Rejected);
  CHECK(StatusOf(500) == StageStatus::TargetError);
  Engine.Leaving_ = true;
  CHECK(StatusOf(503) == StageStatus::Leaving);
}

// Guards against waiting for the deadline when an engine stops answering.
TEST_CASE("a silent engine is reported after the progress timeout") {
  Fixture F;
  F.ProgressTimeout_ = Milliseconds{50};
  FakeEngine Engine("a");
  Engine.Silent_ = true;
  StageReply Reply = F.run(Engine);
  Engine.Silent_ = false;
  Engine.Silent_.notify_all();
  CHECK(Reply.Status_ == StageStatus::NoReply);
  CHECK(Reply.Failure_ == CallFailure::Silent);
}

// Guards against generating for a caller that has disconnected.
TEST_CASE("the stream ends when the listener declines") {
  Fixture F;
  FakeEngine Engine("a");
  CountingListener Listener;
  Listener.Limit_ = 2;
  StageReply Reply = F.run(Engine, &Listener);
  CHECK(Reply.Failure_ == CallFailure::Cancelled);
  CHECK(Listener.Tokens_ == 2);
}
