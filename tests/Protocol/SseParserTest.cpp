#include "Protocol/SseParser.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace amaranth::protocol;

// Guards against events lost or joined when chunks end inside a line, and
// against carriage returns left in the data.
TEST_CASE("events are the same wherever the stream is split") {
  const std::string Stream = "event: token\r\ndata: a\r\ndata: b\r\n\r\n"
                             ": comment\n\ndata:c\n\n";
  for (std::size_t Cut = 0; Cut <= Stream.size(); ++Cut) {
    std::vector<SseEvent> Events;
    auto Collect = [&](const SseEvent &Event) {
      Events.push_back(Event);
      return true;
    };
    SseParser Parser;
    Parser.feed(std::string_view(Stream).substr(0, Cut), Collect);
    Parser.feed(std::string_view(Stream).substr(Cut), Collect);
    REQUIRE(Events.size() == 2);
    CHECK(Events[0].Event_ == "token");
    CHECK(Events[0].Data_ == "a\nb");
    CHECK(Events[1].Data_ == "c");
  }
}

// Guards against memory used up by a target that never ends a line or an event.
TEST_CASE("lines and events are bounded") {
  auto Ignore = [](const SseEvent &) { return true; };
  SseParser Line(16);
  CHECK(Line.feed("data: 0123456789abcdef", Ignore) ==
        SseParser::Status::TooLong);
  SseParser Event(16);
  auto Last = SseParser::Status::Continue;
  for (int I = 0; I < 4 && Last == SseParser::Status::Continue; ++I)
    Last = Event.feed("data: 01234567\n", Ignore);
  CHECK(Last == SseParser::Status::TooLong);
}
