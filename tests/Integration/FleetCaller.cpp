#include "Integration/FleetCaller.h"

#include "Support/Digest.h"

#include <algorithm>

namespace amaranth::integration {

using Json = nlohmann::json;
using transport::HttpCall;
using transport::HttpOutcome;

namespace {

constexpr Seconds CallLimit{30};
/// A caller gives up on a silent entry host after this time.
constexpr Seconds SilenceLimit{5};
constexpr Seconds AskLimit{3};

/// Takes the events of a stream; true if it ends with an end event that agrees
/// with its tokens.
bool readEvents(const std::string &Body, FleetAnswer &Answer) {
  int Tokens = 0;
  std::string Event;
  for (std::size_t Start = 0; Start < Body.size();) {
    std::size_t End = std::min(Body.find('\n', Start), Body.size());
    std::string Line = Body.substr(Start, End - Start);
    Start = End + 1;
    if (Line.starts_with("event: "))
      Event = Line.substr(7);
    if (!Line.starts_with("data: "))
      continue;
    Json Data = Json::parse(Line.substr(6), nullptr, false);
    if (!Data.is_object())
      return false;
    if (Event == "token") {
      if (Data.at("index") != Tokens)
        return false;
      ++Tokens;
      Answer.Text_ += Data.at("text").get<std::string>();
    }
    if (Event == "error")
      Answer.Body_ = Data;
    if (Event == "end")
      return Data.at("count") == Tokens &&
             Data.at("digest") == sha256Hex(Answer.Text_);
  }
  return false;
}

} // namespace

FleetCaller::FleetCaller(std::vector<std::string> Addresses, std::string Key)
    : Known_(std::move(Addresses)), Key_(std::move(Key)) {}

HttpCall FleetCaller::makeCall(const std::string &Address,
                               const std::string &Method,
                               const std::string &Path) const {
  HttpCall Call;
  Call.Address_ = Address;
  Call.Method_ = Method;
  Call.Path_ = Path;
  Call.Headers_.add("Authorization", "Bearer " + Key_);
  return Call;
}

bool FleetCaller::askOne(const std::string &Address, bool NeedTicket) {
  HttpCall Call = makeCall(Address, "GET", "/v1/entry-hosts");
  Call.Deadline_ = SteadyClock::now() + AskLimit;
  Call.ProgressTimeout_ = AskLimit;
  SteadyTime Asked = SteadyClock::now();
  HttpOutcome Outcome = Client_.call(Call);
  if (!Outcome.Ok_ || Outcome.Reply_.Status_ != 200)
    return false;
  Json Body = Json::parse(Outcome.Reply_.Body_);
  if (Body.at("entry_hosts").empty() ||
      (NeedTicket && !Body.contains("ticket")))
    return false;
  Hosts_.clear();
  for (const Json &Host : Body.at("entry_hosts"))
    Hosts_.push_back(Host.at("address"));
  Ticket_ = Body.value("ticket", "");
  KeptUntil_ = Asked + Milliseconds{Body.at("keep_for_ms").get<long>()};
  return true;
}

bool FleetCaller::renew(bool NeedTicket) {
  std::vector<std::string> Places = Hosts_;
  Places.insert(Places.end(), Known_.begin(), Known_.end());
  return std::any_of(
      Places.begin(), Places.end(),
      [&](const std::string &Address) { return askOne(Address, NeedTicket); });
}

void FleetCaller::keepFresh(bool NeedTicket) {
  if (Hosts_.empty() || SteadyClock::now() >= KeptUntil_ ||
      (NeedTicket && Ticket_.empty()))
    (void)renew(NeedTicket);
}

void FleetCaller::prefer(const std::string &Address) {
  auto Found = std::find(Hosts_.begin(), Hosts_.end(), Address);
  if (Found != Hosts_.end())
    std::iter_swap(Hosts_.begin(), Found);
}

FleetAnswer FleetCaller::lookUp(const std::string &Service,
                                const std::string &Id) {
  keepFresh(false);
  return send(Service, {{"call", "look-up"}, {"body", {{"order_id", Id}}}}, "",
              false);
}

FleetAnswer FleetCaller::place(const std::string &Service,
                               const std::string &OrderId) {
  keepFresh(true);
  return send(Service, {{"call", "place"}, {"body", {{"order_id", OrderId}}}},
              Ticket_ + "." + OrderId, false);
}

FleetAnswer FleetCaller::stream(const std::string &Service,
                                const std::string &Input, int MaxTokens) {
  keepFresh(false);
  return send(Service,
              {{"input", Input}, {"max_tokens", MaxTokens}, {"stream", true}},
              "", true);
}

FleetAnswer FleetCaller::send(const std::string &Service, const Json &Body,
                              const std::string &IdempotencyKey, bool Stream) {
  FleetAnswer Answer;
  // A copy, because the kept answer may be renewed between attempts.
  const std::vector<std::string> Hosts = Hosts_;
  for (const std::string &Address : Hosts) {
    HttpCall Call =
        makeCall(Address, "POST", "/v1/services/" + Service + "/requests");
    if (!IdempotencyKey.empty())
      Call.Headers_.add("Idempotency-Key", IdempotencyKey);
    Call.Body_ = Body.dump();
    if (attempt(Address, std::move(Call), Stream, Answer))
      return Answer;
    ++Answer.Failures_;
  }
  return Answer;
}

/// True if the answer is final.
bool FleetCaller::attempt(const std::string &Address, HttpCall Call,
                          bool Stream, FleetAnswer &Answer) {
  std::string Events;
  Call.Deadline_ = SteadyClock::now() + CallLimit;
  Call.ProgressTimeout_ = SilenceLimit;
  if (Stream)
    Call.OnChunk_ = [&](std::string_view Chunk) {
      Events.append(Chunk);
      return true;
    };
  Answer.Address_ = Address;
  Answer.Sent_ = SteadyClock::now();
  Answer.Text_.clear();
  HttpOutcome Outcome = Client_.call(Call);
  Answer.Status_ = Outcome.Ok_ ? Outcome.Reply_.Status_ : 0;
  Answer.Body_ = Json::parse(Outcome.Reply_.Body_, nullptr, false);
  if (Answer.Status_ == 200)
    Answer.Ok_ = !Stream || readEvents(Events, Answer);
  if (!Answer.Ok_ && Answer.Failure_.empty())
    Answer.Failure_ = Address + ": " +
                      (Outcome.Ok_ ? std::to_string(Answer.Status_) + " " +
                                         Outcome.Reply_.Body_
                                   : transport::toString(Outcome.Failure_));
  // A refusal of the request, not of the host, is final.
  return Answer.Ok_ || (Answer.Status_ >= 400 && Answer.Status_ < 500);
}

} // namespace amaranth::integration
