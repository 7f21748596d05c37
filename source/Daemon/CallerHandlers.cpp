#include "Daemon/CallerHandlers.h"

#include "Coordination/EntryHostRanking.h"
#include "Daemon/TokenStream.h"
#include "Support/Digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace amaranth::daemon {

namespace {

using Json = nlohmann::json;
using protocol::OutcomeKind;
using protocol::Problem;
using protocol::RetryWith;
using transport::HttpReply;
using transport::HttpRequest;

/// Random bytes of a request id. Logs and replies show them in hex.
constexpr std::size_t RequestIdBytes = 8;

/// Timeout of an outcome look-up.
constexpr Milliseconds LookUpTimeout{2000};

/// Retry-After of a request that is refused because of this host's state.
constexpr Milliseconds HostRetryDelay{1000};

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpReply jsonReply(const Json &Value) {
  HttpReply Reply;
  Reply.Body_ = dump(Value);
  return Reply;
}

/// A problem with outcome NotRun; callers replace the outcome if the request
/// may have run.
Problem refusal(int Status, std::string Type, std::string Title,
                std::string Detail) {
  Problem NewProblem;
  NewProblem.Status_ = Status;
  NewProblem.Type_ = std::move(Type);
  NewProblem.Title_ = std::move(Title);
  NewProblem.Detail_ = std::move(Detail);
  NewProblem.Outcome_ = OutcomeKind::NotRun;
  return NewProblem;
}

/// Refuses a request because of the state of this host. For a request with an
/// idempotency key the outcome is Unknown, not NotRun: only the home of the key
/// (the daemon incarnation named by the key's ticket) may refuse it for good.
Problem hostRefusal(const char *State, bool HasKey) {
  Problem Refusal = refusal(503, State, "This host accepts no requests",
                            "use another entry host");
  Refusal.Outcome_ = HasKey ? OutcomeKind::Unknown : OutcomeKind::NotRun;
  Refusal.RetryWith_ = RetryWith::SameRequest;
  Refusal.RetryAfter_ = HostRetryDelay;
  return Refusal;
}

Problem requestProblem(const Error &Failure) {
  if (Failure.Code_ == ErrorCode::Unauthenticated)
    return refusal(401, "unauthenticated", "No valid key", Failure.Message_);
  return refusal(400, "bad-request", "Malformed request", Failure.Message_);
}

/// Status, type and title of the problem that reports an outcome kind.
struct ProblemDefaults {
  int Status_;
  const char *Type_;
  const char *Title_;
};

ProblemDefaults problemDefaults(OutcomeKind Kind) {
  switch (Kind) {
  case OutcomeKind::NotRun:
    return {503, "not-run", "The request did not run"};
  case OutcomeKind::Failed:
    return {502, "target-failure", "A target failed"};
  case OutcomeKind::Running:
    return {409, "running", "The request is running"};
  case OutcomeKind::Completed:
  case OutcomeKind::Unknown:
    break;
  }
  return {504, "outcome-unknown", "The request may have run"};
}

RetryWith retryAdvice(OutcomeKind Kind, bool HasTicket) {
  if (Kind == OutcomeKind::NotRun)
    return HasTicket ? RetryWith::NewKey : RetryWith::SameRequest;
  if (Kind == OutcomeKind::Failed)
    return RetryWith::None;
  return RetryWith::SameRequest;
}

Problem outcomeProblem(const protocol::RequestOutcome &Outcome, bool HasTicket,
                       const std::string &RequestId) {
  ProblemDefaults Defaults = problemDefaults(Outcome.Kind_);
  Problem NewProblem =
      refusal(Outcome.Status_ >= 400 ? Outcome.Status_ : Defaults.Status_,
              Defaults.Type_, Defaults.Title_, Outcome.Detail_);
  NewProblem.Outcome_ = Outcome.Kind_ == OutcomeKind::Running
                            ? OutcomeKind::Unknown
                            : Outcome.Kind_;
  NewProblem.RetryWith_ = retryAdvice(Outcome.Kind_, HasTicket);
  NewProblem.RetryAfter_ = Outcome.RetryAfter_;
  NewProblem.HomeAddress_ = Outcome.HomeAddress_;
  NewProblem.RequestId_ = RequestId;
  return NewProblem;
}

Json stageCostsJson(const std::vector<coordination::StageCost> &Stages) {
  Json List = Json::array();
  for (const coordination::StageCost &Cost : Stages)
    List.push_back({{"stage", Cost.Stage_},
                    {"target", Cost.Target_},
                    {"attempts", Cost.Attempts_},
                    {"hedges", Cost.Hedges_},
                    {"useful_us", Cost.Useful_.count()},
                    {"wasted_us", Cost.Wasted_.count()}});
  return List;
}

} // namespace

