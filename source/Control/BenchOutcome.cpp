#include "Control/BenchOutcome.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace amaranth::control {

using Json = nlohmann::json;
using transport::CallFailure;
using transport::HttpReply;

namespace {

std::string textField(const Json &Object, const char *Key) {
  auto Found = Object.find(Key);
  return Found != Object.end() && Found->is_string() ? Found->get<std::string>()
                                                     : std::string();
}

std::int64_t integerField(const Json &Object, const char *Key) {
  auto Found = Object.find(Key);
  return Found != Object.end() && Found->is_number_integer()
             ? Found->get<std::int64_t>()
             : 0;
}

RetryHint parseRetryHint(const std::string &Text) {
  if (Text == "new_key")
    return RetryHint::NewKey;
  if (Text == "same_request" || Text == "same_key")
    return RetryHint::SameRequest;
  return RetryHint::None;
}

AnswerKind parseAnswerKind(const std::string &Outcome) {
  if (Outcome == "not_run")
    return AnswerKind::NotRun;
  if (Outcome == "unknown")
    return AnswerKind::Unknown;
  return AnswerKind::Failed;
}

BenchAnswer readProblem(const std::string &Text) {
  BenchAnswer Answer;
  Json Body = Json::parse(Text, nullptr, false);
  Answer.Kind_ = AnswerKind::Failed;
  if (!Body.is_object()) {
    Answer.ProblemType_ = "malformed-problem";
    return Answer;
  }
  Answer.ProblemType_ = textField(Body, "type");
  Answer.Kind_ = parseAnswerKind(textField(Body, "outcome"));
  Answer.Retry_ = parseRetryHint(textField(Body, "retry_with"));
  return Answer;
}

Milliseconds parseRetryAfter(const HttpReply &Reply) {
  std::string Text = Reply.Headers_.get("Retry-After");
  int Value = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  return std::max(Milliseconds{0}, Milliseconds{Seconds{Value}});
}

std::vector<BenchStageCost> readStages(const Json &Body) {
  std::vector<BenchStageCost> Stages;
  auto Found = Body.find("stages");
  if (Found == Body.end() || !Found->is_array())
    return Stages;
  for (const Json &Entry : *Found) {
    if (!Entry.is_object())
      continue;
    BenchStageCost Cost;
    Cost.Stage_ = textField(Entry, "stage");
    Cost.Attempts_ = static_cast<int>(integerField(Entry, "attempts"));
    Cost.Hedges_ = static_cast<int>(integerField(Entry, "hedges"));
    Cost.Useful_ = Microseconds{integerField(Entry, "useful_us")};
    Cost.Wasted_ = Microseconds{integerField(Entry, "wasted_us")};
    Stages.push_back(std::move(Cost));
  }
  return Stages;
}

BenchAnswer readComplete(const std::string &Text) {
  BenchAnswer Answer;
  Json Body = Json::parse(Text, nullptr, false);
  Answer.Kind_ = AnswerKind::Complete;
  bool Pipeline = Body.is_object() && Body.contains("output");
  bool Plain = Body.is_object() && Body.contains("result");
  if (Pipeline == Plain) {
    Answer.Fault_ =
        "found neither output nor result, or both; expected one of them";
    return Answer;
  }
  Answer.Output_ = textField(Body, "output");
  Answer.Tokens_ = static_cast<int>(integerField(Body, "tokens"));
  Answer.Stages_ = readStages(Body);
  if (Plain && Body["result"].is_object()) {
    Answer.ResultOrderId_ = textField(Body["result"], "order_id");
    Answer.ResultCall_ = textField(Body["result"], "name");
  }
  return Answer;
}

BenchAnswer readStreamed(const BenchStream &Stream) {
  BenchAnswer Answer;
  if (!Stream.problem().empty()) {
    Answer = readProblem(Stream.problem());
  } else if (Stream.ended()) {
    Answer.Kind_ = AnswerKind::Complete;
    Answer.Output_ = Stream.text();
    Answer.Tokens_ = Stream.tokens();
  } else {
    Answer.ProblemType_ = "no-end";
  }
  Answer.Fault_ = Stream.fault();
  return Answer;
}

} // namespace

const char *toString(BenchOutcome Outcome) {
  switch (Outcome) {
  case BenchOutcome::InTime:
    return "in_time";
  case BenchOutcome::Late:
    return "late";
  case BenchOutcome::NotRun:
    return "not_run";
  case BenchOutcome::Unknown:
    return "unknown";
  case BenchOutcome::Failed:
    return "failed";
  case BenchOutcome::Cut:
    break;
  }
  return "cut";
}

BenchAnswer readAnswer(const transport::HttpOutcome &Reply,
                       const BenchStream *Stream) {
  if (!Reply.Ok_) {
    BenchAnswer Answer;
    bool NotSent = Reply.Failure_ == CallFailure::NotSent;
    Answer.Kind_ = NotSent ? AnswerKind::NotSent : AnswerKind::Cut;
    Answer.ProblemType_ = toString(Reply.Failure_);
    // A stream is complete once its end event has arrived, even if the
    // connection fails afterwards.
    if (!Stream || (!Stream->ended() && Stream->problem().empty()))
      return Answer;
  }
  if (Reply.Ok_ && Reply.Reply_.Status_ != 200) {
    BenchAnswer Answer = readProblem(Reply.Reply_.Body_);
    Answer.RetryAfter_ = parseRetryAfter(Reply.Reply_);
    return Answer;
  }
  return Stream ? readStreamed(*Stream) : readComplete(Reply.Reply_.Body_);
}

BenchOutcome classify(AnswerKind Kind, Microseconds Latency,
                      Milliseconds Timeout, bool IsOrder) {
  switch (Kind) {
  case AnswerKind::Complete:
    return Latency <= Timeout ? BenchOutcome::InTime : BenchOutcome::Late;
  case AnswerKind::NotRun:
    return BenchOutcome::NotRun;
  case AnswerKind::Unknown:
    return BenchOutcome::Unknown;
  case AnswerKind::Failed:
    return BenchOutcome::Failed;
  case AnswerKind::Cut:
  case AnswerKind::NotSent:
    break;
  }
  return IsOrder ? BenchOutcome::Unknown : BenchOutcome::Cut;
}

} // namespace amaranth::control
