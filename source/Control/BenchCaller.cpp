#include "Control/BenchCaller.h"

#include "Support/Digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace amaranth::control {

using Json = nlohmann::json;
using transport::HttpCall;
using transport::HttpOutcome;

namespace {

constexpr std::size_t SuffixBytes = 8;

/// Longest time to ask one host for entry hosts.
constexpr Milliseconds AskTimeout{1000};

/// Refusals by the state of one host; the next host may accept.
bool isHostRefusal(const std::string &Type) {
  return Type == "draining" || Type == "isolated";
}

} // namespace

BenchCaller::BenchCaller(const BenchCallerSettings &Settings,
                         transport::HttpClient &Client)
    : Settings_(Settings), Client_(Client) {
  assert(!Settings_.Hosts_.empty());
}

BenchRecord BenchCaller::send(const BenchRequestKind &Kind,
                              const PlannedRequest &Request,
                              SteadyTime Intended, const std::string &OrderId) {
  BenchRecord Record;
  Record.Request_ = &Request;
  Record.OrderId_ = OrderId;
  Record.Lateness_ =
      std::chrono::duration_cast<Microseconds>(SteadyClock::now() - Intended);
  SteadyTime Deadline = Intended + Kind.Timeout_;
  Sending State{Kind, Request, Record, Deadline, Deadline + Settings_.Grace_,
                ""};
  takeKey(State);
  do
    Record.Answer_ = attempt(State);
  while (wantsRepeat(State, Record.Answer_));
  Record.Latency_ =
      std::chrono::duration_cast<Microseconds>(SteadyClock::now() - Intended);
  Record.Outcome_ = classify(Record.Answer_.Kind_, Record.Latency_,
                             Kind.Timeout_, Kind.Order_);
  return Record;
}

BenchCaller::Directory BenchCaller::directory(SteadyTime Deadline) {
  // Held while asking: the caller's other requests need the same answer.
  std::lock_guard Lock(Mutex_);
  if (SteadyClock::now() >= Directory_.ValidUntil_)
    refresh(Deadline);
  return Directory_;
}

bool BenchCaller::refresh(SteadyTime Deadline) {
  std::vector<std::string> Known = Directory_.Addresses_;
  std::size_t Seeds = Settings_.Hosts_.size();
  for (std::size_t I = 0; I < Seeds; ++I)
    Known.push_back(Settings_.Hosts_[(NextSeed_ + I) % Seeds]);
  ++NextSeed_;
  return std::any_of(Known.begin(), Known.end(),
                     [&](const std::string &A) { return ask(A, Deadline); });
}

bool BenchCaller::ask(const std::string &Address, SteadyTime Deadline) {
  HttpCall Call;
  Call.Address_ = Address;
  Call.Method_ = "GET";
  Call.Path_ = "/v1/entry-hosts";
  Call.Headers_.add("Authorization", "Bearer " + Settings_.BearerKey_);
  Call.Deadline_ = std::min(Deadline, SteadyClock::now() + AskTimeout);
  SteadyTime Asked = SteadyClock::now();
  HttpOutcome Reply = Client_.call(Call);
  if (!Reply.Ok_ || Reply.Reply_.Status_ != 200)
    return false;
  Json Body = Json::parse(Reply.Reply_.Body_, nullptr, false);
  if (!Body.is_object() || !Body.contains("entry_hosts"))
    return false;
  Directory Read;
  for (const Json &Host : Body["entry_hosts"])
    Read.Addresses_.push_back(Host.value("address", ""));
  Read.Ticket_ = Body.value("ticket", "");
  Read.ValidUntil_ = Asked + Milliseconds{Body.value("keep_for_ms", 0)};
  if (Read.Addresses_.empty())
    return false;
  Directory_ = std::move(Read);
  return true;
}

void BenchCaller::invalidate() {
  std::lock_guard Lock(Mutex_);
  Directory_.ValidUntil_ = SteadyTime{};
}

void BenchCaller::takeKey(Sending &State) {
  if (!State.Kind_.Order_)
    return;
  std::string Ticket = directory(State.Deadline_).Ticket_;
  std::string Suffix = randomHex(SuffixBytes);
  // Without a ticket a plain key still runs at most once.
  State.Key_ = Ticket.empty() ? "bench-" + Suffix : Ticket + "." + Suffix;
  ++State.Record_.Keys_;
}

