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

/// Bytes of a request id, in hex in logs and replies.
constexpr std::size_t RequestIdBytes = 8;

/// Timeout of an outcome look-up.
constexpr Milliseconds LookUpTimeout{2000};

/// Suggested wait after a refusal by the state of this host.
constexpr Milliseconds HostRetryDelay{1000};

std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

HttpReply jsonReply(const Json &Value) {
  HttpReply Reply;
  Reply.Body_ = dump(Value);
  return Reply;
}

Problem refusal(int Status, std::string Type, std::string Title,
                std::string Detail) {
  Problem Made;
  Made.Status_ = Status;
  Made.Type_ = std::move(Type);
  Made.Title_ = std::move(Title);
  Made.Detail_ = std::move(Detail);
  Made.Outcome_ = OutcomeKind::NotRun;
  return Made;
}

/// Refusal by the state of this host. A ticketed key is refused only by its
/// home, so "not run" must not be said here for a keyed request.
Problem hostRefusal(const char *State, bool Keyed) {
  Problem Refused = refusal(503, State, "This host accepts no requests",
                            "use another entry host");
  Refused.Outcome_ = Keyed ? OutcomeKind::Unknown : OutcomeKind::NotRun;
  Refused.RetryWith_ = RetryWith::SameRequest;
  Refused.RetryAfter_ = HostRetryDelay;
  return Refused;
}

Problem badRequest(const Error &Failure) {
  if (Failure.Code_ == ErrorCode::Unauthenticated)
    return refusal(401, "unauthenticated", "No valid key", Failure.Message_);
  return refusal(400, "bad-request", "Malformed request", Failure.Message_);
}

struct OutcomeText {
  int Status_;
  const char *Type_;
  const char *Title_;
};