/// State of one request during its processing. A streamed reply shares
/// ownership, so that GatePermit_ is held until the stream ends.
struct CallerHandlers::RequestContext {
  std::string RequestId_ = randomHex(RequestIdBytes);
  SteadyTime Start_ = SteadyClock::now();
  SteadyTime Deadline_;
  Milliseconds Timeout_{0};
  Document Document_;
  const state::ClientAccount *Account_ = nullptr; ///< In Document_.
  protocol::CallerHeaders Headers_;
  protocol::PipelineRequest Pipeline_;
  std::optional<coordination::RequestPermit> GatePermit_;
  coordination::Permit AdmissionPermit_; ///< Empty until admitted.

  RequestRecord toRecord() const {
    RequestRecord Record;
    Record.RequestId_ = RequestId_;
    Record.Service_ = Document_->Name_;
    Record.Account_ = Account_->Name_;
    Record.Start_ = Start_;
    Record.Timeout_ = Timeout_;
    Record.IsShort_ =
        AdmissionPermit_ &&
        AdmissionPermit_.grant().Size_.Class_ == coordination::SizeClass::Short;
    return Record;
  }

  Problem toProblem(const coordination::PipelineResult &Result) const {
    ProblemDefaults Defaults = problemDefaults(Result.Outcome_);
    Problem NewProblem =
        refusal(Result.Status_ >= 400 ? Result.Status_ : Defaults.Status_,
                Defaults.Type_, Defaults.Title_, Result.Detail_);
    NewProblem.Outcome_ = Result.Outcome_;
    NewProblem.RetryWith_ = RetryWith::SameRequest;
    NewProblem.RetryAfter_ = Result.RetryAfter_;
    NewProblem.RequestId_ = RequestId_;
    return NewProblem;
  }
};

CallerHandlers::CallerHandlers(const CallerDependencies &Dependencies)
    : Dependencies_(Dependencies) {}

void CallerHandlers::install(transport::HttpServer &Server) {
  Server.route("GET", "/v1/entry-hosts", [this](const HttpRequest &Request) {
    return onEntryHosts(Request);
  });
  Server.route(
      "POST", "/v1/services/([^/]+)/requests",
      [this](const HttpRequest &Request) { return onSubmit(Request); });
  Server.route(
      "GET", "/v1/services/([^/]+)/requests/([^/]+)",
      [this](const HttpRequest &Request) { return onLookUp(Request); });
}

HttpReply CallerHandlers::onEntryHosts(const HttpRequest &Request) {
  auto Headers = capture(
      [&] { return protocol::readCallerHeaders(Request.Headers_, Limits_); });
  if (!Headers)
    return toReply(requestProblem(Headers.error()));
  // A starting host has no documents. The documents and members of an isolated
  // host may be out of date.
  if (isStarting() || Dependencies_.IsIsolated_())
    return toReply(hostRefusal(isStarting() ? "starting" : "isolated", false));
  std::string KeyDigest = sha256Hex(Headers->BearerKey_);
  if (!isKnownKey(KeyDigest))
    return toReply(refusal(401, "unauthenticated", "No valid key",
                           "the key belongs to no client account"));
  auto RankedHosts = coordination::rankEntryHosts(
      Dependencies_.Members_.members(), {}, sha256Prefix(randomHex(8)));
  Json Hosts = Json::array();
  for (const protocol::Member &Host : RankedHosts)
    Hosts.push_back({{"host", Host.Host_},
                     {"address", Host.CallerAddress_},
                     {"data_centre", Host.DataCentre_}});
  Json Body{
      {"entry_hosts", Hosts},
      {"keep_for_ms", Dependencies_.Settings_.EntryHostCacheTime_.count()}};
  auto Ticket = capture([&] {
    return Dependencies_.OnceRunner_.issueTicket(
        allowsVolatileTickets(KeyDigest));
  });
  if (Ticket) {
    auto TicketContent = capture(
        [&] { return Dependencies_.OnceRunner_.tickets().check(*Ticket); });
    assert(TicketContent);
    bool IsVolatile =
        TicketContent->Class_ == coordination::TicketClass::Volatile;
    Body["ticket"] = *Ticket;
    Body["ticket_class"] = IsVolatile ? "volatile" : "journaled";
    Body["ticket_home"] = Dependencies_.Members_.self().CallerAddress_;
  }
  return jsonReply(Body);
}

