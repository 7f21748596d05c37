#include "Protocol/PlainServiceClient.h"

#include "Protocol/TargetCall.h"

#include <nlohmann/json.hpp>

namespace amaranth::protocol {

PlainServiceClient::PlainServiceClient(transport::HttpClient &Client)
    : Client_(Client) {}

PlainServiceReply PlainServiceClient::run(const PlainServiceCall &Call) {
  auto Http = detail::toHttpCall(Call.Attempt_, "/v1/calls/" + Call.Name_);
  Http.Body_ = Call.Body_;
  PlainServiceReply Result;
  Result.Reply_ = detail::exchange(Client_, Http, Mismatches_, Result.Body_);
  if (Result.Reply_.Status_ != StageStatus::Ok)
    return Result;
  if (!nlohmann::json::accept(Result.Body_)) {
    Result.Reply_.Status_ = StageStatus::Corrupt;
    Result.Reply_.Detail_ = "reply is not JSON";
  }
  return Result;
}

} // namespace amaranth::protocol
