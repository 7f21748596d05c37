#include "Integration/PromptCaller.h"

#include "Protocol/SseParser.h"
#include "Standin/DeterministicText.h"
#include "Support/Digest.h"
#include "Transport/HttpClient.h"

#include <nlohmann/json.hpp>

namespace amaranth::integration {

using Json = nlohmann::json;

namespace {

Json parse(const std::string &Text) {
  return Json::parse(Text, nullptr, false);
}

void takeProblem(const Json &Problem, PromptAnswer &Answer) {
  if (!Problem.is_object())
    return;
  Answer.Outcome_ = Problem.value("outcome", "");
  Answer.Detail_ = Problem.value("detail", "");
}

void takeEvent(const protocol::SseEvent &Event, const Prompt &Asked,
               PromptAnswer &Answer) {
  Json Data = parse(Event.Data_);
  if (Event.Event_ == "token") {
    Answer.Text_ += Data.value("text", "");
    if (Asked.OnToken_)
      Asked.OnToken_(Data.value("index", -1));
  } else if (Event.Event_ == "end") {
    Answer.Complete_ = true;
    Answer.Count_ = Data.value("count", -1);
    Answer.Digest_ = Data.value("digest", "");
  } else if (Event.Event_ == "error") {
    takeProblem(Data, Answer);
  }
}

void takeReply(const std::string &Text, PromptAnswer &Answer) {
  Json Body = parse(Text);
  if (Answer.Status_ != 200) {
    takeProblem(Body, Answer);
    return;
  }
  Answer.Text_ = Body.value("output", "");
  Answer.Count_ = Body.value("tokens", -1);
  Answer.Digest_ = sha256Hex(Answer.Text_);
  Answer.Attempts_ = Body["stages"][0].value("attempts", 0);
  Answer.Complete_ = true;
}

} // namespace

bool PromptAnswer::isAnswerTo(const Prompt &Asked) const {
  std::string Expected =
      standin::DeterministicText(Asked.Text_).text(Asked.MaxTokens_);
  return Complete_ && Text_ == Expected && Count_ == Asked.MaxTokens_ &&
         Digest_ == sha256Hex(Expected);
}

PromptAnswer askPrompt(const std::string &Host, const Prompt &Asked) {
  transport::HttpClient Client({});
  transport::HttpCall Call;
  Call.Address_ = Host;
  Call.Path_ = "/v1/services/answers/requests";
  Call.Headers_.add("Authorization", "Bearer alpha-key");
  Call.Headers_.add("Request-Timeout-Ms",
                    std::to_string(Asked.Timeout_.count()));
  Call.Body_ = Json{{"input", Asked.Text_},
                    {"max_tokens", Asked.MaxTokens_},
                    {"stream", Asked.Stream_}}
                   .dump();
  Call.Deadline_ = SteadyClock::now() + Asked.Timeout_ + Seconds{2};
  Call.ProgressTimeout_ = Asked.Timeout_ + Seconds{2};
  PromptAnswer Answer;
  protocol::SseParser Parser;
  if (Asked.Stream_)
    Call.OnChunk_ = [&](std::string_view Chunk) {
      Parser.feed(Chunk, [&](const protocol::SseEvent &Event) {
        takeEvent(Event, Asked, Answer);
        return true;
      });
      return true;
    };
  auto Outcome = Client.call(Call);
  if (!Outcome.Ok_)
    return Answer;
  Answer.Status_ = Outcome.Reply_.Status_;
  if (!Asked.Stream_ || Answer.Status_ != 200)
    takeReply(Outcome.Reply_.Body_, Answer);
  return Answer;
}

} // namespace amaranth::integration
