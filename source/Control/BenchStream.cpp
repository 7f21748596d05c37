#include "Control/BenchStream.h"

#include "Support/Digest.h"

#include <nlohmann/json.hpp>

namespace amaranth::control {

using Json = nlohmann::json;

void BenchStream::append(std::string_view Chunk) {
  PartialLine_.append(Chunk);
  std::size_t Start = 0;
  for (std::size_t End = PartialLine_.find('\n'); End != std::string::npos;
       End = PartialLine_.find('\n', Start)) {
    parseLine(std::string_view(PartialLine_).substr(Start, End - Start));
    Start = End + 1;
  }
  PartialLine_.erase(0, Start);
}

void BenchStream::parseLine(std::string_view Line) {
  constexpr std::string_view EventField = "event: ";
  constexpr std::string_view DataField = "data: ";
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  if (Line.empty())
    handleEvent();
  else if (Line.starts_with(EventField))
    EventName_ = Line.substr(EventField.size());
  else if (Line.starts_with(DataField))
    EventData_ = Line.substr(DataField.size());
}

void BenchStream::handleEvent() {
  if (!EventName_.empty() && (Ended_ || !Problem_.empty()))
    recordFault("an event after the end of the stream");
  if (EventName_ == "token")
    handleToken();
  else if (EventName_ == "end")
    handleEnd();
  else if (EventName_ == "error")
    Problem_ = EventData_;
  EventName_.clear();
  EventData_.clear();
}

void BenchStream::handleToken() {
  Json Token = Json::parse(EventData_, nullptr, false);
  if (!Token.is_object() || !Token.contains("text") ||
      !Token["text"].is_string() || Token.value("index", Json()) != Tokens_) {
    recordFault("a token event out of order or malformed");
    return;
  }
  Text_ += Token["text"].get<std::string>();
  ++Tokens_;
}

void BenchStream::handleEnd() {
  Json End = Json::parse(EventData_, nullptr, false);
  Ended_ = true;
  if (!End.is_object())
    recordFault("a malformed end event");
  else if (End.value("count", Json()) != Tokens_)
    recordFault("the count of the end event differs from the tokens received");
  else if (End.value("digest", Json()) != sha256Hex(Text_))
    recordFault("the digest of the end event differs from that of the text");
}

void BenchStream::recordFault(std::string Text) {
  if (Fault_.empty())
    Fault_ = std::move(Text);
}

} // namespace amaranth::control
