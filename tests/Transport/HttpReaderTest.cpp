#include "Transport/HttpReader.h"

#include <catch2/catch.hpp>

#include <random>

using namespace amaranth::transport;
using State = HttpReader::State;

namespace {

HttpReader requestReader() {
  return HttpReader(HttpReader::Kind::Request, 1024, 64);
}

HttpReader responseReader() {
  return HttpReader(HttpReader::Kind::Response, 1024, 4096);
}

State feedAll(HttpReader &Reader, std::string Bytes) {
  return Reader.feed(Bytes);
}

} // namespace

// Guards against losing the bytes that follow a message on its connection.
TEST_CASE("http reader: a message ends where its framing says") {
  std::string Input = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n"
                      "abcGET /b HTTP/1.1\r\n";
  HttpReader Reader = requestReader();
  CHECK(Reader.feed(Input) == State::Complete);
  CHECK(Reader.head().Method_ == "POST");
  CHECK(Reader.takeBody() == "abc");
  CHECK(Input == "GET /b HTTP/1.1\r\n");
  CHECK(Reader.keepAlive());
}

// Guards against request smuggling: two parsers that disagree on where a
// request ends.
TEST_CASE("http reader: ambiguous framing is refused") {
  for (const char *Fields :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        "Content-Length: 3\r\nContent-Length: 4\r\n",
        "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: xchunked\r\n",
        "Content-Length: -1\r\n", "Content-Length: 3x\r\n",
        "Content-Length : 3\r\n"}) {
    INFO(Fields);
    HttpReader Reader = requestReader();
    CHECK(feedAll(Reader, std::string("POST /a HTTP/1.1\r\nHost: h\r\n") +
                              Fields + "\r\nabc") == State::Malformed);
  }
}

// Guards against a sender that makes the reader use memory without limit.
TEST_CASE("http reader: size limits have states of their own") {
  HttpReader LongHead = requestReader();
  CHECK(feedAll(LongHead, "GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x') +
                              "\r\n\r\n") == State::HeadTooLarge);
  HttpReader LargeBody = requestReader();
  CHECK(feedAll(LargeBody, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: "
                           "65\r\n\r\n") == State::BodyTooLarge);
}

// Guards against a truncated answer that counts as complete.
TEST_CASE("http reader: only an orderly end completes an answer") {
  HttpReader ShortBody = responseReader();
  CHECK(feedAll(ShortBody, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc") ==
        State::Body);
  CHECK(ShortBody.onEndOfStream() == State::Malformed);
  HttpReader Chunked = responseReader();
  CHECK(feedAll(Chunked, "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                         "chunked\r\n\r\n3\r\nabc\r\n") == State::Body);
  CHECK(Chunked.onEndOfStream() == State::Malformed);
  HttpReader Unframed = responseReader();
  CHECK(feedAll(Unframed, "HTTP/1.1 200 OK\r\n\r\nabc") == State::Body);
  CHECK_FALSE(Unframed.hasDelimitedBody());
  CHECK(Unframed.onEndOfStream() == State::Complete);
  CHECK(Unframed.takeBody() == "abc");
}

// Guards against a different result when bytes come one at a time.
TEST_CASE("http reader: the division of the bytes makes no difference") {
  const std::string Message =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
      "Request-Id: r\r\n\r\n3\r\nabc\r\n2\r\nde\r\n"
      "0\r\n\r\n";
  HttpReader Reader = responseReader();
  std::string Body;
  std::string Input;
  for (char Byte : Message) {
    Input.push_back(Byte);
    Reader.feed(Input);
    if (Reader.hasHead())
      Body += Reader.takeBody();
  }
  CHECK(Reader.state() == State::Complete);
  CHECK(Body == "abcde");
  CHECK(*Reader.head().find("request-id") == "r");
}

// Guards against a crash on damaged bytes.
TEST_CASE("http reader: damaged messages end in a state") {
  std::mt19937 Random(3);
  const std::string Message =
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
      "chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  for (int Round = 0; Round < 3000; ++Round) {
    std::string Damaged = Message;
    for (int I = 0; I < 1 + Round % 4; ++I)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    HttpReader Reader = requestReader();
    Reader.feed(Damaged);
    (void)Reader.onEndOfStream();
  }
  SUCCEED();
}

// Guards against hop-by-hop fields being passed on.
TEST_CASE("http head: fields of one connection") {
  HttpHead Head;
  Head.Fields_ = {{"Connection", "close, X-Mine"}, {"X-Mine", "1"}};
  CHECK(isConnectionField(Head, "keep-alive"));
  CHECK(isConnectionField(Head, "x-mine"));
  CHECK_FALSE(isConnectionField(Head, "X-Min"));
  CHECK(encodeChunk("abc") == "3\r\nabc\r\n");
  CHECK(statusLine(421) == "HTTP/1.1 421 Misdirected Request\r\n");
}
