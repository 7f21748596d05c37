#include "Serving/EventStream.h"

#include <catch2/catch.hpp>

using amaranth::serving::EventStream;

// Guards against passing on an event that a target broke off.
TEST_CASE("event stream: only whole events are passed on") {
  EventStream Stream;
  CHECK(Stream.add("id: 1\ndata: a\n").empty());
  CHECK_FALSE(Stream.started());
  CHECK(Stream.add("\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(Stream.hasPartialEvent());
  CHECK(Stream.lastId() == 1);
  CHECK(Stream.add("ta: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK_FALSE(Stream.hasPartialEvent());
}

// Guards against an event that comes twice or is joined from two runs when
// another target continues a stream.
TEST_CASE("event stream: a continued stream leaves out what was passed on") {
  EventStream Stream;
  Stream.add("id: 1\ndata: a\n\nid: 2\nda");
  Stream.dropPartialEvent();
  CHECK(Stream.add("id: 1\ndata: a\n\nid: 2\ndata: b\n\n") ==
        "id: 2\ndata: b\n\n");
  CHECK(Stream.lastId() == 2);
}

// Guards against events with other line ends, or without a number, being lost.
TEST_CASE("event stream: events without a number and with CR LF") {
  EventStream Stream;
  CHECK(Stream.add(": comment\n\n") == ": comment\n\n");
  CHECK(Stream.add("id:7\r\ndata: x\r\n\r\n") == "id:7\r\ndata: x\r\n\r\n");
  CHECK(Stream.lastId() == 7);
  CHECK(Stream.add("data: y\n\n") == "data: y\n\n");
}
