#include "Serving/EventStream.h"

#include "Support/Time.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using serving::EventStream;

// Guards against forwarding an incomplete event.
TEST_CASE("event stream: only whole events are returned") {
  EventStream Stream;
  CHECK(Stream.addBytes("id: 1\ndata: a\n").empty());
  CHECK_FALSE(Stream.hasReturnedEvents());
  CHECK(Stream.addBytes("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(Stream.hasPartialEvent());
  CHECK(Stream.lastEventId() == 1);
  CHECK(Stream.addBytes("ta: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK_FALSE(Stream.hasPartialEvent());
}

// Guards against duplicate events, and events joined from two targets' bytes,
// when another target continues a stream.
TEST_CASE("event stream: a continued stream skips events returned before") {
  EventStream Stream;
  Stream.addBytes("id: 1\ndata: a\n\nid: 2\nda");
  Stream.discardPartialEvent();
  CHECK(Stream.addBytes("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") ==
        "id: 2\ndata: b\n\n");
  CHECK(Stream.lastEventId() == 2);
}

// Guards against dropping events without an id or with CR LF line ends.
TEST_CASE("event stream: events without an id and with CR LF") {
  EventStream Stream;
  CHECK(Stream.addBytes(": comment\n\n") == ": comment\n\n");
  CHECK(Stream.addBytes("id:7\r\ndata: x\r\n\r\n") ==
        "id:7\r\ndata: x\r\n\r\n");
  CHECK(Stream.lastEventId() == 7);
  CHECK(Stream.addBytes("data: y\n\n") == "data: y\n\n");
}

// Guards against a stream whose event never ends that is buffered without a
// limit that the reader of the stream can check.
TEST_CASE("event stream: the bytes of an endless event are counted") {
  EventStream Stream;
  for (std::size_t I = 1; I <= 100; ++I) {
    CHECK(Stream.addBytes(std::string(4096, 'x')).empty());
    CHECK(Stream.pendingBytes() == 4096 * I);
  }
  Stream.discardPartialEvent();
  CHECK(Stream.pendingBytes() == 0);
}

// Pattern: a server in trouble sends short events without end. Guards against
// a search through all bytes that are left for each event, which keeps the
// event loop from other requests.
TEST_CASE("event stream: the time to split events grows with their bytes") {
  const std::string Bytes(1024 * 1024, '\n');
  EventStream Stream;
  SteadyTime StartedAt = SteadyClock::now();
  CHECK(Stream.addBytes(Bytes) == Bytes);
  CHECK(SteadyClock::now() - StartedAt < Seconds{1});
}

// Guards against an event that is split differently when its bytes arrive in
// other parts, with either kind of line end.
TEST_CASE("event stream: the division of the bytes makes no difference") {
  const std::string Bytes = "\n\n\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n"
                            "\r\n\r\n\n\ndata: c\r\n\n\nda";
  const std::string IncompleteEvent = "\nda";
  const std::string WholeEvents =
      Bytes.substr(0, Bytes.size() - IncompleteEvent.size());
  for (std::size_t Cut1 = 0; Cut1 < Bytes.size(); ++Cut1)
    for (std::size_t Cut2 = Cut1; Cut2 < Bytes.size(); ++Cut2) {
      CAPTURE(Cut1, Cut2);
      EventStream Stream;
      std::string ReturnedEvents = Stream.addBytes(Bytes.substr(0, Cut1));
      ReturnedEvents += Stream.addBytes(Bytes.substr(Cut1, Cut2 - Cut1));
      ReturnedEvents += Stream.addBytes(Bytes.substr(Cut2));
      REQUIRE(ReturnedEvents == WholeEvents);
      REQUIRE(Stream.pendingBytes() == IncompleteEvent.size());
      REQUIRE(Stream.lastEventId() == 2);
    }
}