bool CallerHandlers::isStarting() const {
  return Dependencies_.Gate_.phase() == coordination::ServingPhase::Starting;
}

bool CallerHandlers::isKnownKey(const std::string &KeyDigest) const {
  for (const Document &Service : Dependencies_.Documents_.services())
    if (Service->findAccountByDigest(KeyDigest))
      return true;
  return false;
}

bool CallerHandlers::allowsVolatileTickets(const std::string &KeyDigest) const {
  for (const Document &Service : Dependencies_.Documents_.services())
    if (Service->AllowVolatile_ && Service->findAccountByDigest(KeyDigest))
      return true;
  return false;
}

std::optional<Problem>
CallerHandlers::initializeContext(const HttpRequest &Request,
                                  RequestContext &Context) const {
  auto Headers = capture(
      [&] { return protocol::readCallerHeaders(Request.Headers_, Limits_); });
  if (!Headers)
    return requestProblem(Headers.error());
  Context.Headers_ = *Headers;
  if (isStarting())
    return hostRefusal("starting", !Headers->IdempotencyKey_.empty());
  if (auto Refusal = findAccount(sha256Hex(Headers->BearerKey_),
                                 Request.PathParameters_.at(0), Context))
    return Refusal;
  Context.Timeout_ =
      std::min(Context.Document_->Deadline_,
               Headers->Timeout_.value_or(Context.Document_->Deadline_));
  Context.Deadline_ = Context.Start_ + Context.Timeout_;
  return std::nullopt;
}

std::optional<Problem>
CallerHandlers::findAccount(const std::string &KeyDigest,
                            const std::string &Service,
                            RequestContext &Context) const {
  Context.Document_ = Dependencies_.Documents_.find(Service);
  // Only callers with a known key are told that a service does not exist, so
  // that others cannot find out which services there are.
  if (!Context.Document_ && isKnownKey(KeyDigest))
    return refusal(404, "no-such-service", "No such service",
                   "no document is in force for this service");
  if (Context.Document_)
    Context.Account_ = Context.Document_->findAccountByDigest(KeyDigest);
  if (!Context.Account_)
    return refusal(401, "unauthenticated", "No valid key",
                   "the key belongs to no client account of this service");
  return std::nullopt;
}

HttpReply CallerHandlers::onSubmit(const HttpRequest &Request) {
  auto Context = std::make_shared<RequestContext>();
  if (auto Refusal = initializeContext(Request, *Context))
    return toReply(*Refusal);
  if (auto Permit = Dependencies_.Gate_.tryEnter())
    Context->GatePermit_.emplace(std::move(*Permit));
  bool HasKey = !Context->Headers_.IdempotencyKey_.empty();
  if (!Context->GatePermit_)
    return toReply(hostRefusal("draining", HasKey));
  if (Dependencies_.IsIsolated_())
    return toReply(hostRefusal("isolated", HasKey));
  if (Context->Document_->isPipeline())
    return submitPipeline(Context, Request.Body_);
  return submitPlain(*Context, Request.Body_);
}

