/// \file
/// Parser of server-sent events.
#ifndef AMARANTH_PROTOCOL_SSEPARSER_H
#define AMARANTH_PROTOCOL_SSEPARSER_H

#include <functional>
#include <string>
#include <string_view>

namespace amaranth::protocol {

/// One event; several data lines are joined by line feeds.
struct SseEvent {
  std::string Event_;
  std::string Data_;
};

/// Splits a byte stream into events. Lines and events are bounded, because a
/// faulty target must not use up the memory of the host.
class SseParser final {
public:
  /// Receives an event; returning false stops the parser.
  using Handler = std::function<bool(const SseEvent &)>;

  enum class Status { Continue, Stopped, TooLong };

  explicit SseParser(std::size_t MaxLineBytes = 256 * 1024);

  /// Parses \p Chunk and passes each complete event to \p Handle.
  Status feed(std::string_view Chunk, const Handler &Handle);

private:
  Status parseLine(std::string_view Line, const Handler &Handle);

  std::size_t MaxLineBytes_;
  std::string Line_;
  SseEvent Pending_;
  bool HasData_ = false;
};

} // namespace amaranth::protocol

#endif
