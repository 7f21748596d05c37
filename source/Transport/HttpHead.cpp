#include "Transport/HttpHead.h"

// Needed by the Boost header.
#include <ostream>

#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace amaranth::transport {

namespace {

char toLower(char Char) {
  return Char >= 'A' && Char <= 'Z' ? Char - 'A' + 'a' : Char;
}

constexpr std::array<std::string_view, 8> ConnectionFields = {
    "connection",        "keep-alive", "proxy-connection", "te",
    "transfer-encoding", "upgrade",    "trailer",          "content-length"};

/// True if the comma-separated \p List contains \p Token.
bool listContains(std::string_view List, std::string_view Token) {
  while (!List.empty()) {
    std::size_t Comma = std::min(List.find(','), List.size());
    std::string_view Item = List.substr(0, Comma);
    while (!Item.empty() && (Item.front() == ' ' || Item.front() == '\t'))
      Item.remove_prefix(1);
    while (!Item.empty() && (Item.back() == ' ' || Item.back() == '\t'))
      Item.remove_suffix(1);
    if (equalsIgnoringCase(Item, Token))
      return true;
    List.remove_prefix(std::min(Comma + 1, List.size()));
  }
  return false;
}

} // namespace

bool equalsIgnoringCase(std::string_view Left, std::string_view Right) {
  return Left.size() == Right.size() &&
         std::equal(Left.begin(), Left.end(), Right.begin(),
                    [](char A, char B) { return toLower(A) == toLower(B); });
}

const std::string *HttpHead::find(std::string_view Name) const {
  for (const auto &[Key, Value] : Fields_)
    if (equalsIgnoringCase(Key, Name))
      return &Value;
  return nullptr;
}

std::size_t HttpHead::count(std::string_view Name) const {
  return std::count_if(Fields_.begin(), Fields_.end(), [&](const auto &Field) {
    return equalsIgnoringCase(Field.first, Name);
  });
}

bool isConnectionField(const HttpHead &Head, std::string_view Name) {
  for (std::string_view FieldName : ConnectionFields)
    if (equalsIgnoringCase(Name, FieldName))
      return true;
  for (const auto &[Key, Value] : Head.Fields_)
    if (equalsIgnoringCase(Key, "connection") && listContains(Value, Name))
      return true;
  return false;
}

std::string_view reasonPhrase(int Status) {
  return boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(Status)));
}

std::string statusLine(int Status) {
  std::string Line = "HTTP/1.1 " + std::to_string(Status) + " ";
  Line.append(reasonPhrase(Status)).append("\r\n");
  return Line;
}

void appendField(std::string &Message, std::string_view Name,
                 std::string_view Value) {
  Message.append(Name).append(": ").append(Value).append("\r\n");
}

std::string encodeChunk(std::string_view Data) {
  char Size[24];
  int Length = std::snprintf(Size, sizeof Size, "%zx\r\n", Data.size());
  std::string Chunk(Size, static_cast<std::size_t>(Length));
  return Chunk.append(Data).append("\r\n");
}

} // namespace amaranth::transport
