#include "Integration/FleetCaller.h"

#include "Support/Digest.h"

#include <algorithm>

namespace amaranth::integration {

using Json = nlohmann::json;
using transport::HttpCall;
using transport::HttpOutcome;

namespace {

constexpr Seconds CallTimeout{30};
/// Time without a byte after which a caller tries the next entry host.
constexpr Seconds ProgressTimeout{5};
constexpr Seconds EntryHostsTimeout{3};

/// Parses the events of a stream; true if it ends with an end event whose count
/// and digest match its tokens.
bool parseStream(const std::string &Body, FleetAnswer &Answer) {
  int TokenCount = 0;
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
      if (Data.at("index") != TokenCount)
        return false;
      ++TokenCount;
      Answer.Text_ += Data.at("text").get<std::string>();
    }
    if (Event == "error")
      Answer.Body_ = Data;
    if (Event == "end")
      return Data.at("count") == TokenCount &&
             Data.at("digest") == sha256Hex(Answer.Text_);
  }
  return false;
}

} // namespace

FleetCaller::FleetCaller(std::vector<std::string> Addresses, std::string Key)
    : SeedAddresses_(std::move(Addresses)), Key_(std::move(Key)) {}

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

bool FleetCaller::requestEntryHosts(const std::string &Address,
                                    bool NeedTicket) {
  HttpCall Call = makeCall(Address, "GET", "/v1/entry-hosts");
  Call.Deadline_ = SteadyClock::now() + EntryHostsTimeout;
  Call.ProgressTimeout_ = EntryHostsTimeout;
  SteadyTime RequestedAt = SteadyClock::now();
  HttpOutcome Outcome = Client_.call(Call);
  if (!Outcome.Ok_ || Outcome.Reply_.Status_ != 200)
    return false;
  Json Body = Json::parse(Outcome.Reply_.Body_);
  if (Body.at("entry_hosts").empty() ||
      (NeedTicket && !Body.contains("ticket")))
    return false;
  EntryHosts_.clear();
  for (const Json &Host : Body.at("entry_hosts"))
    EntryHosts_.push_back(Host.at("address"));
  Ticket_ = Body.value("ticket", "");
  ValidUntil_ = RequestedAt + Milliseconds{Body.at("keep_for_ms").get<long>()};
  return true;
}

bool FleetCaller::refreshEntryHosts(bool NeedTicket) {
  std::vector<std::string> Addresses = EntryHosts_;
  Addresses.insert(Addresses.end(), SeedAddresses_.begin(),
                   SeedAddresses_.end());
  return std::any_of(Addresses.begin(), Addresses.end(),
                     [&](const std::string &Address) {
                       return requestEntryHosts(Address, NeedTicket);
                     });
}

void FleetCaller::refreshIfNeeded(bool NeedTicket) {
  if (EntryHosts_.empty() || SteadyClock::now() >= ValidUntil_ ||
      (NeedTicket && Ticket_.empty()))
    (void)refreshEntryHosts(NeedTicket);
}

void FleetCaller::preferEntryHost(const std::string &Address) {
  auto Position = std::find(EntryHosts_.begin(), EntryHosts_.end(), Address);
  if (Position != EntryHosts_.end())
    std::iter_swap(EntryHosts_.begin(), Position);
}

FleetAnswer FleetCaller::lookUp(const std::string &Service,
                                const std::string &Id) {
  refreshIfNeeded(false);
  return send(Service, {{"call", "look-up"}, {"body", {{"order_id", Id}}}}, "",
              false);
}

FleetAnswer FleetCaller::place(const std::string &Service,
                               const std::string &OrderId) {
  refreshIfNeeded(true);
  return send(Service, {{"call", "place"}, {"body", {{"order_id", OrderId}}}},
              Ticket_ + "." + OrderId, false);
}

FleetAnswer FleetCaller::stream(const std::string &Service,
                                const std::string &Input, int MaxTokens) {
  refreshIfNeeded(false);
  return send(Service,
              {{"input", Input}, {"max_tokens", MaxTokens}, {"stream", true}},
              "", true);
}

FleetAnswer FleetCaller::send(const std::string &Service, const Json &Body,
                              const std::string &IdempotencyKey, bool Stream) {
  FleetAnswer Answer;
  // A copy, because the cached list may be replaced between attempts.
  const std::vector<std::string> EntryHosts = EntryHosts_;
  for (const std::string &Address : EntryHosts) {
    HttpCall Call =
        makeCall(Address, "POST", "/v1/services/" + Service + "/requests");
    if (!IdempotencyKey.empty())
      Call.Headers_.add("Idempotency-Key", IdempotencyKey);
    Call.Body_ = Body.dump();
    if (tryEntryHost(Address, std::move(Call), Stream, Answer))
      return Answer;
    ++Answer.FailedAttempts_;
  }
  return Answer;
}

/// Sends the call to one entry host; true if the answer is final.
bool FleetCaller::tryEntryHost(const std::string &Address, HttpCall Call,
                               bool Stream, FleetAnswer &Answer) {
  std::string Events;
  Call.Deadline_ = SteadyClock::now() + CallTimeout;
  Call.ProgressTimeout_ = ProgressTimeout;
  if (Stream)
    Call.OnChunk_ = [&](std::string_view Chunk) {
      Events.append(Chunk);
      return true;
    };
  Answer.Address_ = Address;
  Answer.LastSentAt_ = SteadyClock::now();
  Answer.Text_.clear();
  HttpOutcome Outcome = Client_.call(Call);
  Answer.Status_ = Outcome.Ok_ ? Outcome.Reply_.Status_ : 0;
  Answer.Body_ = Json::parse(Outcome.Reply_.Body_, nullptr, false);
  if (Answer.Status_ == 200)
    Answer.Ok_ = !Stream || parseStream(Events, Answer);
  if (!Answer.Ok_ && Answer.FirstFailure_.empty())
    Answer.FirstFailure_ =
        Address + ": " +
        (Outcome.Ok_
             ? std::to_string(Answer.Status_) + " " + Outcome.Reply_.Body_
             : transport::toString(Outcome.Failure_));
  // A 4xx refuses the request itself, so another host would not help.
  return Answer.Ok_ || (Answer.Status_ >= 400 && Answer.Status_ < 500);
}

} // namespace amaranth::integration
