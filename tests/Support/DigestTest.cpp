#include "Support/Digest.h"

#include <catch2/catch.hpp>

using namespace amaranth;

// Guards against a wrong digest algorithm or byte order.
TEST_CASE("SHA-256 matches the published test vector") {
  CHECK(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223"
                            "b00361a396177a9cb410ff61f20015ad");
}

// Guards against bytes being lost or added, for each padding length.
TEST_CASE("base64 round trip keeps every byte") {
  for (std::string Data : {"", "a", "ab", "abc", "abcd"}) {
    Data.push_back('\0');
    auto Decoded = capture([&] { return base64Decode(base64Encode(Data)); });
    REQUIRE(Decoded);
    CHECK(*Decoded == Data);
  }
}

// Guards against accepting text that is not base64.
TEST_CASE("malformed base64 is an error") {
  auto Decoded = capture([] { return base64Decode("a!b="); });
  REQUIRE_FALSE(Decoded);
  CHECK(Decoded.error().Code_ == ErrorCode::InvalidArgument);
}
