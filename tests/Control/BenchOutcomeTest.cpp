#include "Control/BenchOutcome.h"

#include "Support/Digest.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace amaranth;
using namespace amaranth::control;
using nlohmann::json;
using transport::CallFailure;
using transport::HttpOutcome;

namespace {

HttpOutcome httpReply(int Status, const json &Body) {
  HttpOutcome Outcome;
  Outcome.Ok_ = true;
  Outcome.Reply_.Status_ = Status;
  Outcome.Reply_.Body_ = Body.dump();
  return Outcome;
}

HttpOutcome callFailure(CallFailure Failure) {
  HttpOutcome Outcome;
  Outcome.Failure_ = Failure;
  return Outcome;
}

std::string eventText(const std::string &Name, const json &Data) {
  return "event: " + Name + "\ndata: " + Data.dump() + "\n\n";
}

std::string completeStream() {
  return eventText("token", {{"index", 0}, {"text", "ab"}}) +
         eventText("token", {{"index", 1}, {"text", " cd"}}) +
         eventText("end", {{"count", 2}, {"digest", sha256Hex("ab cd")}});
}

BenchOutcome classifyAt(AnswerKind Kind, int LatencyMs, bool Order = false) {
  return classify(Kind, Milliseconds{LatencyMs}, Milliseconds{100}, Order);
}

} // namespace

// Guards against counting a late or partial answer as one in time.
TEST_CASE("Every kind of answer has one outcome") {
  CHECK(classifyAt(AnswerKind::Complete, 100) == BenchOutcome::InTime);
  CHECK(classifyAt(AnswerKind::Complete, 101) == BenchOutcome::Late);
  CHECK(classifyAt(AnswerKind::NotRun, 1) == BenchOutcome::NotRun);
  CHECK(classifyAt(AnswerKind::Unknown, 1) == BenchOutcome::Unknown);
  CHECK(classifyAt(AnswerKind::Failed, 1) == BenchOutcome::Failed);
  CHECK(classifyAt(AnswerKind::Cut, 1) == BenchOutcome::Cut);
  CHECK(classifyAt(AnswerKind::NotSent, 1) == BenchOutcome::Cut);
}

// Guards against reporting an order without an answer as not run.
TEST_CASE("An order without an answer is of unknown outcome") {
  CHECK(classifyAt(AnswerKind::Cut, 1, true) == BenchOutcome::Unknown);
  CHECK(classifyAt(AnswerKind::NotSent, 1, true) == BenchOutcome::Unknown);
}

// Guards against a refusal that is parsed as another outcome.
TEST_CASE("Problems keep their outcome, type and retry hint") {
  BenchAnswer Refused = readAnswer(httpReply(503, {{"type", "deadline"},
                                                   {"outcome", "not_run"},
                                                   {"retry_with", "new_key"}}),
                                   nullptr);
  CHECK(Refused.Kind_ == AnswerKind::NotRun);
  CHECK(Refused.ProblemType_ == "deadline");
  CHECK(Refused.Retry_ == RetryHint::NewKey);
  CHECK(readAnswer(httpReply(504, {{"outcome", "unknown"}}), nullptr).Kind_ ==
        AnswerKind::Unknown);
  // Without an outcome the request may have run, so it must not become not_run.
  CHECK(readAnswer(httpReply(500, {{"title", "?"}}), nullptr).Kind_ ==
        AnswerKind::Failed);
  CHECK(readAnswer(callFailure(CallFailure::NotSent), nullptr).Kind_ ==
        AnswerKind::NotSent);
  CHECK(readAnswer(callFailure(CallFailure::Reset), nullptr).Kind_ ==
        AnswerKind::Cut);
}

// Guards against dropping the useful and wasted time that answers report.
TEST_CASE("Answers carry the cost of their stages") {
  json Stage = {{"stage", "generate"},
                {"attempts", 2},
                {"hedges", 1},
                {"useful_us", 30},
                {"wasted_us", 7}};
  BenchAnswer Answer = readAnswer(
      httpReply(200, {{"output", "x"}, {"tokens", 1}, {"stages", {Stage}}}),
      nullptr);
  REQUIRE(Answer.Kind_ == AnswerKind::Complete);
  REQUIRE(Answer.Stages_.size() == 1);
  CHECK(Answer.Stages_[0].Attempts_ == 2);
  CHECK(Answer.Stages_[0].Useful_ == Microseconds{30});
  CHECK(Answer.Stages_[0].Wasted_ == Microseconds{7});
}

// Guards against a parser that depends on the boundaries of the chunks.
TEST_CASE("A stream is parsed with any boundary between its chunks") {
  std::string Text = completeStream();
  for (std::size_t Cut = 0; Cut <= Text.size(); ++Cut) {
    BenchStream Stream;
    Stream.append(Text.substr(0, Cut));
    Stream.append(Text.substr(Cut));
    REQUIRE(Stream.ended());
    REQUIRE(Stream.fault().empty());
    REQUIRE(Stream.text() == "ab cd");
  }
}

// Guards against reporting an incomplete answer as complete.
TEST_CASE("A stream without its end event is cut, wherever it stops") {
  std::string Text = completeStream();
  for (std::size_t Length = 0; Length < Text.size(); ++Length) {
    BenchStream Stream;
    Stream.append(Text.substr(0, Length));
    HttpOutcome Ended = httpReply(200, "");
    REQUIRE(readAnswer(Ended, &Stream).Kind_ == AnswerKind::Cut);
    HttpOutcome Reset = callFailure(CallFailure::Reset);
    REQUIRE(readAnswer(Reset, &Stream).Kind_ == AnswerKind::Cut);
  }
}

// Guards against missing, repeated or wrong tokens in a stream.
TEST_CASE("A stream that contradicts its end event is a fault") {
  auto FaultOf = [](const std::string &Text) {
    BenchStream Stream;
    Stream.append(Text);
    return readAnswer(httpReply(200, ""), &Stream).Fault_;
  };
  std::string Token = eventText("token", {{"index", 0}, {"text", "ab"}});
  CHECK_FALSE(FaultOf(Token + Token).empty());
  CHECK_FALSE(FaultOf(Token + eventText("end", {{"count", 2},
                                                {"digest", sha256Hex("ab")}}))
                  .empty());
  CHECK_FALSE(FaultOf(Token + eventText("end", {{"count", 1},
                                                {"digest", sha256Hex("ac")}}))
                  .empty());
  CHECK_FALSE(FaultOf(completeStream() + Token).empty());
  CHECK(FaultOf(completeStream()).empty());
}
