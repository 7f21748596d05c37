#include "Protocol/TargetCall.h"

namespace amaranth::protocol::detail {

using transport::CallFailure;
using transport::HttpCall;
using transport::HttpClient;
using transport::HttpOutcome;
using transport::HttpReply;

HttpCall toHttpCall(const StageCall &Call, std::string Path) {
  HttpCall Http;
  Http.Address_ = Call.Target_.Address_;
  Http.Path_ = std::move(Path);
  Http.Headers_.add(RequestIdHeader, Call.RequestId_);
  if (!Call.TraceParent_.empty())
    Http.Headers_.add("traceparent", Call.TraceParent_);
  auto TimeLeft = remaining(Call.Deadline_);
  Http.Headers_.add("Request-Timeout-Ms", std::to_string(TimeLeft.count()));
  Http.Deadline_ = Call.Deadline_;
  Http.ProgressTimeout_ = Call.ProgressTimeout_;
  Http.FreshConnection_ = Call.FreshConnection_;
  Http.Cancel_ = Call.Cancel_;
  // Checked before the body arrives, so that no part of another request's
  // answer is passed on.
  Http.OnHead_ = [RequestId = Call.RequestId_](const HttpReply &Head) {
    return Head.Headers_.get(RequestIdHeader) == RequestId;
  };
  return Http;
}

StageReply noReply(CallFailure Failure) {
  return {StageStatus::NoReply, Failure, transport::toString(Failure)};
}

StageReply classifyRefusal(const HttpReply &Reply) {
  StageReply Result;
  Result.Detail_ = "HTTP status " + std::to_string(Reply.Status_);
  if (Reply.Status_ == 503 && Reply.Headers_.get("X-Leaving") == "true")
    Result.Status_ = StageStatus::Leaving;
  else if (Reply.Status_ == 503 || Reply.Status_ == 429)
    Result.Status_ = StageStatus::Overloaded;
  else if (Reply.Status_ >= 400 && Reply.Status_ < 500)
    Result.Status_ = StageStatus::Rejected;
  else if (Reply.Status_ >= 500)
    Result.Status_ = StageStatus::TargetError;
  else
    Result.Status_ = StageStatus::Corrupt;
  return Result;
}

StageReply exchange(HttpClient &Client, const HttpCall &Call,
                    std::atomic<std::uint64_t> &Mismatches, std::string &Body) {
  HttpOutcome Outcome = Client.call(Call);
  if (!Outcome.Ok_) {
    // The other idle connections to a silent target are probably silent too.
    bool Mismatched = Outcome.Failure_ == CallFailure::Mismatched;
    if (Mismatched)
      ++Mismatches;
    if (Mismatched || Outcome.Failure_ == CallFailure::Silent)
      Client.dropIdle(Call.Address_);
    return noReply(Outcome.Failure_);
  }
  Body = std::move(Outcome.Reply_.Body_);
  if (Outcome.Reply_.Status_ / 100 != 2)
    return classifyRefusal(Outcome.Reply_);
  StageReply Result;
  Result.Status_ = StageStatus::Ok;
  return Result;
}

} // namespace amaranth::protocol::detail