OutcomeText textOf(OutcomeKind Kind) {
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

RetryWith retryFor(OutcomeKind Kind, bool Ticketed) {
  if (Kind == OutcomeKind::NotRun)
    return Ticketed ? RetryWith::NewKey : RetryWith::SameRequest;
  if (Kind == OutcomeKind::Failed)
    return RetryWith::None;
  return RetryWith::SameRequest;
}

Problem outcomeProblem(const protocol::RequestOutcome &Outcome, bool Ticketed,
                       const std::string &RequestId) {
  OutcomeText Text = textOf(Outcome.Kind_);
  Problem Made =
      refusal(Outcome.Status_ >= 400 ? Outcome.Status_ : Text.Status_,
              Text.Type_, Text.Title_, Outcome.Detail_);
  Made.Outcome_ = Outcome.Kind_ == OutcomeKind::Running ? OutcomeKind::Unknown
                                                        : Outcome.Kind_;
  Made.RetryWith_ = retryFor(Outcome.Kind_, Ticketed);
  Made.RetryAfter_ = Outcome.RetryAfter_;
  Made.HomeAddress_ = Outcome.HomeAddress_;
  Made.RequestId_ = RequestId;
  return Made;
}

Json stagesJson(const std::vector<coordination::StageCost> &Stages) {
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

/// One request on its way through the handlers. Movable into a streamed reply,
/// where it keeps the permit until the stream ends.
struct CallerHandlers::Call {
  std::string RequestId_ = randomHex(RequestIdBytes);
  SteadyTime Start_ = SteadyClock::now();
  SteadyTime Deadline_;
  Milliseconds Timeout_{0};
  Document Document_;
  const state::ClientAccount *Account_ = nullptr; ///< In Document_.
  protocol::CallerHeaders Headers_;
  protocol::PipelineRequest Pipeline_;
  std::optional<coordination::RequestPermit> Permit_;
  coordination::Permit Place_; ///< Among the running requests.

  RequestRecord toRecord() const {
    RequestRecord Record;
    Record.RequestId_ = RequestId_;
    Record.Service_ = Document_->Name_;
    Record.Account_ = Account_->Name_;
    Record.Start_ = Start_;
    Record.Deadline_ = Timeout_;
    Record.Short_ =
        Place_ && Place_.grant().Size_.Class_ == coordination::SizeClass::Short;
    return Record;
  }

  Problem toProblem(const coordination::PipelineResult &Result) const {
    OutcomeText Text = textOf(Result.Outcome_);
    Problem Made =
        refusal(Result.Status_ >= 400 ? Result.Status_ : Text.Status_,
                Text.Type_, Text.Title_, Result.Detail_);
    Made.Outcome_ = Result.Outcome_;
    Made.RetryWith_ = RetryWith::SameRequest;
    Made.RetryAfter_ = Result.RetryAfter_;
    Made.RequestId_ = RequestId_;
    return Made;
  }
};

CallerHandlers::CallerHandlers(const CallerParts &Parts) : Parts_(Parts) {}

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
    return toReply(badRequest(Headers.error()));
  // Without documents, or cut off from the fleet, neither the accounts nor the
  // members are known.
  if (isStarting() || Parts_.Isolated_())
    return toReply(hostRefusal(isStarting() ? "starting" : "isolated", false));
  std::string KeyDigest = sha256Hex(Headers->BearerKey_);
  if (!isKnownKey(KeyDigest))
    return toReply(refusal(401, "unauthenticated", "No valid key",
                           "the key belongs to no client account"));
  auto Ranked = coordination::rankEntryHosts(Parts_.Members_.members(), {},
                                             sha256Prefix(randomHex(8)));
  Json Hosts = Json::array();
  for (const protocol::Member &Host : Ranked)
    Hosts.push_back({{"host", Host.Host_},
                     {"address", Host.CallerAddress_},
                     {"data_centre", Host.DataCentre_}});
  Json Body{{"entry_hosts", Hosts},
            {"keep_for_ms", Parts_.Settings_.EntryHostKeep_.count()}};
  auto Ticket = capture(
      [&] { return Parts_.Once_.issueTicket(allowsVolatile(KeyDigest)); });
  if (Ticket) {
    auto Content =
        capture([&] { return Parts_.Once_.tickets().check(*Ticket); });
    assert(Content);
    bool Volatile = Content->Class_ == coordination::TicketClass::Volatile;
    Body["ticket"] = *Ticket;
    Body["ticket_class"] = Volatile ? "volatile" : "journaled";
    Body["ticket_home"] = Parts_.Members_.self().CallerAddress_;
  }
  return jsonReply(Body);
}

bool CallerHandlers::isStarting() const {
  return Parts_.Gate_.phase() == coordination::ServingPhase::Starting;
}

bool CallerHandlers::isKnownKey(const std::string &KeyDigest) const {
  for (const Document &Service : Parts_.Documents_.services())
    if (Service->findAccountByDigest(KeyDigest))
      return true;
  return false;
}

bool CallerHandlers::allowsVolatile(const std::string &KeyDigest) const {
  for (const Document &Service : Parts_.Documents_.services())
    if (Service->AllowVolatile_ && Service->findAccountByDigest(KeyDigest))
      return true;
  return false;
}

std::optional<Problem> CallerHandlers::openCall(const HttpRequest &Request,
                                                Call &Made) const {
  auto Headers = capture(
      [&] { return protocol::readCallerHeaders(Request.Headers_, Limits_); });
  if (!Headers)
    return badRequest(Headers.error());
  Made.Headers_ = *Headers;
  if (isStarting())
    return hostRefusal("starting", !Headers->IdempotencyKey_.empty());
  if (auto Refused = findAccount(sha256Hex(Headers->BearerKey_),
                                 Request.PathParameters_.at(0), Made))
    return Refused;
  Made.Timeout_ =
      std::min(Made.Document_->Deadline_,
               Headers->Timeout_.value_or(Made.Document_->Deadline_));
  Made.Deadline_ = Made.Start_ + Made.Timeout_;
  return std::nullopt;
}

std::optional<Problem> CallerHandlers::findAccount(const std::string &KeyDigest,
                                                   const std::string &Service,
                                                   Call &Made) const {
  Made.Document_ = Parts_.Documents_.find(Service);
  // A key without access learns nothing about which services exist.
  if (!Made.Document_ && isKnownKey(KeyDigest))
    return refusal(404, "no-such-service", "No such service",
                   "no document is in force for this service");
  if (Made.Document_)
    Made.Account_ = Made.Document_->findAccountByDigest(KeyDigest);
  if (!Made.Account_)
    return refusal(401, "unauthenticated", "No valid key",
                   "the key belongs to no client account of this service");
  return std::nullopt;
}

HttpReply CallerHandlers::onSubmit(const HttpRequest &Request) {
  auto Made = std::make_shared<Call>();
  if (auto Refused = openCall(Request, *Made))
    return toReply(*Refused);
  if (auto Permit = Parts_.Gate_.tryEnter())
    Made->Permit_.emplace(std::move(*Permit));
  bool Keyed = !Made->Headers_.IdempotencyKey_.empty();
  if (!Made->Permit_)
    return toReply(hostRefusal("draining", Keyed));
  if (Parts_.Isolated_())
    return toReply(hostRefusal("isolated", Keyed));
  if (Made->Document_->isPipeline())
    return submitPipeline(Made, Request.Body_);
  return submitPlain(*Made, Request.Body_);
}

std::optional<Problem> CallerHandlers::admit(Call &Made, std::size_t InputBytes,
                                             int MaxTokens) {
  coordination::AdmissionRequest Asked;
  Asked.RequestId_ = Made.RequestId_;
  Asked.Service_ = Made.Document_->Name_;
  Asked.Account_ = Made.Account_->Name_;
  Asked.Weight_ = Made.Account_->Weight_;
  Asked.FleetLimit_ = Made.Account_->RequestsPerSecond_;
  Asked.InputBytes_ = InputBytes;
  Asked.MaxTokens_ = MaxTokens;
  Asked.Deadline_ = Made.Deadline_;
  auto Decision = Parts_.Admission_.admit(Asked);
  if (Decision.Permit_) {
    Made.Place_ = std::move(Decision.Permit_);
    return std::nullopt;
  }
  constexpr int TooManyRequests = 429;
  bool OverLimit = Decision.Status_ == TooManyRequests;
  Problem Refused =
      refusal(Decision.Status_, OverLimit ? "over-limit" : "overloaded",
              "The request was not admitted", Decision.Detail_);
  Refused.RetryWith_ = RetryWith::SameRequest;
  Refused.RetryAfter_ = Decision.RetryAfter_;
  Refused.RequestId_ = Made.RequestId_;
  RequestRecord Record = Made.toRecord();
  Record.Outcome_ = OutcomeKind::NotRun;
  Record.Detail_ = Decision.Detail_;
  Parts_.Recorder_.record(Record);
  return Refused;
}

HttpReply CallerHandlers::submitPipeline(std::shared_ptr<Call> Made,
                                         const std::string &Body) {
  auto Read =
      capture([&] { return protocol::readPipelineRequest(Body, Limits_); });
  if (!Read)
    return toReply(badRequest(Read.error()));
  Made->Pipeline_ = *Read;
  if (auto Refused = admit(*Made, Read->Input_.size(), Read->MaxTokens_))
    return toReply(*Refused);
  if (Made->Pipeline_.Stream_)
    return answerStream(std::move(Made));
  return answerWhole(*Made);
}

coordination::PipelineResult
CallerHandlers::runPipeline(Call &Made, protocol::TokenListener *Listener) {
  coordination::PipelineRequest Request;
  Request.RequestId_ = Made.RequestId_;
  Request.TraceParent_ = Made.Headers_.TraceParent_;
  Request.Input_ = Made.Pipeline_.Input_;
  Request.MaxTokens_ = Made.Pipeline_.MaxTokens_;
  Request.Deadline_ = Made.Deadline_;
  Request.Listener_ = Listener;
  Request.Priority_ = Made.Place_.grant().Priority_;
  Request.PredictedTokens_ = Made.Place_.grant().Size_.Tokens_;
  auto Result = Parts_.Pipelines_.run(*Made.Document_, Request);
  RequestRecord Record = Made.toRecord();
  Record.Outcome_ = Result.Outcome_;
  Record.Detail_ = Result.Detail_;
  Record.Stages_ = Result.Stages_;
  Parts_.Recorder_.record(Record);
  if (Result.Outcome_ == OutcomeKind::Completed)
    Made.Place_.complete(Result.Data_.Tokens_);
  Made.Place_.release();
  return Result;
}

HttpReply CallerHandlers::answerWhole(Call &Made) {
  coordination::PipelineResult Result = runPipeline(Made, nullptr);
  if (Result.Outcome_ != OutcomeKind::Completed)
    return toReply(Made.toProblem(Result));
  return jsonReply({{"request_id", Made.RequestId_},
                    {"output", Result.Data_.Output_},
                    {"tokens", Result.Data_.Tokens_},
                    {"stages", stagesJson(Result.Stages_)}});
}

HttpReply CallerHandlers::answerStream(std::shared_ptr<Call> Made) {
  HttpReply Reply;
  Reply.ContentType_ = "text/event-stream";
  Reply.Headers_.add("X-Request-Id", Made->RequestId_);
  Reply.StreamBody_ = [this, Made](transport::ChunkSink &Sink) {
    TokenStream Stream(Sink);
    coordination::PipelineResult Result = runPipeline(*Made, &Stream);
    if (Result.Outcome_ == OutcomeKind::Completed)
      Stream.finish(Result.Data_);
    else
      Stream.fail(Made->toProblem(Result));
    Made->Permit_.reset();
  };
  return Reply;
}

HttpReply CallerHandlers::submitPlain(Call &Made, const std::string &Body) {
  auto Read = capture([&] { return protocol::readPlainRequest(Body); });
  if (!Read)
    return toReply(badRequest(Read.error()));
  const state::PlainCall *Target = Made.Document_->findCall(Read->Call_);
  if (!Target)
    return toReply(refusal(404, "no-such-call", "No such call",
                           "the service has no call of this name"));
  const std::string &Key = Made.Headers_.IdempotencyKey_;
  if (!Target->Idempotent_ && Key.empty())
    return toReply(refusal(400, "key-required", "Idempotency-Key required",
                           "this call runs at most once, so that its key must "
                           "be known"));
  // A keyed call is admitted by its home, whose refusal is final.
  if (Target->Idempotent_)
    if (auto Refused = admit(Made, Body.size(), 0))
      return toReply(*Refused);
  protocol::RequestOutcome Outcome = runPlain(Made, *Target, *Read);
  if (Outcome.Kind_ == OutcomeKind::Completed)
    return jsonReply({{"request_id", Made.RequestId_},
                      {"result", Json::parse(Outcome.Body_, nullptr, false)}});
  bool Ticketed =
      !Target->Idempotent_ && coordination::TicketAuthority::looksLikeTicket(
                                  Key.substr(0, Key.rfind('.')));
  return toReply(outcomeProblem(Outcome, Ticketed, Made.RequestId_));
}

protocol::RequestOutcome
CallerHandlers::runPlain(Call &Made, const state::PlainCall &Target,
                         const protocol::PlainRequest &Read) {
  protocol::ForwardedRequest Request;
  Request.Service_ = Made.Document_->Name_;
  Request.Account_ = Made.Account_->Name_;
  Request.Call_ = Read.Call_;
  Request.IdempotencyKey_ = Made.Headers_.IdempotencyKey_;
  Request.RequestId_ = Made.RequestId_;
  Request.TraceParent_ = Made.Headers_.TraceParent_;
  Request.Body_ = Read.Body_;
  Request.Timeout_ = remaining(Made.Deadline_);
  protocol::RequestOutcome Outcome =
      Target.Idempotent_ ? Parts_.Calls_.runIdempotent(Request, Made.Deadline_)
                         : Parts_.Once_.submit(Request);
  RequestRecord Record = Made.toRecord();
  Record.Outcome_ = Outcome.Kind_;
  Record.Detail_ = Outcome.Detail_;
  Record.Short_ = true;
  Parts_.Recorder_.record(Record);
  return Outcome;
}

HttpReply CallerHandlers::onLookUp(const HttpRequest &Request) {
  Call Made;
  if (auto Refused = openCall(Request, Made)) {
    Refused->Outcome_.reset();
    return toReply(*Refused);
  }
  protocol::RequestOutcome Outcome =
      Parts_.Once_.lookUp(Made.Document_->Name_, Made.Account_->Name_,
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
