/// \file
/// Incremental parsing of HTTP/1.1 messages.
#ifndef AMARANTH_TRANSPORT_HTTPREADER_H
#define AMARANTH_TRANSPORT_HTTPREADER_H

#include "Transport/HttpHead.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace amaranth::transport {

/// Parses one message as its bytes arrive, with the parser of Boost.Beast. What
/// it holds is bounded, whatever the peer sends: a head, a chunk's line or a
/// trailer by the limit for heads, body bytes that have not been taken by the
/// limit for bodies; a stated length reserves nothing. The whole body of a
/// response may be longer, so that a long stream is read to its end.
class HttpReader final {
public:
  enum class Kind { Request, Response };
  enum class State {
    Head,
    Body,
    Complete,
    Malformed,
    HeadTooLarge,
    BodyTooLarge
  };

  HttpReader(Kind Message, std::size_t MaxHead, std::size_t MaxBody);
  ~HttpReader();
  HttpReader(HttpReader &&) noexcept;

  /// Consumes what belongs to this message from the front of \p Input.
  State feed(std::string &Input);
  /// The peer closed the connection in order, which completes a body without a
  /// length.
  State onEndOfStream();

  State state() const { return State_; }
  bool hasHead() const {
    return State_ == State::Body || State_ == State::Complete;
  }
  /// Valid when hasHead().
  const HttpHead &head() const { return Head_; }
  /// Takes the body bytes parsed so far.
  std::string takeBody();
  /// Body bytes that have been parsed and not taken.
  std::size_t bodyBytes() const;
  /// Whether the connection may carry another message after this one.
  bool keepAlive() const;
  /// The length of the body that the head states, if it does. Valid when
  /// hasHead().
  std::optional<std::uint64_t> statedLength() const;
  /// Whether the body's end is marked by a length or a last chunk.
  bool hasDelimitedBody() const;
  /// Whether any byte of the message has been consumed.
  bool started() const { return Started_; }

private:
  struct GrowingBody;
  struct Parser;

  void readHead();

  std::unique_ptr<Parser> Parser_;
  std::size_t MaxHead_;
  std::size_t MaxBody_;
  HttpHead Head_;
  State State_ = State::Head;
  bool Started_ = false;
  /// The input begins with bytes that the parser has seen and not consumed.
  bool HasUnparsedInput_ = false;
};

} // namespace amaranth::transport

#endif
