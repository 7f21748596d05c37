#include "Transport/HttpReader.h"

#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <limits>
#include <string_view>
#include <variant>

namespace amaranth::transport {

namespace http = boost::beast::http;

namespace {

/// The shortest end of a chunked message: "0" CR LF CR LF.
constexpr std::size_t MinLastChunkBytes = 5;

/// The status codes that HTTP defines. Other numbers of three digits are no
/// answer.
constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;

/// Chunked must be the only transfer coding: with any other, the end of the
/// message is ambiguous.
bool hasUnambiguousFraming(const HttpHead &Head, bool Chunked) {
  return Head.count("transfer-encoding") == 0 || Chunked;
}

/// Whether \p Text has the begin of a status line, such as "HTTP/1.1 200". A
/// response that was broken off and the one after it are otherwise read as one,
/// with the status of the first and the fields of the second.
bool holdsStatusLine(std::string_view Text) {
  constexpr std::string_view Version = "HTTP/1.";
  constexpr std::string_view Digits = "0123456789";
  // The minor version, a space and three digits.
  constexpr std::size_t RestBytes = 5;
  for (std::size_t At = Text.find(Version); At != Text.npos;
       At = Text.find(Version, At + 1)) {
    std::string_view Rest = Text.substr(At + Version.size(), RestBytes);
    if (Rest.size() == RestBytes && Rest[1] == ' ' &&
        Digits.find(Rest[0]) != Digits.npos &&
        Rest.find_first_not_of(Digits, 2) == Rest.npos)
      return true;
  }
  return false;
}

} // namespace

/// A string that grows with the bytes that arrive. http::string_body reserves
/// the length that the peer states, which may be any number.
struct HttpReader::GrowingBody : http::string_body {
  struct GrowingReader : http::string_body::reader {
    using http::string_body::reader::reader;

    void init(const boost::optional<std::uint64_t> &,
              boost::system::error_code &Failure) {
      http::string_body::reader::init(boost::none, Failure);
    }
  };
  /// The name by which the library finds it.
  using reader = GrowingReader;
};

struct HttpReader::Parser {
  std::variant<http::request_parser<GrowingBody>,
               http::response_parser<GrowingBody>>
      Variant_;

  template <typename F> auto visit(F &&Function) {
    return std::visit(std::forward<F>(Function), Variant_);
  }
};

HttpReader::HttpReader(Kind Message, std::size_t MaxHead, std::size_t MaxBody)
    : Parser_(std::make_unique<Parser>()), MaxHead_(MaxHead),
      MaxBody_(MaxBody) {
  if (Message == Kind::Response)
    Parser_->Variant_.emplace<1>();
  Parser_->visit([&](auto &MessageParser) {
    MessageParser.eager(true);
    MessageParser.header_limit(static_cast<std::uint32_t>(MaxHead));
    if (Message == Kind::Request)
      MessageParser.body_limit(MaxBody);
    else
      MessageParser.body_limit(boost::none);
  });
}

HttpReader::~HttpReader() = default;
HttpReader::HttpReader(HttpReader &&) noexcept = default;

HttpReader::State HttpReader::feed(std::string &Input) {
  // The parser asserts that it gets no bytes after the end of a message.
  if (Input.empty() || State_ >= State::Complete)
    return State_;
  // Nor does it take less than a whole last chunk once it has seen its line. In
  // the body it leaves only chunk lines and trailers unconsumed, and none of
  // these can be completed by fewer bytes.
  if (State_ == State::Body && HasUnparsedInput_ &&
      Input.size() < MinLastChunkBytes)
    return State_;
  Started_ = true;
  boost::system::error_code Failure;
  std::size_t Consumed = Parser_->visit([&](auto &MessageParser) {
    return MessageParser.put(boost::asio::buffer(Input), Failure);
  });
  Input.erase(0, Consumed);
  HasUnparsedInput_ = !Input.empty();
  if (Failure == http::error::header_limit)
    return State_ = State::HeadTooLarge;
  if (Failure == http::error::body_limit)
    return State_ = State::BodyTooLarge;
  if (Failure && Failure != http::error::need_more)
    return State_ = State::Malformed;
  if (State_ == State::Head && Parser_->visit([](auto &MessageParser) {
        return MessageParser.is_header_done();
      }))
    readHead();
  if (hasHead() && Parser_->visit([](auto &MessageParser) {
        return MessageParser.is_done();
      }))
    State_ = State::Complete;
  if (State_ == State::Body && bodyBytes() > MaxBody_)
    return State_ = State::BodyTooLarge;
  // The parser leaves the line of a chunk and the trailer until they are whole.
  if (State_ == State::Body && Input.size() > MaxHead_)
    return State_ = State::Malformed;
  return State_;
}

HttpReader::State HttpReader::onEndOfStream() {
  if (State_ >= State::Complete)
    return State_;
  boost::system::error_code Failure;
  Parser_->visit([&](auto &MessageParser) { MessageParser.put_eof(Failure); });
  if (Failure)
    return State_ = State::Malformed;
  if (hasHead())
    State_ = State::Complete;
  return State_;
}

void HttpReader::readHead() {
  State_ = State::Body;
  if (auto *Request = std::get_if<0>(&Parser_->Variant_)) {
    Head_.Method_ = std::string(Request->get().method_string());
    Head_.Target_ = std::string(Request->get().target());
  } else {
    const auto &Response = std::get_if<1>(&Parser_->Variant_)->get();
    unsigned Status = Response.result_int();
    bool HoldsOther = holdsStatusLine(Response.reason());
    for (const auto &Field : Response)
      HoldsOther = HoldsOther || holdsStatusLine(Field.value());
    if (Status < MinStatus || Status > MaxStatus || HoldsOther)
      State_ = State::Malformed;
    Head_.Status_ = static_cast<int>(Status);
  }
  Parser_->visit([&](auto &MessageParser) {
    for (const auto &Field : MessageParser.get())
      Head_.Fields_.emplace_back(std::string(Field.name_string()),
                                 std::string(Field.value()));
  });
  if (!hasUnambiguousFraming(Head_, Parser_->visit([](auto &MessageParser) {
        return MessageParser.chunked();
      })))
    State_ = State::Malformed;
}

std::string HttpReader::takeBody() {
  return Parser_->visit([](auto &MessageParser) {
    std::string Body = std::move(MessageParser.get().body());
    MessageParser.get().body().clear();
    return Body;
  });
}

std::size_t HttpReader::bodyBytes() const {
  return Parser_->visit(
      [](auto &MessageParser) { return MessageParser.get().body().size(); });
}

std::optional<std::uint64_t> HttpReader::statedLength() const {
  return Parser_->visit(
      [](auto &MessageParser) -> std::optional<std::uint64_t> {
        if (auto Length = MessageParser.content_length())
          return *Length;
        return std::nullopt;
      });
}

bool HttpReader::keepAlive() const {
  return Parser_->visit(
      [](auto &MessageParser) { return MessageParser.keep_alive(); });
}

bool HttpReader::hasDelimitedBody() const {
  return Parser_->visit([](auto &MessageParser) {
    return MessageParser.chunked() || !MessageParser.need_eof();
  });
}

} // namespace amaranth::transport
