#include "Protocol/SseParser.h"

#include <utility>

namespace amaranth::protocol {

SseParser::SseParser(std::size_t MaxLineBytes) : MaxLineBytes_(MaxLineBytes) {}

SseParser::Status SseParser::feed(std::string_view Chunk,
                                  const Handler &Handle) {
  while (!Chunk.empty()) {
    std::size_t End = Chunk.find('\n');
    std::string_view Part = Chunk.substr(0, End);
    if (Line_.size() + Part.size() > MaxLineBytes_)
      return Status::TooLong;
    Line_.append(Part);
    if (End == std::string_view::npos)
      return Status::Continue;
    Chunk.remove_prefix(End + 1);
    if (Line_.ends_with('\r'))
      Line_.pop_back();
    Status LineStatus = parseLine(Line_, Handle);
    Line_.clear();
    if (LineStatus != Status::Continue)
      return LineStatus;
  }
  return Status::Continue;
}

SseParser::Status SseParser::parseLine(std::string_view Line,
                                       const Handler &Handle) {
  if (Line.empty()) {
    SseEvent Complete = std::exchange(Pending_, {});
    if (!std::exchange(HasData_, false))
      return Status::Continue;
    return Handle(Complete) ? Status::Continue : Status::Stopped;
  }
  std::size_t Colon = Line.find(':');
  std::string_view Field = Line.substr(0, Colon);
  std::string_view Value;
  if (Colon != std::string_view::npos)
    Value = Line.substr(Colon + 1);
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  if (Field == "event")
    Pending_.Event_ = Value;
  if (Field != "data")
    return Status::Continue;
  if (Pending_.Data_.size() + Value.size() > MaxLineBytes_)
    return Status::TooLong;
  if (HasData_)
    Pending_.Data_.push_back('\n');
  Pending_.Data_.append(Value);
  HasData_ = true;
  return Status::Continue;
}

} // namespace amaranth::protocol
