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

/// Longest wait for the list of entry hosts from one daemon.
constexpr Milliseconds EntryHostsTimeout{1000};

/// Whether a refusal is due to the state of one host; the next may accept.
bool isHostRefusal(const std::string &Type) {
  return Type == "draining" || Type == "isolated";
}

} // namespace

BenchCaller::BenchCaller(const BenchCallerSettings &Settings,
                         transport::HttpClient &Client)
    : Settings_(Settings), Client_(Client) {
  assert(!Settings_.SeedHosts_.empty());
}

BenchRecord BenchCaller::send(const BenchRequestKind &Kind,
                              const PlannedRequest &Request,
                              SteadyTime PlannedAt,
                              const std::string &OrderId) {
  BenchRecord Record;
  Record.Request_ = &Request;
  Record.OrderId_ = OrderId;
  Record.Lateness_ =
      std::chrono::duration_cast<Microseconds>(SteadyClock::now() - PlannedAt);
  SteadyTime Deadline = PlannedAt + Kind.Timeout_;
  RequestState State{
      Kind, Request, Record, Deadline, Deadline + Settings_.GracePeriod_, ""};
  assignKey(State);
  do
    Record.Answer_ = sendAttempt(State);
  while (prepareRetry(State, Record.Answer_));
  Record.Latency_ =
      std::chrono::duration_cast<Microseconds>(SteadyClock::now() - PlannedAt);
  Record.Outcome_ = classify(Record.Answer_.Kind_, Record.Latency_,
                             Kind.Timeout_, Kind.IsOrder_);
  return Record;
}

BenchCaller::EntryHosts BenchCaller::entryHosts(SteadyTime Deadline) {
  // Held during the fetch, because concurrent requests need the same list.
  std::lock_guard Lock(Mutex_);
  if (SteadyClock::now() >= EntryHosts_.ValidUntil_)
    refreshEntryHosts(Deadline);
  return EntryHosts_;
}

bool BenchCaller::refreshEntryHosts(SteadyTime Deadline) {
  std::vector<std::string> Candidates = EntryHosts_.Addresses_;
  std::size_t SeedCount = Settings_.SeedHosts_.size();
  for (std::size_t I = 0; I < SeedCount; ++I)
    Candidates.push_back(Settings_.SeedHosts_[(NextSeedHost_ + I) % SeedCount]);
  ++NextSeedHost_;
  return std::any_of(Candidates.begin(), Candidates.end(),
                     [&](const std::string &Address) {
                       return fetchEntryHosts(Address, Deadline);
                     });
}

bool BenchCaller::fetchEntryHosts(const std::string &Address,
                                  SteadyTime Deadline) {
  HttpCall Call;
  Call.Address_ = Address;
  Call.Method_ = "GET";
  Call.Path_ = "/v1/entry-hosts";
  Call.Headers_.add("Authorization", "Bearer " + Settings_.BearerKey_);
  Call.Deadline_ = std::min(Deadline, SteadyClock::now() + EntryHostsTimeout);
  SteadyTime RequestedAt = SteadyClock::now();
  HttpOutcome Reply = Client_.call(Call);
  if (!Reply.Ok_ || Reply.Reply_.Status_ != 200)
    return false;
  Json Body = Json::parse(Reply.Reply_.Body_, nullptr, false);
  if (!Body.is_object() || !Body.contains("entry_hosts"))
    return false;
  EntryHosts Fetched;
  for (const Json &Host : Body["entry_hosts"])
    Fetched.Addresses_.push_back(Host.value("address", ""));
  Fetched.Ticket_ = Body.value("ticket", "");
  Fetched.ValidUntil_ =
      RequestedAt + Milliseconds{Body.value("keep_for_ms", 0)};
  if (Fetched.Addresses_.empty())
    return false;
  EntryHosts_ = std::move(Fetched);
  return true;
}

void BenchCaller::expireEntryHosts() {
  std::lock_guard Lock(Mutex_);
  EntryHosts_.ValidUntil_ = SteadyTime{};
}