std::optional<Problem> CallerHandlers::admit(RequestContext &Context,
                                             std::size_t InputBytes,
                                             int MaxTokens) {
  coordination::AdmissionRequest Candidate;
  Candidate.RequestId_ = Context.RequestId_;
  Candidate.Service_ = Context.Document_->Name_;
  Candidate.Account_ = Context.Account_->Name_;
  Candidate.Weight_ = Context.Account_->Weight_;
  Candidate.FleetLimit_ = Context.Account_->RequestsPerSecond_;
  Candidate.InputBytes_ = InputBytes;
  Candidate.MaxTokens_ = MaxTokens;
  Candidate.Deadline_ = Context.Deadline_;
  auto Decision = Dependencies_.Admission_.admit(Candidate);
  if (Decision.Permit_) {
    Context.AdmissionPermit_ = std::move(Decision.Permit_);
    return std::nullopt;
  }
  constexpr int TooManyRequests = 429;
  bool IsOverLimit = Decision.Status_ == TooManyRequests;
  Problem Refusal =
      refusal(Decision.Status_, IsOverLimit ? "over-limit" : "overloaded",
              "The request was not admitted", Decision.Detail_);
  Refusal.RetryWith_ = RetryWith::SameRequest;
  Refusal.RetryAfter_ = Decision.RetryAfter_;
  Refusal.RequestId_ = Context.RequestId_;
  RequestRecord Record = Context.toRecord();
  Record.Outcome_ = OutcomeKind::NotRun;
  Record.Detail_ = Decision.Detail_;
  Dependencies_.Recorder_.record(Record);
  return Refusal;
}

HttpReply
CallerHandlers::submitPipeline(std::shared_ptr<RequestContext> Context,
                               const std::string &Body) {
  auto Parsed =
      capture([&] { return protocol::readPipelineRequest(Body, Limits_); });
  if (!Parsed)
    return toReply(requestProblem(Parsed.error()));
  Context->Pipeline_ = *Parsed;
  if (auto Refusal = admit(*Context, Parsed->Input_.size(), Parsed->MaxTokens_))
    return toReply(*Refusal);
  if (Context->Pipeline_.Stream_)
    return replyStream(std::move(Context));
  return replyWhole(*Context);
}

coordination::PipelineResult
CallerHandlers::runPipeline(RequestContext &Context,
                            protocol::TokenListener *Listener) {
  coordination::PipelineRequest Request;
  Request.RequestId_ = Context.RequestId_;
  Request.TraceParent_ = Context.Headers_.TraceParent_;
  Request.Input_ = Context.Pipeline_.Input_;
  Request.MaxTokens_ = Context.Pipeline_.MaxTokens_;
  Request.Deadline_ = Context.Deadline_;
  Request.Listener_ = Listener;
  Request.Priority_ = Context.AdmissionPermit_.grant().Priority_;
  Request.PredictedTokens_ = Context.AdmissionPermit_.grant().Size_.Tokens_;
  auto Result = Dependencies_.Pipelines_.run(*Context.Document_, Request);
  RequestRecord Record = Context.toRecord();
  Record.Outcome_ = Result.Outcome_;
  Record.Detail_ = Result.Detail_;
  Record.StageCosts_ = Result.Stages_;
  Dependencies_.Recorder_.record(Record);
  if (Result.Outcome_ == OutcomeKind::Completed) {
    coordination::CompletedWork Work;
    Work.Tokens_ = Result.Data_.Tokens_;
    for (const coordination::StageCost &Cost : Result.Stages_)
      Work.LostTime_ += Cost.Lost_;
    Context.AdmissionPermit_.complete(Work);
  }
  Context.AdmissionPermit_.release();
  return Result;
}

HttpReply CallerHandlers::replyWhole(RequestContext &Context) {
  coordination::PipelineResult Result = runPipeline(Context, nullptr);
  if (Result.Outcome_ != OutcomeKind::Completed)
    return toReply(Context.toProblem(Result));
  return jsonReply({{"request_id", Context.RequestId_},
                    {"output", Result.Data_.Output_},
                    {"tokens", Result.Data_.Tokens_},
                    {"stages", stageCostsJson(Result.Stages_)}});
}

