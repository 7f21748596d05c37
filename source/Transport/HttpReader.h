/// \file
/// Incremental parsing of HTTP/1.1 messages.
#ifndef AMARANTH_TRANSPORT_HTTPREADER_H
#define AMARANTH_TRANSPORT_HTTPREADER_H

#include "Transport/HttpHead.h"

#include <cstddef>
#include <memory>
#include <string>

namespace amaranth::transport {

/// Parses one message as its bytes arrive, with the parser of Boost.Beast.
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
  /// Whether the connection may carry another message after this one.
  bool keepAlive() const;
  /// Whether the body's end is marked by a length or a last chunk.
  bool hasDelimitedBody() const;
  /// Whether any byte of the message has been consumed.
  bool started() const { return Started_; }

private:
  struct Parser;

  void readHead();

  std::unique_ptr<Parser> Parser_;
  HttpHead Head_;
  State State_ = State::Head;
  bool Started_ = false;
};

} // namespace amaranth::transport

#endif
