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

/// Length of the first event with its end, or 0 if it has not ended.
std::size_t eventLength(std::string_view Bytes) {
  std::size_t Plain = Bytes.find("\n\n");
  std::size_t Returned = Bytes.find("\r\n\r\n");
  std::size_t PlainEnd = Plain == Bytes.npos ? Bytes.npos : Plain + 2;
  std::size_t ReturnedEnd = Returned == Bytes.npos ? Bytes.npos : Returned + 4;
  std::size_t End = std::min(PlainEnd, ReturnedEnd);
  return End == Bytes.npos ? 0 : End;
}

} // namespace

std::string EventStream::add(const std::string &Bytes) {
  Pending_ += Bytes;
  std::string Out;
  std::size_t Used = 0;
  for (;;) {
    std::string_view Rest = std::string_view(Pending_).substr(Used);
    std::size_t Length = eventLength(Rest);
    if (Length == 0)
      break;
    std::string_view Event = Rest.substr(0, Length);
    Used += Length;
    std::optional<std::uint64_t> Id = eventId(Event);
    if (Id && LastId_ && *Id <= *LastId_)
      continue;
    if (Id)
      LastId_ = Id;
    Out.append(Event);
  }
  Pending_.erase(0, Used);
  Started_ = Started_ || !Out.empty();
  return Out;
}

} // namespace amaranth::serving
