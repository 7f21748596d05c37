#include "Protocol/CallerApi.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace amaranth::protocol {

namespace {

using Json = nlohmann::json;

/// Nesting beyond this is refused before parsing, because the JSON library's
/// destructor and dump use stack for each level.
constexpr int MaxJsonDepth = 64;

bool isTooDeep(std::string_view Text) {
  int Depth = 0;
  bool InString = false;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    char Char = Text[I];
    if (InString && Char == '\\')
      ++I;
    else if (Char == '"')
      InString = !InString;
    else if (!InString && (Char == '{' || Char == '['))
      ++Depth;
    else if (!InString && (Char == '}' || Char == ']'))
      --Depth;
    if (Depth > MaxJsonDepth)
      return true;
  }
  return false;
}

Result<Json> readObject(std::string_view Text) {
  if (isTooDeep(Text))
    return fail(ErrorCode::InvalidArgument, "the JSON body is nested too deep");
  Json Body = Json::parse(Text, nullptr, false);
  if (Body.is_discarded())
    return fail(ErrorCode::InvalidArgument, "the body is not valid JSON");
  if (!Body.is_object())
    return fail(ErrorCode::InvalidArgument, "the body must be a JSON object");
  return Body;
}

Result<void>
rejectUnknownFields(const Json &Body,
                    std::initializer_list<std::string_view> AllowedFields) {
  for (const auto &Item : Body.items()) {
    if (std::find(AllowedFields.begin(), AllowedFields.end(), Item.key()) ==
        AllowedFields.end())
      return fail(ErrorCode::InvalidArgument,
                  "unknown field \"" + Item.key() + "\"");
  }
  return {};
}

Result<std::string> readText(const Json &Body, const char *Name) {
  auto Field = Body.find(Name);
  if (Field == Body.end() || !Field->is_string())
    return fail(ErrorCode::InvalidArgument,
                std::string("\"") + Name + "\" must be a string");
  return Field->get<std::string>();
}

Result<Milliseconds> readTimeout(const std::string &Text,
                                 const CallerLimits &Limits) {
  std::int64_t Value = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  bool IsNumber = Failure == std::errc() && End == Text.data() + Text.size();
  if (!IsNumber || Milliseconds{Value} < Limits.MinTimeout_ ||
      Milliseconds{Value} > Limits.MaxTimeout_)
    return fail(ErrorCode::InvalidArgument,
                "Request-Timeout-Ms must be a whole number from " +
                    std::to_string(Limits.MinTimeout_.count()) + " to " +
                    std::to_string(Limits.MaxTimeout_.count()));
  return Milliseconds{Value};
}

/// W3C trace context, version 00: fixed length, lower-case hex and dashes.
bool isTraceParent(std::string_view Text) {
  constexpr std::size_t Length = 55;
  if (Text.size() != Length)
    return false;
  for (std::size_t I = 0; I < Length; ++I) {
    bool DashExpected = I == 2 || I == 35 || I == 52;
    bool IsHexDigit = (Text[I] >= '0' && Text[I] <= '9') ||
                      (Text[I] >= 'a' && Text[I] <= 'f');
    if (DashExpected ? Text[I] != '-' : !IsHexDigit)
      return false;
  }
  return true;
}

} // namespace

Result<CallerHeaders> readCallerHeaders(const transport::HttpHeaders &Headers,
                                        const CallerLimits &Limits) {
  constexpr std::string_view Scheme = "Bearer ";
  CallerHeaders Parsed;
  std::string Authorization = Headers.get("Authorization");
  if (!Authorization.starts_with(Scheme) ||
      Authorization.size() == Scheme.size())
    return fail(ErrorCode::Unauthenticated,
                "the Authorization header must be \"Bearer <key>\"");
  Parsed.BearerKey_ = Authorization.substr(Scheme.size());
  Parsed.IdempotencyKey_ = Headers.get("Idempotency-Key");
  if (Headers.has("Request-Timeout-Ms")) {
    BOOST_LEAF_AUTO(Timeout,
                    readTimeout(Headers.get("Request-Timeout-Ms"), Limits));
    Parsed.Timeout_ = Timeout;
  }
  std::string TraceParent = Headers.get("traceparent");
  if (isTraceParent(TraceParent))
    Parsed.TraceParent_ = TraceParent;
  return Parsed;
}

Result<PipelineRequest> readPipelineRequest(std::string_view Body,
                                            const CallerLimits &Limits) {
  BOOST_LEAF_AUTO(Fields, readObject(Body));
  BOOST_LEAF_CHECK(
      rejectUnknownFields(Fields, {"input", "max_tokens", "stream"}));
  PipelineRequest Request;
  BOOST_LEAF_ASSIGN(Request.Input_, readText(Fields, "input"));
  if (Request.Input_.empty() || Request.Input_.size() > Limits.MaxInputBytes_)
    return fail(ErrorCode::InvalidArgument,
                "\"input\" must have 1 to " +
                    std::to_string(Limits.MaxInputBytes_) + " bytes");
  if (auto Field = Fields.find("max_tokens"); Field != Fields.end()) {
    if (!Field->is_number_integer() || Field->get<std::int64_t>() < 1 ||
        Field->get<std::int64_t>() > Limits.MaxTokens_)
      return fail(ErrorCode::InvalidArgument,
                  "\"max_tokens\" must be a whole number from 1 to " +
                      std::to_string(Limits.MaxTokens_));
    Request.MaxTokens_ = Field->get<int>();
  }
  if (auto Field = Fields.find("stream"); Field != Fields.end()) {
    if (!Field->is_boolean())
      return fail(ErrorCode::InvalidArgument,
                  "\"stream\" must be true or false");
    Request.Stream_ = Field->get<bool>();
  }
  return Request;
}

Result<PlainRequest> readPlainRequest(std::string_view Body) {
  BOOST_LEAF_AUTO(Fields, readObject(Body));
  BOOST_LEAF_CHECK(rejectUnknownFields(Fields, {"call", "body"}));
  PlainRequest Request;
  BOOST_LEAF_ASSIGN(Request.Call_, readText(Fields, "call"));
  auto Content = Fields.find("body");
  if (Content == Fields.end())
    return fail(ErrorCode::InvalidArgument, "\"body\" is missing");
  Request.Body_ = Content->dump();
  return Request;
}

} // namespace amaranth::protocol
