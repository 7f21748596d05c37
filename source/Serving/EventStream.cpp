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

/// Length of the first event including its blank line, or 0 if the event is
/// incomplete.
std::size_t eventLength(std::string_view Bytes) {
  std::size_t LfEnd = Bytes.find("\n\n");
  std::size_t CrLfEnd = Bytes.find("\r\n\r\n");
  std::size_t AfterLf = LfEnd == Bytes.npos ? Bytes.npos : LfEnd + 2;
  std::size_t AfterCrLf = CrLfEnd == Bytes.npos ? Bytes.npos : CrLfEnd + 4;
  std::size_t End = std::min(AfterLf, AfterCrLf);
  return End == Bytes.npos ? 0 : End;
}

} // namespace

std::string EventStream::addBytes(const std::string &Bytes) {
  Pending_ += Bytes;
  std::string NewEvents;
  std::size_t Consumed = 0;
  for (;;) {
    std::string_view Unread = std::string_view(Pending_).substr(Consumed);
    std::size_t Length = eventLength(Unread);
    if (Length == 0)
      break;
    std::string_view Event = Unread.substr(0, Length);
    Consumed += Length;
    std::optional<std::uint64_t> Id = eventId(Event);
    if (Id && LastReturnedId_ && *Id <= *LastReturnedId_)
      continue;
    if (Id)
      LastReturnedId_ = Id;
    NewEvents.append(Event);
  }
  Pending_.erase(0, Consumed);
  HasReturnedEvents_ = HasReturnedEvents_ || !NewEvents.empty();
  return NewEvents;
}

} // namespace amaranth::serving
