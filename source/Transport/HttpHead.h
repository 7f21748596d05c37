/// \file
/// Start line and header fields of an HTTP/1.1 message.
#ifndef AMARANTH_TRANSPORT_HTTPHEAD_H
#define AMARANTH_TRANSPORT_HTTPHEAD_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace amaranth::transport {

/// Compares header names without regard to ASCII case.
bool equalsIgnoringCase(std::string_view Left, std::string_view Right);

/// The head of a request or response, its fields in order.
struct HttpHead {
  std::string Method_; ///< Empty in a response.
  std::string Target_; ///< Empty in a response.
  int Status_ = 0;     ///< 0 in a request.
  std::vector<std::pair<std::string, std::string>> Fields_;

  /// The first field of this name, or null.
  const std::string *find(std::string_view Name) const;
  std::size_t count(std::string_view Name) const;
};

/// True for hop-by-hop fields, which concern one connection only, including
/// those that \p Head names in its Connection field.
bool isConnectionField(const HttpHead &Head, std::string_view Name);

/// The standard reason phrase of a status code.
std::string_view reasonPhrase(int Status);

/// "HTTP/1.1 STATUS REASON" and its line end.
std::string statusLine(int Status);

void appendField(std::string &Message, std::string_view Name,
                 std::string_view Value);

/// One chunk of a chunked body.
std::string encodeChunk(std::string_view Data);

/// The chunk that ends a chunked body.
inline constexpr std::string_view LastChunk = "0\r\n\r\n";

} // namespace amaranth::transport

#endif
