#include "Protocol/CallerApi.h"

#include <catch2/catch.hpp>

#include <random>

using namespace amaranth;
using namespace amaranth::protocol;

namespace {

ErrorCode refusalCode(std::string_view Body) {
  auto Parsed = capture([&] { return readPipelineRequest(Body, {}); });
  REQUIRE_FALSE(Parsed);
  CHECK_FALSE(Parsed.error().Message_.empty());
  return Parsed.error().Code_;
}

} // namespace

// Guards against a well-formed request losing a field.
TEST_CASE("a pipeline request keeps all its fields") {
  auto Parsed = capture([] {
    return readPipelineRequest(
        R"({"input":"a cradle","max_tokens":7,"stream":true})", {});
  });
  REQUIRE(Parsed);
  CHECK(Parsed->Input_ == "a cradle");
  CHECK(Parsed->MaxTokens_ == 7);
  CHECK(Parsed->Stream_);
}

// Guards against malformed input that is accepted or stops the process.
TEST_CASE("malformed pipeline requests are refused with a message") {
  CHECK(refusalCode("") == ErrorCode::InvalidArgument);
  CHECK(refusalCode("[]") == ErrorCode::InvalidArgument);
  CHECK(refusalCode(R"({"input":1})") == ErrorCode::InvalidArgument);
  CHECK(refusalCode(R"({"input":""})") == ErrorCode::InvalidArgument);
  CHECK(refusalCode(R"({"input":"a","max_tokens":0})") ==
        ErrorCode::InvalidArgument);
  CHECK(refusalCode(R"({"input":"a","max_tokens":99999999999999999999})") ==
        ErrorCode::InvalidArgument);
  CHECK(refusalCode(R"({"input":"a","colour":"red"})") ==
        ErrorCode::InvalidArgument);
  CHECK(refusalCode(std::string(100000, '[')) == ErrorCode::InvalidArgument);
}

// Guards against a crash on any byte sequence in a body.
TEST_CASE("randomly mutated requests are read or refused") {
  std::mt19937 Random(7);
  const std::string Valid = R"({"call":"place","body":{"order_id":"7"}})";
  for (int Round = 0; Round < 3000; ++Round) {
    std::string Text = Valid;
    for (int Change = 0; Change < 3; ++Change)
      Text[Random() % Text.size()] = static_cast<char>(Random() % 256);
    auto Parsed = capture([&] { return readPlainRequest(Text); });
    if (!Parsed)
      CHECK_FALSE(Parsed.error().Message_.empty());
  }
}

// Guards against requests without a key, and timeouts that are not numbers.
TEST_CASE("caller headers are checked") {
  transport::HttpHeaders Headers;
  auto Missing = capture([&] { return readCallerHeaders(Headers, {}); });
  REQUIRE_FALSE(Missing);
  CHECK(Missing.error().Code_ == ErrorCode::Unauthenticated);
  Headers.add("Authorization", "Bearer k");
  Headers.add("Request-Timeout-Ms", "12x");
  auto Malformed = capture([&] { return readCallerHeaders(Headers, {}); });
  REQUIRE_FALSE(Malformed);
  CHECK(Malformed.error().Code_ == ErrorCode::InvalidArgument);
}
