#include "Protocol/Problem.h"

#include <nlohmann/json.hpp>

namespace amaranth::protocol {

namespace {

const char *toString(RetryWith Retry) {
  switch (Retry) {
  case RetryWith::None:
    return "none";
  case RetryWith::SameRequest:
    return "same_request";
  case RetryWith::NewKey:
    return "new_key";
  }
  return "none";
}

} // namespace

std::string toJson(const Problem &Source) {
  nlohmann::json Body{{"type", Source.Type_},
                      {"title", Source.Title_},
                      {"status", Source.Status_},
                      {"detail", Source.Detail_}};
  if (Source.Outcome_) {
    Body["outcome"] = toString(*Source.Outcome_);
    Body["retry_with"] = toString(Source.RetryWith_);
  }
  if (!Source.HomeAddress_.empty())
    Body["home_address"] = Source.HomeAddress_;
  if (!Source.RequestId_.empty())
    Body["request_id"] = Source.RequestId_;
  // Details can quote bytes from the caller that are not UTF-8.
  return Body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

transport::HttpReply toReply(const Problem &Source) {
  transport::HttpReply Reply;
  Reply.Status_ = Source.Status_;
  Reply.ContentType_ = "application/problem+json";
  Reply.Body_ = toJson(Source);
  if (Source.RetryAfter_.count() > 0) {
    auto Rounded = std::chrono::ceil<Seconds>(Source.RetryAfter_);
    Reply.Headers_.add("Retry-After", std::to_string(Rounded.count()));
  }
  return Reply;
}

} // namespace amaranth::protocol
