#include "platform/RecordCodec.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace amaranth;
using Json = nlohmann::json;

namespace {

Json wholeRecord() {
  return {{"service", "s"},
          {"address", "10.0.0.1:80"},
          {"zone", "a"},
          {"version", "v1"},
          {"slots", 64},
          {"state", "ready"},
          {"cold_remaining_ms", 0},
          {"sequence", 4},
          {"born", 1700000000000}};
}

bool isReadable(const std::string &Value) {
  platform::RecordCodec Codec;
  return static_cast<bool>(
      capture([&] { return Codec.readTarget("servers/i-1", Value); }));
}

/// Whether a whole record with \p Name set to \p Value is readable.
bool isReadableWith(const char *Name, const Json &Value) {
  Json Changed = wholeRecord();
  Changed[Name] = Value;
  return isReadable(Changed.dump());
}

} // namespace

// Rule ROUTE. Guards against requests to a target because of a record that
// lacks fields, which another writer has left under the target's key.
TEST_CASE("target record: each field is required") {
  const Json Whole = wholeRecord();
  CHECK(isReadable(Whole.dump()));
  for (const auto &[Name, Value] : Whole.items()) {
    INFO(Name);
    Json Lacking = Whole;
    Lacking.erase(Name);
    CHECK_FALSE(isReadable(Lacking.dump()));
  }
}

// Rule ROUTE. Guards against a field of another type that counts as its default
// value.
TEST_CASE("target record: each field has its type") {
  const Json NoNumbers[] = {nullptr, true, "1", Json::array({1}),
                            Json::object()};
  const Json NoTexts[] = {nullptr, true, 1, Json::array({"a"}), Json::object()};
  for (const char *Name : {"slots", "cold_remaining_ms", "sequence", "born"})
    for (const Json &Value : NoNumbers) {
      INFO(Name << ": " << Value);
      CHECK_FALSE(isReadableWith(Name, Value));
    }
  for (const char *Name : {"service", "address", "zone", "version", "state"})
    for (const Json &Value : NoTexts) {
      INFO(Name << ": " << Value);
      CHECK_FALSE(isReadableWith(Name, Value));
    }
}

// Guards against values that cannot be right and would be used or cut to size.
TEST_CASE("target record: values out of range") {
  for (const char *Address :
       {"", "x", "10.0.0.1", "10.0.0.1:", "10.0.0.1:0", "10.0.0.1:65536",
        "10.0.0.1:-1", "10.0.0.1:80x", "10.0.0.256:80", "[::1]:80", ":80",
        "host.example:80", "10.0.0.1:80\r\n"})
    CHECK_FALSE(isReadableWith("address", Address));
  CHECK(isReadableWith("address", "10.0.0.1:65535"));
  for (const Json &Value : {Json(0), Json(-7), Json(1.5), Json(1e300)})
    CHECK_FALSE(isReadableWith("slots", Value));
  CHECK(isReadableWith("slots", 1));
  for (const Json &Value : {Json(-1), Json(0.5), Json(1e300)})
    CHECK_FALSE(isReadableWith("sequence", Value));
  CHECK(isReadableWith("sequence", 0));
  for (const Json &Value : {Json(-1), Json(0), Json(1.5), Json(1e300),
                            Json(18446744073709551615ULL)})
    CHECK_FALSE(isReadableWith("born", Value));
  CHECK_FALSE(isReadableWith("service", ""));
  CHECK_FALSE(isReadableWith("state", "Ready"));
  for (const char *Number : {"1e400", "99999999999999999999999999"}) {
    std::string Text = wholeRecord().dump();
    Text.replace(Text.find("64"), 2, Number);
    CHECK_FALSE(isReadable(Text));
  }
}

// Guards against a record that another writer states in two ways: which of two
// values of a field is used would be a matter of the parser.
TEST_CASE("target record: a field that occurs twice") {
  std::string Text = wholeRecord().dump();
  CHECK_FALSE(isReadable(R"({"state":"draining",)" + Text.substr(1)));
  CHECK_FALSE(isReadable(R"({"state":"ready",)" + Text.substr(1)));
  // The same name in two objects is no repetition.
  CHECK(
      isReadableWith("models", Json::array({{{"state", 1}}, {{"state", 2}}})));
}

// Guards against a stack overflow on records with many nested values.
TEST_CASE("target record: deep nesting") {
  constexpr std::size_t Depth = 300000;
  const std::string Arrays = std::string(Depth, '[') + std::string(Depth, ']');
  std::string Objects;
  for (std::size_t I = 0; I < Depth; ++I)
    Objects += R"({"a":)";
  std::string Text = wholeRecord().dump();
  for (const std::string &Value :
       {Arrays, Objects + "1" + std::string(Depth, '}'), Objects}) {
    CHECK_FALSE(isReadable(Value));
    std::string Nested = Text;
    Nested.replace(Nested.find("64"), 2, Value);
    CHECK_FALSE(isReadable(Nested));
  }
}
