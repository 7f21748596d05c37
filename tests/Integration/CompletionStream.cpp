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
    parseEvents(Chunk);
    return true;
  };
  Outcome_ = Client.call(Call);
}

void CompletionStream::parseEvents(std::string_view Chunk) {
  UnparsedBytes_.append(Chunk);
  std::size_t End = 0;
  while ((End = UnparsedBytes_.find("\n\n")) != std::string::npos) {
    std::string Event = UnparsedBytes_.substr(0, End);
    UnparsedBytes_.erase(0, End + 2);
    if (Event.compare(0, DataPrefix.size(), DataPrefix) == 0)
      handleEvent(Event.substr(DataPrefix.size()));
  }
}

void CompletionStream::handleEvent(const std::string &Data) {
  if (Data == "[DONE]") {
    Done_ = true;
    return;
  }
  auto Event = nlohmann::json::parse(Data);
  if (Event.contains("digest")) {
    ReportedTokens_ = Event["count"].get<int>();
    Digest_ = Event["digest"].get<std::string>();
    return;
  }
  int Index = Event.at("index").get<int>();
  if (!FirstIndex_)
    FirstIndex_ = Index;
  ++ReceivedTokens_;
  Text_ += Event["choices"][0]["text"].get<std::string>();
  if (OnToken_)
    OnToken_(Index);
}

} // namespace amaranth::integration