void BenchCaller::assignKey(RequestState &State) {
  if (!State.Kind_.IsOrder_)
    return;
  std::string Ticket = entryHosts(State.Deadline_).Ticket_;
  std::string Suffix = randomHex(SuffixBytes);
  // A key without a ticket also runs at most once.
  State.Key_ = Ticket.empty() ? "bench-" + Suffix : Ticket + "." + Suffix;
  ++State.Record_.KeyCount_;
}

BenchAnswer BenchCaller::sendAttempt(RequestState &State) {
  EntryHosts Hosts = entryHosts(State.Deadline_);
  ++State.Record_.Attempts_;
  if (Hosts.Addresses_.empty()) {
    BenchAnswer Answer;
    Answer.Kind_ = AnswerKind::NotSent;
    Answer.ProblemType_ = "no-entry-host";
    return Answer;
  }
  std::size_t Index = State.HostIndex_ % Hosts.Addresses_.size();
  HttpCall Call = makeCall(State, Hosts.Addresses_[Index]);
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

HttpCall BenchCaller::makeCall(const RequestState &State,
                               const std::string &Address) const {
  HttpCall Call;
  Call.Address_ = Address;
  Call.Path_ = "/v1/services/" + State.Kind_.Service_ + "/requests";
  Call.Headers_.add("Authorization", "Bearer " + Settings_.BearerKey_);
  Milliseconds Remaining =
      std::max(Milliseconds{1}, remaining(State.Deadline_));
  Call.Headers_.add("Request-Timeout-Ms", std::to_string(Remaining.count()));
  if (!State.Key_.empty())
    Call.Headers_.add("Idempotency-Key", State.Key_);
  Call.Body_ = makeBody(State);
  Call.Deadline_ = State.GiveUpAt_;
  Call.ProgressTimeout_ = std::max(Milliseconds{1}, remaining(State.GiveUpAt_));
  // A pooled connection may have failed as well, so retries open a new one.
  Call.FreshConnection_ = State.Record_.Attempts_ > 1;
  return Call;
}

std::string BenchCaller::makeBody(const RequestState &State) {
  const BenchRequestKind &Kind = State.Kind_;
  if (Kind.Call_.empty())
    return Json{{"input", State.Request_.Input_},
                {"max_tokens", State.Request_.MaxTokens_},
                {"stream", Kind.Stream_}}
        .dump();
  Json Body = {{"order_id", State.Record_.OrderId_}};
  return Json{{"call", Kind.Call_}, {"body", Body}}.dump();
}

/// Waits and prepares the next attempt; false if \p Answer is final.
bool BenchCaller::prepareRetry(RequestState &State, const BenchAnswer &Answer) {
  if (Answer.Kind_ == AnswerKind::Complete ||
      Answer.Kind_ == AnswerKind::Failed ||
      State.Record_.Attempts_ >= Settings_.MaxAttempts_)
    return false;
  bool HostFailed = Answer.Kind_ == AnswerKind::NotSent ||
                    Answer.Kind_ == AnswerKind::Cut ||
                    isHostRefusal(Answer.ProblemType_);
  if (HostFailed) {
    ++State.HostIndex_;
    if (Answer.ProblemType_ == "no-entry-host")
      expireEntryHosts();
    // The first change of host is immediate; a delay keeps further ones from
    // spinning.
    bool IsFirstAttempt = State.Record_.Attempts_ == 1;
    return waitToRetry(State, IsFirstAttempt ? Milliseconds{0}
                                             : Settings_.RetryDelay_);
  }
  if (!State.Kind_.IsOrder_)
    return false;
  if (Answer.Kind_ == AnswerKind::Unknown) {
    ++State.HostIndex_;
    return waitToRetry(State, Settings_.RetryDelay_);
  }
  if (Answer.Retry_ == RetryHint::None ||
      !waitToRetry(State, std::max(Answer.RetryAfter_, Settings_.RetryDelay_)))
    return false;
  if (Answer.Retry_ == RetryHint::NewKey) {
    expireEntryHosts();
    assignKey(State);
  }
  return true;
}

/// Waits for \p Delay; false, at once, if the deadline comes first.
bool BenchCaller::waitToRetry(const RequestState &State,
                              Milliseconds Delay) const {
  if (remaining(State.Deadline_) <= Delay)
    return false;
  std::this_thread::sleep_for(Delay);
  return true;
}

} // namespace amaranth::control