HttpReply CallerHandlers::replyStream(std::shared_ptr<RequestContext> Context) {
  HttpReply Reply;
  Reply.ContentType_ = "text/event-stream";
  Reply.Headers_.add("X-Request-Id", Context->RequestId_);
  Reply.StreamBody_ = [this, Context](transport::ChunkSink &Sink) {
    TokenStream Stream(Sink);
    coordination::PipelineResult Result = runPipeline(*Context, &Stream);
    if (Result.Outcome_ == OutcomeKind::Completed)
      Stream.finish(Result.Data_);
    else
      Stream.fail(Context->toProblem(Result));
    Context->GatePermit_.reset();
  };
  return Reply;
}

HttpReply CallerHandlers::submitPlain(RequestContext &Context,
                                      const std::string &Body) {
  auto Parsed = capture([&] { return protocol::readPlainRequest(Body); });
  if (!Parsed)
    return toReply(requestProblem(Parsed.error()));
  const state::PlainCall *CallSettings =
      Context.Document_->findCall(Parsed->Call_);
  if (!CallSettings)
    return toReply(refusal(404, "no-such-call", "No such call",
                           "the service has no call of this name"));
  const std::string &Key = Context.Headers_.IdempotencyKey_;
  if (!CallSettings->Idempotent_ && Key.empty())
    return toReply(refusal(400, "key-required", "Idempotency-Key required",
                           "this call runs at most once, so that its key must "
                           "be known"));
  // Calls that are not idempotent are admitted by the home of their key, which
  // records a refusal for good.
  if (CallSettings->Idempotent_)
    if (auto Refusal = admit(Context, Body.size(), 0))
      return toReply(*Refusal);
  protocol::RequestOutcome Outcome = runPlain(Context, *CallSettings, *Parsed);
  if (Outcome.Kind_ == OutcomeKind::Completed)
    return jsonReply({{"request_id", Context.RequestId_},
                      {"result", Json::parse(Outcome.Body_, nullptr, false)}});
  bool HasTicket = !CallSettings->Idempotent_ &&
                   coordination::TicketAuthority::looksLikeTicket(
                       Key.substr(0, Key.rfind('.')));
  return toReply(outcomeProblem(Outcome, HasTicket, Context.RequestId_));
}

protocol::RequestOutcome
CallerHandlers::runPlain(RequestContext &Context,
                         const state::PlainCall &CallSettings,
                         const protocol::PlainRequest &Parsed) {
  protocol::ForwardedRequest Request;
  Request.Service_ = Context.Document_->Name_;
  Request.Account_ = Context.Account_->Name_;
  Request.Call_ = Parsed.Call_;
  Request.IdempotencyKey_ = Context.Headers_.IdempotencyKey_;
  Request.RequestId_ = Context.RequestId_;
  Request.TraceParent_ = Context.Headers_.TraceParent_;
  Request.Body_ = Parsed.Body_;
  Request.Timeout_ = remaining(Context.Deadline_);
  protocol::RequestOutcome Outcome =
      CallSettings.Idempotent_
          ? Dependencies_.PlainCalls_.runIdempotent(Request, Context.Deadline_)
          : Dependencies_.OnceRunner_.submit(Request);
  RequestRecord Record = Context.toRecord();
  Record.Outcome_ = Outcome.Kind_;
  Record.Detail_ = Outcome.Detail_;
  Record.IsShort_ = true;
  Dependencies_.Recorder_.record(Record);
  return Outcome;
}

HttpReply CallerHandlers::onLookUp(const HttpRequest &Request) {
  RequestContext Context;
  if (auto Refusal = initializeContext(Request, Context)) {
    Refusal->Outcome_.reset();
    return toReply(*Refusal);
  }
  protocol::RequestOutcome Outcome = Dependencies_.OnceRunner_.lookUp(
      Context.Document_->Name_, Context.Account_->Name_,
      Request.PathParameters_.at(1), LookUpTimeout);
  Json Body{{"outcome", toString(Outcome.Kind_)}};
  if (Outcome.Kind_ == OutcomeKind::Completed)
    Body["result"] = Json::parse(Outcome.Body_, nullptr, false);
  else
    Body["detail"] = Outcome.Detail_;
  if (!Outcome.HomeAddress_.empty())
    Body["home_address"] = Outcome.HomeAddress_;
  return jsonReply(Body);
}

} // namespace amaranth::daemon
