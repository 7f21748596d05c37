#include "Serving/EventStream.h"

#include <charconv>
#include <string_view>

namespace amaranth::serving {

namespace {

/// The number of the event's "id:" line, if it has one.
std::optional<std::uint64_t> eventId(std::string_view Event) {
  while (!Event.empty()) {
    std::size_t End = std::min(Event.find('\n'), Event.size());
    std::string_view Line = Event.substr(0, End);
    Event.remove_prefix(std::min(End + 1, Event.size()));
    if (Line.substr(0, 3) != "id:")
      continue;
    Line.remove_prefix(3);
    while (!Line.empty() && Line.front() == ' ')
      Line.remove_prefix(1);
    std::uint64_t Id = 0;
    auto Parsed = std::from_chars(Line.data(), Line.data() + Line.size(), Id);
    if (Parsed.ec == std::errc())
      return Id;
  }
  return std::nullopt;
}

/// Whether \p Bytes, which end with a line feed, end with a blank line.
bool endsWithBlankLine(std::string_view Bytes) {
  auto EndsWith = [Bytes](std::string_view End) {
    return Bytes.size() >= End.size() &&
           Bytes.substr(Bytes.size() - End.size()) == End;
  };
  return EndsWith("\n\n") || EndsWith("\r\n\r\n");
}

} // namespace

std::string EventStream::addBytes(const std::string &Bytes) {
  std::size_t Unscanned = Pending_.size();
  Pending_ += Bytes;
  std::string NewEvents;
  std::string_view Unread = Pending_;
  for (;;) {
    std::size_t LineEnd = Unread.find('\n', Unscanned);
    if (LineEnd == Unread.npos)
      break;
    Unscanned = LineEnd + 1;
    std::string_view Event = Unread.substr(0, Unscanned);
    if (!endsWithBlankLine(Event))
      continue;
    Unread.remove_prefix(Event.size());
    Unscanned = 0;
    std::optional<std::uint64_t> Id = eventId(Event);
    if (Id && LastReturnedId_ && *Id <= *LastReturnedId_)
      continue;
    if (Id)
      LastReturnedId_ = Id;
    NewEvents.append(Event);
  }
  Pending_.erase(0, Pending_.size() - Unread.size());
  HasReturnedEvents_ = HasReturnedEvents_ || !NewEvents.empty();
  return NewEvents;
}

} // namespace amaranth::serving
