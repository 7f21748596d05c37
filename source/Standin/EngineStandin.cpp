#include "Standin/EngineStandin.h"

#include "Standin/DeterministicText.h"
#include "Support/Digest.h"

#include <unistd.h>

namespace amaranth::standin {

using Json = nlohmann::json;
using transport::ChunkSink;
using transport::HttpReply;

namespace {

/// Exit code of a crash that a marked prompt causes.
constexpr int CrashExitCode = 86;
constexpr int MaxTokensLimit = 1000000;
/// Delay of a late token that the next ones make up for. More would turn a
/// pause of the process into a burst of tokens.
constexpr Milliseconds MaxCatchUp{50};

/// The prompt of a completion, or of a chat its last message.
std::string promptOf(const Json &Body, bool Chat) {
  if (!Chat)
    return Body.at("prompt").get<std::string>();
  const Json &Messages = Body.at("messages");
  return Messages.at(Messages.size() - 1).at("content").get<std::string>();
}

Completion readCompletion(const Json &Body, bool Chat) {
  Completion Request;
  Request.Prompt_ = promptOf(Body, Chat);
  Request.MaxTokens_ = Body.value("max_tokens", Request.MaxTokens_);
  Request.ResumeFrom_ = Body.value("resume_from", 0);
  Request.Priority_ = Body.value("priority", 0);
  Request.Stream_ = Body.value("stream", false);
  Request.Chat_ = Chat;
  return Request;
}

std::string faultIn(const Completion &Request) {
  if (Request.MaxTokens_ < 0 || Request.MaxTokens_ > MaxTokensLimit)
    return "max_tokens is out of range";
  if (Request.ResumeFrom_ < 0 || Request.ResumeFrom_ > Request.MaxTokens_)
    return "resume_from is out of range";
  return "";
}

std::string serverEvent(const Json &Data) {
  return "data: " + Data.dump() + "\n\n";
}

Json tokenEvent(const Completion &Request, int Index, const std::string &Text) {
  Json Choice = {{"text", Text}};
  if (Request.Chat_)
    Choice["delta"] = {{"content", Text}};
  return {{"index", Index}, {"choices", Json::array({Choice})}};
}

Json endEvent(const Completion &Request, const std::string &FullText) {
  return {{"choices", Json::array({{{"finish_reason", "stop"}}})},
          {"count", Request.MaxTokens_},
          {"digest", sha256Hex(FullText)}};
}

} // namespace

EngineStandin::EngineStandin(const EngineSettings &Settings)
    : Settings_(Settings), Server_(Settings.Server_), Faults_(Server_),
      Slots_(Settings.Slots_, Server_.interruption()),
      Cache_(Settings.CacheTokens_),
      Orders_(Settings.ChecksFencing_, Settings.Model_, Settings.Role_),
      Load_(Settings.LoadLag_, sample()) {
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
  Server_.route("POST", "/v1/completions", "completions",
                [this](StandinCall &Call) { return complete(Call, false); });
  Server_.route("POST", "/v1/chat/completions", "chat",
                [this](StandinCall &Call) { return complete(Call, true); });
  Server_.route("GET", "/v1/load", "load", [this](StandinCall &) {
    Load_.record(sample());
    return jsonReply(200, Load_.report());
  });
  Server_.route("POST", "/v1/admin/orders", "orders",
                [this](StandinCall &Call) {
                  if (!Orders_.apply(Call.Body_))
                    return errorReply(409, "stale fencing number");
                  return jsonReply(200, Orders_.state());
                });
  Server_.route("GET", "/v1/admin/state", "state", [this](StandinCall &) {
    return jsonReply(200, Orders_.state());
  });
  Server_.route("GET", "/standin/orders", "", [this](StandinCall &) {
    return jsonReply(200, {{"orders", Orders_.record()}});
  });
  Server_.route("GET", "/standin/state", "", [this](StandinCall &) {
    return jsonReply(200, {{"running", Slots_.running()},
                           {"queued", Slots_.queued()},
                           {"cancelled", Cancelled_.load()}});
  });
}

HttpReply EngineStandin::complete(StandinCall &Call, bool Chat) {
  HttpReply Reply;
  if (Faults_.intercept(Call, Reply))
    return Reply;
  Completion Request = readCompletion(Call.Body_, Chat);
  std::string Fault = faultIn(Request);
  if (!Fault.empty())
    return errorReply(400, Fault);
  if (!Request.Stream_)
    return reply(Request, Call.Connection_);
  Reply.ContentType_ = "text/event-stream";
  Reply.StreamBody_ = [this, Request, Client = Call.Connection_](
                          ChunkSink &Sink) { stream(Request, Client, Sink); };
  return Reply;
}

HttpReply EngineStandin::reply(const Completion &Request, Connection Client) {
  std::string Text;
  Ending End = generate(Request, Client, [&](int, const std::string &Token) {
    Text += Token;
    return true;
  });
  if (End == Ending::Cancelled) {
    Client.cut();
    return errorReply(503, "cancelled");
  }
  Json Choice = {{"index", 0}, {"text", Text}, {"finish_reason", "stop"}};
  if (Request.Chat_)
    Choice["message"] = {{"role", "assistant"}, {"content", Text}};
  DeterministicText Full(Request.Prompt_);
  return jsonReply(200, {{"choices", Json::array({Choice})},
                         {"count", Request.MaxTokens_},
                         {"digest", sha256Hex(Full.text(Request.MaxTokens_))}});
}

void EngineStandin::stream(const Completion &Request, Connection Client,
                           ChunkSink &Sink) {
  Ending End =
      generate(Request, Client, [&](int Index, const std::string &Text) {
        return Sink.write(serverEvent(tokenEvent(Request, Index, Text)));
      });
  if (End == Ending::Cancelled) {
    // Ending the body in the regular way would present the part as a whole.
    Client.cut();
    return;
  }
  DeterministicText Full(Request.Prompt_);
  Sink.write(serverEvent(endEvent(Request, Full.text(Request.MaxTokens_))));
  Sink.write("data: [DONE]\n\n");
}

EngineStandin::Ending EngineStandin::generate(const Completion &Request,
                                              Connection &Client,
                                              const TokenSink &Send) {
  int Tokens = Request.MaxTokens_ - Request.ResumeFrom_;
  changeWork(Tokens);
  if (!Slots_.acquire(Request.Priority_, [&] { return Client.closed(); })) {
    changeWork(-Tokens);
    ++Cancelled_;
    return Ending::Cancelled;
  }
  SlotGuard Slot(Slots_);
  const std::string &Marker = Settings_.CrashMarker_;
  if (!Marker.empty() && Request.Prompt_.find(Marker) != std::string::npos)
    _exit(CrashExitCode);
  int Sent = 0;
  bool Complete = prefill(Request, Client) &&
                  produce(Request, Client, [&](int I, const std::string &Text) {
                    ++Sent;
                    changeWork(-1);
                    return Send(I, Text);
                  });
  changeWork(Sent - Tokens);
  if (!Complete)
    ++Cancelled_;
  return Complete ? Ending::Complete : Ending::Cancelled;
}

bool EngineStandin::prefill(const Completion &Request, Connection &Client) {
  int Tokens = promptTokens(Request.Prompt_) - Cache_.admit(Request.Prompt_);
  Tokens += Request.ResumeFrom_;
  SteadyTime End =
      SteadyClock::now() + slowed(Tokens * Settings_.PrefillTokenTime_);
  return Server_.interruption().sleepUntil(End) && !Client.closed();
}

bool EngineStandin::produce(const Completion &Request, Connection &Client,
                            const TokenSink &Send) {
  DeterministicText Text(Request.Prompt_);
  SteadyTime Next = SteadyClock::now();
  for (int I = Request.ResumeFrom_; I < Request.MaxTokens_; ++I) {
    if (!applyStreamFaults(I - Request.ResumeFrom_, Client))
      return false;
    Next = std::max(Next, SteadyClock::now() - MaxCatchUp) +
           slowed(Settings_.TokenTime_);
    if (!Server_.interruption().sleepUntil(Next) || Client.closed())
      return false;
    if (!Send(I, Text.token(I)))
      return false;
  }
  return applyStreamFaults(Request.MaxTokens_ - Request.ResumeFrom_, Client);
}

/// False if a fault ends the stream after \p Sent tokens.
bool EngineStandin::applyStreamFaults(int Sent, Connection &Client) {
  if (CutAfterTokens_ >= 0 && Sent >= CutAfterTokens_)
    return false;
  if (SilentAfterTokens_ < 0 || Sent < SilentAfterTokens_)
    return true;
  Faults_.staySilent(Client);
  return false;
}

Microseconds EngineStandin::slowed(Microseconds Time) const {
  return std::chrono::duration_cast<Microseconds>(Time * Faults_.slowFactor());
}

void EngineStandin::changeWork(std::int64_t Tokens) {
  Work_ += Tokens;
  Load_.record(sample());
}

LoadSample EngineStandin::sample() const {
  LoadSample Sample;
  Sample.QueuedTokens_ = Work_;
  Sample.Running_ = Slots_.running();
  std::chrono::duration<double> TokenTime = slowed(Settings_.TokenTime_);
  Sample.TokensPerSecond_ =
      TokenTime.count() > 0 ? Settings_.Slots_ / TokenTime.count() : 1e9;
  Sample.Leaving_ = Faults_.leaving();
  return Sample;
}

} // namespace amaranth::standin
