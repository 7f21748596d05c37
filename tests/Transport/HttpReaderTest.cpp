#include "Transport/HttpReader.h"

#include <catch2/catch.hpp>

#include <random>
#include <string>
#include <vector>

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

// Rule MIXED. Pattern: a server in trouble sends a status that does not exist.
// Guards against a caller that gets it as an answer.
TEST_CASE("http reader: a status that does not exist is no answer") {
  for (const char *Status : {"000", "099", "600", "999"}) {
    CAPTURE(Status);
    HttpReader Reader = responseReader();
    CHECK(feedAll(Reader, "HTTP/1.1 " + std::string(Status) +
                              " OK\r\nContent-Length: 1\r\n\r\nx") ==
          State::Malformed);
  }
  for (int Status : {100, 200, 421, 599}) {
    CAPTURE(Status);
    HttpReader Reader = responseReader();
    CHECK(feedAll(Reader, "HTTP/1.1 " + std::to_string(Status) +
                              " OK\r\nContent-Length: 0\r\n\r\n") ==
          State::Complete);
    CHECK(Reader.head().Status_ == Status);
  }
}

// Rules MIXED, TWICE. Pattern: a server in trouble begins an answer that
// belongs to no request, and its next answer follows. Guards against a caller
// that gets the status of the one with the fields and body of the other.
TEST_CASE("http reader: two heads in one are no answer") {
  const std::string Broken =
      "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
      "Date: Mon, 07 Dec 2026 10:00:00 GMT\r\nX-A: b\r\n";
  const std::string Whole =
      "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 1\r\n\r\nx";
  for (std::size_t Length = 1; Length <= Broken.size(); ++Length) {
    CAPTURE(Broken.substr(0, Length));
    HttpReader Reader = responseReader();
    CHECK(feedAll(Reader, Broken.substr(0, Length) + Whole) ==
          State::Malformed);
  }
  for (const char *Value : {"HTTP/1.1", "1.1 proxy", "HTTP/1.1 gateway",
                            "HTTP/2 200", "HTTP/1.1 20", ""}) {
    CAPTURE(Value);
    HttpReader Reader = responseReader();
    CHECK(feedAll(Reader, "HTTP/1.1 200 OK\r\nVia: " + std::string(Value) +
                              "\r\nContent-Length: 0\r\n\r\n") ==
          State::Complete);
  }
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

namespace {

/// Messages without content that end in a last chunk.
std::vector<std::string> emptyChunkedMessages() {
  std::vector<std::string> Messages;
  for (const char *Head : {"HTTP/1.1 500 Failed\r\n", "POST /a HTTP/1.1\r\n"})
    for (const char *LastChunk :
         {"0\r\n\r\n", "00\r\n\r\n", "0;x=y\r\n\r\n", "0\r\nT: t\r\n\r\n"})
      Messages.push_back(std::string(Head) +
                         "Transfer-Encoding: chunked\r\n\r\n" + LastChunk);
  return Messages;
}

/// Calls \p Check for each message and each length at which it is divided, with
/// a reader that was given the bytes before twice, as after a read that failed.
/// The bytes that the reader has left are in the second argument.
template <typename F> void forEachDivision(F &&Check) {
  for (const std::string &Message : emptyChunkedMessages())
    for (std::size_t Length = 1; Length < Message.size(); ++Length) {
      CAPTURE(Message, Length);
      HttpReader Reader =
          Message[0] == 'H' ? responseReader() : requestReader();
      std::string UnreadBytes = Message.substr(0, Length);
      Reader.feed(UnreadBytes);
      CHECK(Reader.feed(UnreadBytes) < State::Complete);
      Check(Reader, UnreadBytes, Message.substr(Length));
    }
}

} // namespace

// Rule LOST. Pattern: a peer sends the last chunk of a message without content
// in small parts. Guards against an assertion of the parser, which ends the
// process with all its requests.
TEST_CASE("http reader: a last chunk that arrives in parts ends no process") {
  forEachDivision([](HttpReader &Reader, std::string &UnreadBytes,
                     const std::string &RestOfMessage) {
    for (std::size_t I = 0; I < RestOfMessage.size(); ++I) {
      UnreadBytes += RestOfMessage[I];
      bool IsLastByte = I + 1 == RestOfMessage.size();
      CHECK((Reader.feed(UnreadBytes) == State::Complete) == IsLastByte);
      CHECK(Reader.state() <= State::Complete);
    }
    CHECK(Reader.takeBody().empty());
    CHECK(UnreadBytes.empty());
  });
}

// Pattern: a peer breaks off within that last chunk. Guards against a message
// that counts as complete, and against the same assertion.
TEST_CASE("http reader: a last chunk that is broken off completes nothing") {
  forEachDivision([](HttpReader &Reader, std::string &, const std::string &) {
    CHECK(Reader.onEndOfStream() == State::Malformed);
  });
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

namespace {

/// A message whose part after Begin_ is repeated without end.
struct EndlessPart {
  const char *Name_;
  std::string Begin_;
  std::string Filler_;
};

std::vector<EndlessPart> endlessResponses() {
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  return {
      {"status line", "HTTP/1.1 200 ", "O"},
      {"bytes that are no answer", "", "x"},
      {"empty lines", "", "\r\n"},
      {"field", Head + "X: ", "x"},
      {"fields", Head, "X: x\r\n"},
      {"chunk size", Chunked + "3", "0"},
      {"chunk extension", Chunked + "3;x=", "x"},
      {"chunk extensions", Chunked + "3", ";x=x"},
      {"trailer field", Chunked + "0\r\nX: ", "x"},
      {"trailer", Chunked + "0\r\n", "X: x\r\n"},
      {"body until close", Head + "\r\n", "x"},
      {"body with a length", Head + "Content-Length: 999999999\r\n\r\n", "x"},
      {"body with an enormous length",
       Head + "Content-Length: 1000000000000000000\r\n\r\n", "x"},
      {"chunk", Chunked + "fffffff\r\n", "x"},
      {"chunks", Chunked, "1\r\nx\r\n"}};
}

std::vector<EndlessPart> endlessRequests() {
  const std::string Head = "POST /a HTTP/1.1\r\nHost: h\r\n";
  const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
  return {{"target", "POST /", "x"},
          {"method", "", "P"},
          {"field", Head + "X: ", "x"},
          {"fields", Head, "X: x\r\n"},
          {"chunk extension", Chunked + "3;x=", "x"},
          {"trailer field", Chunked + "0\r\nX: ", "x"},
          {"trailer", Chunked + "0\r\n", "X: x\r\n"},
          {"chunks", Chunked, "1\r\nx\r\n"}};
}

/// Feeds the part in reads of usual size until the reader gives the message up,
/// and checks what it holds.
void checkGivenUp(HttpReader Reader, const EndlessPart &Part,
                  std::size_t Limit) {
  constexpr std::size_t ReadBytes = 4096;
  constexpr std::size_t MaxReads = 500;
  INFO(Part.Name_);
  std::string Input = Part.Begin_;
  std::size_t Reads = 0;
  for (; Reads < MaxReads && Reader.feed(Input) <= State::Complete; ++Reads) {
    CHECK(Input.size() + Reader.bodyBytes() <= Limit + ReadBytes);
    std::size_t End = Input.size() + ReadBytes;
    while (Input.size() < End)
      Input += Part.Filler_;
  }
  CHECK(Reader.state() > State::Complete);
  CHECK(Reads < MaxReads);
}

} // namespace

// Pattern: a server in trouble sends bytes without end. Guards against memory
// that grows with them, in any part of a message.
TEST_CASE("http reader: every part that never ends is given up") {
  for (const EndlessPart &Part : endlessResponses())
    checkGivenUp(responseReader(), Part, 4096 + 1024);
  for (const EndlessPart &Part : endlessRequests())
    checkGivenUp(requestReader(), Part, 1024 + 64);
}

// Pattern: a server in trouble states an enormous length. Guards against memory
// that is reserved for bytes that have not arrived, and against a process that
// ends because there is not enough of it.
TEST_CASE("http reader: a stated length reserves no memory") {
  for (const char *Length : {"100000000", "1000000000000000000",
                             "9223372036854775807", "18446744073709551615"}) {
    INFO(Length);
    HttpReader Reader = responseReader();
    State Result = State::Head;
    REQUIRE_NOTHROW(Result = feedAll(Reader, "HTTP/1.1 200 OK\r\n"
                                             "Content-Length: " +
                                                 std::string(Length) +
                                                 "\r\n\r\nabc"));
    CHECK((Result == State::Body || Result == State::Malformed));
    CHECK(Reader.takeBody().capacity() < 4096);
  }
}

// Guards against a bound on the total length of a stream, which cuts sound long
// streams.
TEST_CASE("http reader: a long response is read if its body is taken") {
  const std::string Head = "HTTP/1.1 200 OK\r\n";
  const std::string Chunk = encodeChunk(std::string(1000, 'x'));
  for (bool IsChunked : {true, false}) {
    HttpReader Reader = responseReader();
    std::string Input =
        Head + (IsChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n");
    std::size_t Body = 0;
    for (int I = 0; I < 1000; ++I) {
      Input += IsChunked ? Chunk : std::string(1000, 'x');
      REQUIRE(Reader.feed(Input) == State::Body);
      Body += Reader.takeBody().size();
    }
    CHECK(Body == 1000 * 1000);
  }
}

namespace {

/// Outcome of reading bytes that were divided at random places.
struct ReadOutcome {
  State State_ = State::Head;
  std::string Body_;
  std::string Rest_;
};

ReadOutcome readDivided(const std::string &Bytes, bool IsRequest,
                        std::size_t MaxPart, std::mt19937 &Random) {
  HttpReader Reader = IsRequest ? requestReader() : responseReader();
  ReadOutcome Outcome;
  std::string Input;
  for (std::size_t Position = 0; Position < Bytes.size();) {
    std::size_t Part = 1 + Random() % MaxPart;
    Input += Bytes.substr(Position, Part);
    Position += Part;
    Reader.feed(Input);
    if (Reader.hasHead())
      Outcome.Body_ += Reader.takeBody();
  }
  Outcome.State_ = Reader.state();
  Outcome.Rest_ = Input;
  return Outcome;
}

} // namespace

// A seeded fuzz test: mutated, truncated and pipelined messages, divided at
// random places. Guards against crashes, against memory beyond the limits, and
// against a sound message that is read differently when it is divided
// differently.
TEST_CASE("http reader: any bytes in any division") {
  const std::vector<std::string> Seeds = {
      "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
      "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
      "chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\nT: t\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nRequest-Id: r\r\n\r\nabcde",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
      "chunked\r\n\r\n3\r\nabc\r\n2;e\r\nde\r\n0\r\n\r\n",
      "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n\r\nx",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"};
  std::mt19937 Random(20261204);
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Bytes = Seeds[Random() % Seeds.size()];
    bool IsRequest = Bytes[0] != 'H';
    if (Round % 3 == 0)
      Bytes += Seeds[Random() % Seeds.size()];
    for (unsigned I = Random() % 5; I > 0 && !Bytes.empty(); --I) {
      std::size_t Position = Random() % Bytes.size();
      switch (Random() % 4) {
      case 0:
        Bytes[Position] = static_cast<char>(Random());
        break;
      case 1:
        Bytes.erase(Position, 1 + Random() % 4);
        break;
      case 2:
        Bytes.insert(Position, Bytes.substr(Random() % Bytes.size(), 9));
        break;
      default:
        Bytes.resize(Position);
      }
    }
    CAPTURE(Round, Bytes);
    ReadOutcome Whole = readDivided(Bytes, IsRequest, 100000, Random);
    ReadOutcome Divided = readDivided(Bytes, IsRequest, 1 + Round % 9, Random);
    REQUIRE((Whole.State_ == State::Complete) ==
            (Divided.State_ == State::Complete));
    if (Whole.State_ != State::Complete)
      continue;
    REQUIRE(Whole.Body_ == Divided.Body_);
    REQUIRE(Whole.Rest_ == Divided.Rest_);
  }
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
