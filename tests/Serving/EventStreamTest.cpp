#include "Serving/EventStream.h"

#include <catch2/catch.hpp>

using amaranth::serving::EventStream;

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