BenchAnswer BenchCaller::attempt(Sending &State) {
  Directory Known = directory(State.Deadline_);
  ++State.Record_.Attempts_;
  if (Known.Addresses_.empty()) {
    BenchAnswer Answer;
    Answer.Kind_ = AnswerKind::NotSent;
    Answer.Type_ = "no-entry-host";
    return Answer;
  }
  std::size_t Index = State.NextHost_ % Known.Addresses_.size();
  HttpCall Call = toCall(State, Known.Addresses_[Index]);
  if (!State.Kind_.Stream_)
    return readAnswer(Client_.call(Call), nullptr);
  BenchStream Stream;
  Call.OnChunk_ = [&Stream](std::string_view Chunk) {
    Stream.append(Chunk);
    return true;
  };
  HttpOutcome Reply = Client_.call(Call);
  return readAnswer(Reply, &Stream);
}

HttpCall BenchCaller::toCall(const Sending &State,
                             const std::string &Address) const {
  HttpCall Call;
  Call.Address_ = Address;
  Call.Path_ = "/v1/services/" + State.Kind_.Service_ + "/requests";
  Call.Headers_.add("Authorization", "Bearer " + Settings_.BearerKey_);
  Milliseconds Left = std::max(Milliseconds{1}, remaining(State.Deadline_));
  Call.Headers_.add("Request-Timeout-Ms", std::to_string(Left.count()));
  if (!State.Key_.empty())
    Call.Headers_.add("Idempotency-Key", State.Key_);
  Call.Body_ = bodyOf(State);
  Call.Deadline_ = State.End_;
  Call.ProgressTimeout_ = std::max(Milliseconds{1}, remaining(State.End_));
  // A connection that failed once may have failed for all its uses.
  Call.FreshConnection_ = State.Record_.Attempts_ > 1;
  return Call;
}

std::string BenchCaller::bodyOf(const Sending &State) {
  const BenchRequestKind &Kind = State.Kind_;
  if (Kind.Call_.empty())
    return Json{{"input", State.Request_.Text_},
                {"max_tokens", State.Request_.Tokens_},
                {"stream", Kind.Stream_}}
        .dump();
  Json Body = {{"order_id", State.Record_.OrderId_}};
  return Json{{"call", Kind.Call_}, {"body", Body}}.dump();
}

/// Prepares the next attempt, or returns false if \p Answer is the end.
bool BenchCaller::wantsRepeat(Sending &State, const BenchAnswer &Answer) {
  if (Answer.Kind_ == AnswerKind::Whole || Answer.Kind_ == AnswerKind::Failed ||
      State.Record_.Attempts_ >= Settings_.MaxAttempts_)
    return false;
  bool HostFailed = Answer.Kind_ == AnswerKind::NotSent ||
                    Answer.Kind_ == AnswerKind::Cut ||
                    isHostRefusal(Answer.Type_);
  if (HostFailed) {
    ++State.NextHost_;
    if (Answer.Type_ == "no-entry-host")
      invalidate();
    // The first change of host is immediate; further ones must not spin.
    bool First = State.Record_.Attempts_ == 1;
    return waitToRepeat(State,
                        First ? Milliseconds{0} : Settings_.RepeatDelay_);
  }
  if (!State.Kind_.Order_)
    return false;
  if (Answer.Kind_ == AnswerKind::Unknown) {
    ++State.NextHost_;
    return waitToRepeat(State, Settings_.RepeatDelay_);
  }
  if (Answer.Retry_ == RetryHint::None ||
      !waitToRepeat(State,
                    std::max(Answer.RetryAfter_, Settings_.RepeatDelay_)))
    return false;
  if (Answer.Retry_ == RetryHint::NewKey) {
    invalidate();
    takeKey(State);
  }
  return true;
}

/// False if the deadline comes first.
bool BenchCaller::waitToRepeat(const Sending &State, Milliseconds Delay) const {
  if (remaining(State.Deadline_) <= Delay)
    return false;
  std::this_thread::sleep_for(Delay);
  return true;
}

} // namespace amaranth::control
