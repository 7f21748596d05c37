#include "Integration/PromptCaller.h"

#include "Protocol/SseParser.h"
#include "Standin/DeterministicText.h"
#include "Support/Digest.h"
#include "Transport/HttpClient.h"

#include <nlohmann/json.hpp>

namespace amaranth::integration {

using Json = nlohmann::json;

namespace {

Json parseLeniently(const std::string &Text) {
  return Json::parse(Text, nullptr, false);
}

void readProblem(const Json &Problem, PromptAnswer &Answer) {
  if (!Problem.is_object())
    return;
  Answer.Outcome_ = Problem.value("outcome", "");
  Answer.Detail_ = Problem.value("detail", "");
}

void readEvent(const protocol::SseEvent &Event, const Prompt &Request,
               PromptAnswer &Answer) {
  Json Data = parseLeniently(Event.Data_);
  if (Event.Event_ == "token") {
    Answer.Text_ += Data.value("text", "");
    if (Request.OnToken_)
      Request.OnToken_(Data.value("index", -1));
  } else if (Event.Event_ == "end") {
    Answer.Complete_ = true;
    Answer.TokenCount_ = Data.value("count", -1);
    Answer.Digest_ = Data.value("digest", "");
  } else if (Event.Event_ == "error") {
    readProblem(Data, Answer);
  }
}

void readReply(const std::string &Text, PromptAnswer &Answer) {
  Json Body = parseLeniently(Text);
  if (Answer.Status_ != 200) {
    readProblem(Body, Answer);
    return;
  }
  Answer.Text_ = Body.value("output", "");
  Answer.TokenCount_ = Body.value("tokens", -1);
  Answer.Digest_ = sha256Hex(Answer.Text_);
  Answer.Attempts_ = Body["stages"][0].value("attempts", 0);
  Answer.Complete_ = true;
}

} // namespace

bool PromptAnswer::isAnswerTo(const Prompt &Request) const {
  std::string Expected =
      standin::DeterministicText(Request.Text_).text(Request.MaxTokens_);
  return Complete_ && Text_ == Expected && TokenCount_ == Request.MaxTokens_ &&
         Digest_ == sha256Hex(Expected);
}

PromptAnswer askPrompt(const std::string &Host, const Prompt &Request) {
  transport::HttpClient Client({});
  transport::HttpCall Call;
  Call.Address_ = Host;
  Call.Path_ = "/v1/services/answers/requests";
  Call.Headers_.add("Authorization", "Bearer alpha-key");
  Call.Headers_.add("Request-Timeout-Ms",
                    std::to_string(Request.Timeout_.count()));
  Call.Body_ = Json{{"input", Request.Text_},
                    {"max_tokens", Request.MaxTokens_},
                    {"stream", Request.Stream_}}
                   .dump();
  Call.Deadline_ = SteadyClock::now() + Request.Timeout_ + Seconds{2};
  Call.ProgressTimeout_ = Request.Timeout_ + Seconds{2};
  PromptAnswer Answer;
  protocol::SseParser Parser;
  if (Request.Stream_)
    Call.OnChunk_ = [&](std::string_view Chunk) {
      Parser.feed(Chunk, [&](const protocol::SseEvent &Event) {
        readEvent(Event, Request, Answer);
        return true;
      });
      return true;
    };
  auto Outcome = Client.call(Call);
  if (!Outcome.Ok_)
    return Answer;
  Answer.Status_ = Outcome.Reply_.Status_;
  if (!Request.Stream_ || Answer.Status_ != 200)
    readReply(Outcome.Reply_.Body_, Answer);
  return Answer;
}

} // namespace amaranth::integration
