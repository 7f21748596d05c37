#include "Integration/CompletionStream.h"

namespace amaranth::integration {

namespace {

constexpr Seconds CallLimit{60};
constexpr std::string_view DataPrefix = "data: ";

} // namespace

CompletionStream::CompletionStream(std::string Address, nlohmann::json Body)
    : Address_(std::move(Address)), Body_(std::move(Body)) {
  Body_["stream"] = true;
}

void CompletionStream::run() {
  transport::HttpClient Client({});
  transport::HttpCall Call;
  Call.Address_ = Address_;
  Call.Path_ = "/v1/completions";
  Call.Body_ = Body_.dump();
  Call.Deadline_ = SteadyClock::now() + CallLimit;
  Call.ProgressTimeout_ = ProgressTimeout_;
  Call.Cancel_ = Cancel_;
  Call.OnChunk_ = [this](std::string_view Chunk) {
    feed(Chunk);
    return true;
  };
  Outcome_ = Client.call(Call);
}

void CompletionStream::feed(std::string_view Chunk) {
  Unread_.append(Chunk);
  std::size_t End = 0;
  while ((End = Unread_.find("\n\n")) != std::string::npos) {
    std::string Event = Unread_.substr(0, End);
    Unread_.erase(0, End + 2);
    if (Event.compare(0, DataPrefix.size(), DataPrefix) == 0)
      take(Event.substr(DataPrefix.size()));
  }
}

void CompletionStream::take(const std::string &Data) {
  if (Data == "[DONE]") {
    Done_ = true;
    return;
  }
  auto Event = nlohmann::json::parse(Data);
  if (Event.contains("digest")) {
    Count_ = Event["count"].get<int>();
    Digest_ = Event["digest"].get<std::string>();
    return;
  }
  int Index = Event.at("index").get<int>();
  if (!FirstIndex_)
    FirstIndex_ = Index;
  ++Tokens_;
  Text_ += Event["choices"][0]["text"].get<std::string>();
  if (OnToken_)
    OnToken_(Index);
}

} // namespace amaranth::integration
