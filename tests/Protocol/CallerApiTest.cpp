#include "Protocol/CallerApi.h"

#include <catch2/catch.hpp>

#include <random>

using namespace amaranth;
using namespace amaranth::protocol;

namespace {

ErrorCode codeOf(std::string_view Body) {
  auto Read = capture([&] { return readPipelineRequest(Body, {}); });
  REQUIRE_FALSE(Read);
  CHECK_FALSE(Read.error().Message_.empty());
  return Read.error().Code_;
}

} // namespace

// Guards against a well-formed request losing a field.
TEST_CASE("a pipeline request keeps all its fields") {
  auto Read = capture([] {
    return readPipelineRequest(
        R"({"input":"a cradle","max_tokens":7,"stream":true})", {});
  });
  REQUIRE(Read);
  CHECK(Read->Input_ == "a cradle");
  CHECK(Read->MaxTokens_ == 7);
  CHECK(Read->Stream_);
}

// Guards against malformed input that is accepted or stops the process.
TEST_CASE("malformed pipeline requests are refused with a message") {
  CHECK(codeOf("") == ErrorCode::InvalidArgument);
  CHECK(codeOf("[]") == ErrorCode::InvalidArgument);
  CHECK(codeOf(R"({"input":1})") == ErrorCode::InvalidArgument);
  CHECK(codeOf(R"({"input":""})") == ErrorCode::InvalidArgument);
  CHECK(codeOf(R"({"input":"a","max_tokens":0})") ==
        ErrorCode::InvalidArgument);
  CHECK(codeOf(R"({"input":"a","max_tokens":99999999999999999999})") ==
        ErrorCode::InvalidArgument);
  CHECK(codeOf(R"({"input":"a","colour":"red"})") ==
        ErrorCode::InvalidArgument);
  CHECK(codeOf(std::string(100000, '[')) == ErrorCode::InvalidArgument);
}

// Guards against a crash on any byte sequence in a body.
TEST_CASE("randomly mutated requests are read or refused") {
  std::mt19937 Random(7);
  const std::string Valid = R"({"call":"place","body":{"order_id":"7"}})";
  for (int Round = 0; Round < 3000; ++Round) {
    std::string Text = Valid;
    for (int Change = 0; Change < 3; ++Change)
      Text[Random() % Text.size()] = static_cast<char>(Random() % 256);
    auto Read = capture([&] { return readPlainRequest(Text); });
    if (!Read)
      CHECK_FALSE(Read.error().Message_.empty());
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
