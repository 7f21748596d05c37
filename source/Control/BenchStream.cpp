#include "Control/BenchStream.h"

#include "Support/Digest.h"

#include <nlohmann/json.hpp>

namespace amaranth::control {

using Json = nlohmann::json;

void BenchStream::append(std::string_view Chunk) {
  Unread_.append(Chunk);
  std::size_t Start = 0;
  for (std::size_t End = Unread_.find('\n'); End != std::string::npos;
       End = Unread_.find('\n', Start)) {
    takeLine(std::string_view(Unread_).substr(Start, End - Start));
    Start = End + 1;
  }
  Unread_.erase(0, Start);
}

void BenchStream::takeLine(std::string_view Line) {
  constexpr std::string_view EventField = "event: ";
  constexpr std::string_view DataField = "data: ";
  if (Line.ends_with('\r'))
    Line.remove_suffix(1);
  if (Line.empty())
    finishEvent();
  else if (Line.starts_with(EventField))
    Event_ = Line.substr(EventField.size());
  else if (Line.starts_with(DataField))
    Data_ = Line.substr(DataField.size());
}

void BenchStream::finishEvent() {
  if (!Event_.empty() && (Ended_ || !Problem_.empty()))
    setFault("an event after the end of the stream");
  if (Event_ == "token")
    onToken();
  else if (Event_ == "end")
    onEnd();
  else if (Event_ == "error")
    Problem_ = Data_;
  Event_.clear();
  Data_.clear();
}

void BenchStream::onToken() {
  Json Token = Json::parse(Data_, nullptr, false);
  if (!Token.is_object() || !Token.contains("text") ||
      !Token["text"].is_string() || Token.value("index", Json()) != Tokens_) {
    setFault("a token event out of order or malformed");
    return;
  }
  Text_ += Token["text"].get<std::string>();
  ++Tokens_;
}

void BenchStream::onEnd() {
  Json End = Json::parse(Data_, nullptr, false);
  Ended_ = true;
  if (!End.is_object())
    setFault("a malformed end event");
  else if (End.value("count", Json()) != Tokens_)
    setFault("the count of the end event differs from the tokens received");
  else if (End.value("digest", Json()) != sha256Hex(Text_))
    setFault("the digest of the end event differs from that of the text");
}

void BenchStream::setFault(std::string Text) {
  if (Fault_.empty())
    Fault_ = std::move(Text);
}

} // namespace amaranth::control
