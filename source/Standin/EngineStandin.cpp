#include "Standin/EngineStandin.h"

#include "Standin/DeterministicText.h"
#include "Support/Digest.h"

#include <unistd.h>

namespace amaranth::standin {

using Json = nlohmann::json;
using transport::ChunkSink;
using transport::HttpReply;

namespace {

/// Exit code when a prompt contains the crash marker.
constexpr int CrashExitCode = 86;
constexpr int MaxTokensLimit = 1000000;
/// Longest delay of a token that the following tokens catch up on. A larger
/// value would turn a pause of the process into a burst of tokens.
constexpr Milliseconds MaxCatchUp{50};

/// The prompt of a completion, or the last message of a chat.
std::string readPrompt(const Json &Body, bool IsChat) {
  if (!IsChat)
    return Body.at("prompt").get<std::string>();
  const Json &Messages = Body.at("messages");
  return Messages.at(Messages.size() - 1).at("content").get<std::string>();
}

CompletionRequest readCompletion(const Json &Body, bool IsChat) {
  CompletionRequest Request;
  Request.Prompt_ = readPrompt(Body, IsChat);
  Request.MaxTokens_ = Body.value("max_tokens", Request.MaxTokens_);
  Request.ResumeFrom_ = Body.value("resume_from", 0);
  Request.Priority_ = Body.value("priority", 0);
  Request.IsStreamed_ = Body.value("stream", false);
  Request.IsChat_ = IsChat;
  return Request;
}

std::string validationError(const CompletionRequest &Request) {
  if (Request.MaxTokens_ < 0 || Request.MaxTokens_ > MaxTokensLimit)
    return "max_tokens is out of range";
  if (Request.ResumeFrom_ < 0 || Request.ResumeFrom_ > Request.MaxTokens_)
    return "resume_from is out of range";
  return "";
}

std::string serverSentEvent(const Json &Data) {
  return "data: " + Data.dump() + "\n\n";
}

Json tokenEvent(const CompletionRequest &Request, int Index,
                const std::string &Text) {
  Json Choice = {{"text", Text}};
  if (Request.IsChat_)
    Choice["delta"] = {{"content", Text}};
  return {{"index", Index}, {"choices", Json::array({Choice})}};
}

Json endEvent(const CompletionRequest &Request, const std::string &FullText) {
  return {{"choices", Json::array({{{"finish_reason", "stop"}}})},
          {"count", Request.MaxTokens_},
          {"digest", sha256Hex(FullText)}};
}

} // namespace

EngineStandin::EngineStandin(const EngineSettings &Settings)
    : Settings_(Settings), Server_(Settings.Server_), Faults_(Server_),
      Slots_(Settings.Slots_, Server_.stopSignal()),
      PrefixCache_(Settings.CacheTokens_),
      OrderLog_(Settings.ChecksFencing_, Settings.Model_, Settings.Role_),
      LoadHistory_(Settings.LoadLag_, currentLoad()) {
  Server_.switches().add("cut_after_tokens", CutAfterTokens_);
  Server_.switches().add("silent_after_tokens", SilentAfterTokens_);
  addRoutes();
}

EngineStandin::~EngineStandin() { stop(); }

Result<void> EngineStandin::start() { return Server_.start(); }

std::vector<Announcement> EngineStandin::announcements() const {
  return {{"engine", Server_.port()}};
}

void EngineStandin::stop() { Server_.stop(); }

void EngineStandin::addRoutes() {
  Server_.addRoute(
      "POST", "/v1/completions", "completions",
      [this](StandinCall &Call) { return handleCompletion(Call, false); });
  Server_.addRoute(
      "POST", "/v1/chat/completions", "chat",
      [this](StandinCall &Call) { return handleCompletion(Call, true); });
  Server_.addRoute("GET", "/v1/load", "load", [this](StandinCall &) {
    LoadHistory_.record(currentLoad());
    return jsonReply(200, LoadHistory_.report());
  });
  Server_.addRoute("POST", "/v1/admin/orders", "orders",
                   [this](StandinCall &Call) {
                     if (!OrderLog_.apply(Call.Body_))
                       return errorReply(409, "stale fencing number");
                     return jsonReply(200, OrderLog_.state());
                   });
  Server_.addRoute("GET", "/v1/admin/state", "state", [this](StandinCall &) {
    return jsonReply(200, OrderLog_.state());
  });
  Server_.addRoute("GET", "/standin/orders", "", [this](StandinCall &) {
    return jsonReply(200, {{"orders", OrderLog_.allOrders()}});
  });
  Server_.addRoute("GET", "/standin/state", "", [this](StandinCall &) {
    return jsonReply(200, {{"running", Slots_.running()},
                           {"queued", Slots_.queued()},
                           {"cancelled", CancelledCount_.load()}});
  });
}

HttpReply EngineStandin::handleCompletion(StandinCall &Call, bool IsChat) {
  HttpReply Reply;
  if (Faults_.intercept(Call, Reply))
    return Reply;
  CompletionRequest Request = readCompletion(Call.Body_, IsChat);
  std::string ErrorText = validationError(Request);
  if (!ErrorText.empty())
    return errorReply(400, ErrorText);
  if (!Request.IsStreamed_)
    return completeUnstreamed(Request, Call.Connection_);
  Reply.ContentType_ = "text/event-stream";
  Reply.StreamBody_ = [this, Request,
                       Client = Call.Connection_](ChunkSink &Sink) {
    completeStreamed(Request, Client, Sink);
  };
  return Reply;
}

HttpReply EngineStandin::completeUnstreamed(const CompletionRequest &Request,
                                            Connection Client) {
  std::string Text;
  GenerationResult Status =
      generate(Request, Client, [&](int, const std::string &Token) {
        Text += Token;
        return true;
      });
  if (Status == GenerationResult::Cancelled) {
    Client.cut();
    return errorReply(503, "cancelled");
  }
  Json Choice = {{"index", 0}, {"text", Text}, {"finish_reason", "stop"}};
  if (Request.IsChat_)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  DeterministicText ExpectedText(Request.Prompt_);
  return jsonReply(
      200, {{"choices", Json::array({Choice})},
            {"count", Request.MaxTokens_},
            {"digest", sha256Hex(ExpectedText.text(Request.MaxTokens_))}});
}

void EngineStandin::completeStreamed(const CompletionRequest &Request,
                                     Connection Client, ChunkSink &Sink) {
  GenerationResult Status =
      generate(Request, Client, [&](int Index, const std::string &Text) {
        return Sink.write(serverSentEvent(tokenEvent(Request, Index, Text)));
      });
  if (Status == GenerationResult::Cancelled) {
    // A regular end of the body would present the partial output as complete.
    Client.cut();
    return;
  }
  DeterministicText ExpectedText(Request.Prompt_);
  Sink.write(serverSentEvent(
      endEvent(Request, ExpectedText.text(Request.MaxTokens_))));
  Sink.write("data: [DONE]\n\n");
}

EngineStandin::GenerationResult
EngineStandin::generate(const CompletionRequest &Request, Connection &Client,
                        const TokenSink &SendToken) {
  int Tokens = Request.MaxTokens_ - Request.ResumeFrom_;
  addPendingTokens(Tokens);
  if (!Slots_.acquire(Request.Priority_,
                      [&] { return Client.closedByClient(); })) {
    addPendingTokens(-Tokens);
    ++CancelledCount_;
    return GenerationResult::Cancelled;
  }
  SlotGuard Slot(Slots_);
  const std::string &Marker = Settings_.CrashMarker_;
  if (!Marker.empty() && Request.Prompt_.find(Marker) != std::string::npos)
    _exit(CrashExitCode);
  int SentTokens = 0;
  bool Complete = prefill(Request, Client) &&
                  decode(Request, Client, [&](int I, const std::string &Text) {
                    ++SentTokens;
                    addPendingTokens(-1);
                    return SendToken(I, Text);
                  });
  addPendingTokens(SentTokens - Tokens);
  if (!Complete)
    ++CancelledCount_;
  return Complete ? GenerationResult::Complete : GenerationResult::Cancelled;
}

bool EngineStandin::prefill(const CompletionRequest &Request,
                            Connection &Client) {
  int Tokens = promptTokens(Request.Prompt_) -
               PrefixCache_.lookUpAndInsert(Request.Prompt_);
  Tokens += Request.ResumeFrom_;
  SteadyTime PrefillEnd = SteadyClock::now() +
                          applySlowFactor(Tokens * Settings_.PrefillTokenTime_);
  return Server_.stopSignal().sleepUntil(PrefillEnd) &&
         !Client.closedByClient();
}

bool EngineStandin::decode(const CompletionRequest &Request, Connection &Client,
                           const TokenSink &SendToken) {
  DeterministicText Text(Request.Prompt_);
  SteadyTime NextTokenTime = SteadyClock::now();
  for (int I = Request.ResumeFrom_; I < Request.MaxTokens_; ++I) {
    if (!applyStreamFaults(I - Request.ResumeFrom_, Client))
      return false;
    NextTokenTime = std::max(NextTokenTime, SteadyClock::now() - MaxCatchUp) +
                    applySlowFactor(Settings_.TokenTime_);
    if (!Server_.stopSignal().sleepUntil(NextTokenTime) ||
        Client.closedByClient())
      return false;
    if (!SendToken(I, Text.token(I)))
      return false;
  }
  return applyStreamFaults(Request.MaxTokens_ - Request.ResumeFrom_, Client);
}

/// Applies the fault switches of streams; false if one of them ends the stream
/// after \p SentTokens tokens.
bool EngineStandin::applyStreamFaults(int SentTokens, Connection &Client) {
  if (CutAfterTokens_ >= 0 && SentTokens >= CutAfterTokens_)
    return false;
  if (SilentAfterTokens_ < 0 || SentTokens < SilentAfterTokens_)
    return true;
  Faults_.withholdReply(Client);
  return false;
}

Microseconds EngineStandin::applySlowFactor(Microseconds Time) const {
  return std::chrono::duration_cast<Microseconds>(Time * Faults_.slowFactor());
}

void EngineStandin::addPendingTokens(std::int64_t Tokens) {
  PendingTokens_ += Tokens;
  LoadHistory_.record(currentLoad());
}

LoadSample EngineStandin::currentLoad() const {
  LoadSample Sample;
  Sample.QueuedTokens_ = PendingTokens_;
  Sample.Running_ = Slots_.running();
  std::chrono::duration<double> TokenTime =
      applySlowFactor(Settings_.TokenTime_);
  Sample.TokensPerSecond_ =
      TokenTime.count() > 0 ? Settings_.Slots_ / TokenTime.count() : 1e9;
  Sample.Leaving_ = Faults_.leaving();
  return Sample;
}

} // namespace amaranth::standin
