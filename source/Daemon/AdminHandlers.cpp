#include "Daemon/AdminHandlers.h"

#include "Coordination/DocumentChange.h"
#include "Protocol/Problem.h"
#include "Support/Digest.h"
#include "Support/Log.h"

#include <nlohmann/json.hpp>

#include <charconv>

namespace amaranth::daemon {

namespace {

using Json = nlohmann::json;
using protocol::Problem;
using transport::HttpReply;
using transport::HttpRequest;

HttpReply jsonReply(const Json &Value, int Status = 200) {
  HttpReply Reply;
  Reply.Status_ = Status;
  Reply.Body_ = Value.dump(-1, ' ', false, Json::error_handler_t::replace);
  return Reply;
}

HttpReply problemReply(int Status, std::string Type, std::string Detail) {
  Problem NewProblem;
  NewProblem.Status_ = Status;
  NewProblem.Type_ = Type;
  NewProblem.Title_ = std::move(Type);
  NewProblem.Detail_ = std::move(Detail);
  return toReply(NewProblem);
}

const char *statusName(protocol::MemberStatus Status) {
  switch (Status) {
  case protocol::MemberStatus::Alive:
    return "alive";
  case protocol::MemberStatus::Suspect:
    return "suspect";
  case protocol::MemberStatus::Draining:
    return "draining";
  case protocol::MemberStatus::Dead:
    return "dead";
  }
  return "dead";
}

Json membersJson(const std::vector<protocol::Member> &Members) {
  Json List = Json::array();
  for (const protocol::Member &Host : Members)
    List.push_back({{"host", Host.Host_},
                    {"data_centre", Host.DataCentre_},
                    {"caller_address", Host.CallerAddress_},
                    {"status", statusName(Host.Status_)},
                    {"incarnation", Host.Incarnation_},
                    {"load", Host.Load_}});
  return List;
}

Json servicesJson(const std::vector<state::StoredDocument> &Documents) {
  Json List = Json::array();
  for (const state::StoredDocument &Document : Documents)
    List.push_back({{"name", Document.Name_},
                    {"revision", Document.Revision_},
                    {"deleted", Document.Deleted_},
                    {"change_id", Document.ChangeId_}});
  return List;
}

Json faultsJson(const std::vector<state::DocumentFault> &Faults) {
  Json List = Json::array();
  for (const state::DocumentFault &Fault : Faults)
    List.push_back({{"line", Fault.Line_},
                    {"key", Fault.Key_},
                    {"found", Fault.Found_},
                    {"allowed", Fault.Allowed_}});
  return {{"faults", List}};
}

const char *targetStatus(const coordination::TargetView &View) {
  if (View.Leaving_)
    return "leaving";
  if (View.RecheckIn_.count() > 0)
    return "avoided";
  return "serving";
}

Json targetJson(const std::string &Service, const state::Target &Target,
                const coordination::TargetView &View) {
  double QueuedTokens = View.Report_ ? View.Report_->QueuedWork_ : 0;
  return {{"service", Service},
          {"name", Target.Name_},
          {"address", Target.Address_},
          {"data_centre", Target.DataCentre_},
          {"status", targetStatus(View)},
          {"in_flight", View.InFlight_},
          {"queued_tokens", QueuedTokens},
          {"load_age_ms", View.Report_ ? View.ReportAge_.count() : -1},
          {"latency_ms", View.RecentPace_.count() / 1000.0}};
}

/// Time limit of a change, including retries after lost replies.
constexpr Milliseconds ChangeTimeout{5000};

/// Timeout of the read that checks whether the key-value service is reachable.
constexpr Milliseconds ReachabilityTimeout{500};

HttpReply changeFailureReply(const Error &Failure) {
  if (Failure.Code_ == ErrorCode::InvalidArgument)
    return problemReply(400, "bad-request", Failure.Message_);
  // After an ambiguous result, a retry with the same Change-Id tells whether
  // the change took effect.
  bool Ambiguous = Failure.Code_ == ErrorCode::Ambiguous;
  Problem NewProblem;
  NewProblem.Status_ = 503;
  NewProblem.Type_ = Ambiguous ? "change-ambiguous" : "key-value-unavailable";
  NewProblem.Title_ = "The change was not confirmed";
  NewProblem.Detail_ = Failure.Message_;
  NewProblem.Outcome_ = Ambiguous ? protocol::OutcomeKind::Unknown
                                  : protocol::OutcomeKind::NotRun;
  NewProblem.RetryWith_ = protocol::RetryWith::SameRequest;
  return toReply(NewProblem);
}

std::optional<std::uint64_t> readRevision(const std::string &Text) {
  std::uint64_t Value = 0;
  auto [End, Failure] =
      std::from_chars(Text.data(), Text.data() + Text.size(), Value);
  if (Failure != std::errc() || End != Text.data() + Text.size())
    return std::nullopt;
  return Value;
}

} // namespace

AdminHandlers::AdminHandlers(const AdminDependencies &Dependencies)
    : Dependencies_(Dependencies) {}

void AdminHandlers::install(transport::HttpServer &Server) {
  const std::string Service = "/v1/admin/services/([A-Za-z0-9_-]+)";
  addProtected(Server, "GET", "/v1/admin/status", &AdminHandlers::onStatus);
  addProtected(Server, "GET", "/v1/admin/services",
               &AdminHandlers::onListServices);
  addProtected(Server, "GET", Service, &AdminHandlers::onGetService);
  addProtected(Server, "PUT", Service, &AdminHandlers::onApplyService);
  addProtected(Server, "DELETE", Service, &AdminHandlers::onDeleteService);
  addProtected(Server, "GET", "/v1/admin/targets",
               &AdminHandlers::onListTargets);
  addProtected(Server, "POST", "/v1/admin/drain", &AdminHandlers::onDrain);
  addProtected(Server, "GET", "/v1/admin/burn", &AdminHandlers::onBurn);
  addProtected(Server, "PUT", "/v1/admin/log-level",
               &AdminHandlers::onLogLevel);
  Server.route("GET", "/metrics",
               [this](const HttpRequest &) { return onMetrics(); });
  Server.route("GET", "/healthz", [](const HttpRequest &) {
    return jsonReply({{"ok", true}});
  });
  Server.route("GET", "/readyz",
               [this](const HttpRequest &) { return onReady(); });
}

void AdminHandlers::addProtected(transport::HttpServer &Server,
                                 std::string_view Method,
                                 const std::string &Pattern,
                                 Handler OnRequest) {
  Server.route(Method, Pattern, [this, OnRequest](const HttpRequest &Request) {
    if (!isOperator(Request))
      return problemReply(401, "unauthenticated",
                          "the operator key is required");
    return (this->*OnRequest)(Request);
  });
}

bool AdminHandlers::isOperator(const HttpRequest &Request) const {
  constexpr std::string_view Scheme = "Bearer ";
  std::string Header = Request.Headers_.get("Authorization");
  if (!Header.starts_with(Scheme))
    return false;
  std::string Digest =
      sha256Hex(std::string_view(Header).substr(Scheme.size()));
  return equalsConstantTime(Digest, Dependencies_.Settings_.OperatorKeyDigest_);
}

std::string AdminHandlers::hostState() const {
  if (Dependencies_.Gate_.phase() == coordination::ServingPhase::Serving &&
      Dependencies_.IsIsolated_())
    return "isolated";
  return toString(Dependencies_.Gate_.phase());
}

bool AdminHandlers::isKeyValueReachable() {
  auto RangeResult = capture([&] {
    return Dependencies_.Store_.range("/amaranth/", false, ReachabilityTimeout);
  });
  return static_cast<bool>(RangeResult);
}

HttpReply AdminHandlers::onStatus(const HttpRequest &) {
  protocol::Member Self = Dependencies_.Members_.self();
  return jsonReply({{"host", Self.Host_},
                    {"data_centre", Self.DataCentre_},
                    {"incarnation", Self.Incarnation_},
                    {"state", hostState()},
                    {"in_flight", Dependencies_.Gate_.inFlight()},
                    {"members", membersJson(Dependencies_.Members_.members())},
                    {"services", servicesJson(Dependencies_.Documents_.all())},
                    {"key_value",
                     {{"reachable", isKeyValueReachable()},
                      {"calls", Dependencies_.KeyValueCalls_.counts()}}}});
}

HttpReply AdminHandlers::onListServices(const HttpRequest &) {
  return jsonReply(
      {{"services", servicesJson(Dependencies_.Documents_.all())}});
}

HttpReply AdminHandlers::onGetService(const HttpRequest &Request) {
  state::StoredDocument Document =
      Dependencies_.Documents_.stored(Request.PathParameters_.at(0));
  if (Document.Revision_ == 0)
    return problemReply(404, "no-such-service", "no document has this name");
  return jsonReply({{"name", Document.Name_},
                    {"revision", Document.Revision_},
                    {"change_id", Document.ChangeId_},
                    {"deleted", Document.Deleted_},
                    {"document", Document.Text_}});
}

HttpReply AdminHandlers::onApplyService(const HttpRequest &Request) {
  state::DocumentReadResult ParseResult =
      state::readServiceDocument(Request.Body_);
  if (!ParseResult.Document_)
    return jsonReply(faultsJson(ParseResult.Faults_), 422);
  const std::string &Name = Request.PathParameters_.at(0);
  if (ParseResult.Document_->Name_ != Name)
    return jsonReply(
        faultsJson({{1, "name", ParseResult.Document_->Name_, Name}}), 422);
  return changeDocument(Request, coordination::applyDocument);
}

HttpReply AdminHandlers::onDeleteService(const HttpRequest &Request) {
  return changeDocument(Request, coordination::deleteDocument);
}

HttpReply AdminHandlers::changeDocument(const HttpRequest &Request,
                                        DocumentWriter Write) {
  auto ExpectedRevision = readRevision(Request.Headers_.get("If-Match"));
  std::string ChangeId = Request.Headers_.get("Change-Id");
  if (!ExpectedRevision || ChangeId.empty())
    return problemReply(400, "bad-request",
                        "If-Match (a revision, 0 to create) and Change-Id are "
                        "required");
  coordination::DocumentChange Change;
  Change.Name_ = Request.PathParameters_.at(0);
  Change.ExpectedRevision_ = *ExpectedRevision;
  Change.ChangeId_ = ChangeId;
  Change.Text_ = Request.Body_;
  auto Outcome = capture(
      [&] { return Write(Dependencies_.Store_, Change, ChangeTimeout); });
  if (!Outcome)
    return changeFailureReply(Outcome.error());
  const state::StoredDocument &Current = Outcome->Current_;
  if (!Outcome->Applied_)
    return jsonReply({{"revision", Current.Revision_},
                      {"deleted", Current.Deleted_},
                      {"document", Current.Text_}},
                     409);
  Dependencies_.PublishDocument_(Current);
  LogEvent(LogLevel::Info, "document_changed")
      .field("service", Current.Name_)
      .field("revision", Current.Revision_)
      .field("change", ChangeId);
  return jsonReply({{"name", Current.Name_}, {"revision", Current.Revision_}});
}

HttpReply AdminHandlers::onListTargets(const HttpRequest &) {
  std::map<std::string, coordination::TargetView> ViewsByAddress;
  for (const coordination::TargetView &View : Dependencies_.Targets_.view())
    ViewsByAddress[View.Address_] = View;
  Json List = Json::array();
  for (const auto &Service : Dependencies_.Documents_.services())
    for (const state::Target &Target : Service->Targets_)
      List.push_back(
          targetJson(Service->Name_, Target, ViewsByAddress[Target.Address_]));
  return jsonReply({{"targets", List}});
}

HttpReply AdminHandlers::onDrain(const HttpRequest &) {
  LogEvent(LogLevel::Info, "drain_requested").field("by", "operator");
  Dependencies_.RequestDrain_();
  return jsonReply({{"state", "draining"}}, 202);
}

HttpReply AdminHandlers::onBurn(const HttpRequest &) {
  HttpReply Reply;
  Reply.Body_ = toJson(Dependencies_.BurnReport_.summary(SteadyClock::now()));
  return Reply;
}

HttpReply AdminHandlers::onLogLevel(const HttpRequest &Request) {
  Json Body = Json::parse(Request.Body_, nullptr, false);
  bool HasLevel =
      Body.is_object() && Body.contains("level") && Body["level"].is_string();
  if (!HasLevel)
    return problemReply(400, "bad-request", "\"level\" must be a string");
  auto Level =
      capture([&] { return parseLogLevel(Body["level"].get<std::string>()); });
  if (!Level)
    return problemReply(400, "bad-request", Level.error().Message_);
  setLogLevel(*Level);
  return jsonReply({{"level", Body["level"]}});
}

HttpReply AdminHandlers::onMetrics() {
  Dependencies_.Metrics_.gauge("amaranth_in_flight")
      .set(Dependencies_.Gate_.inFlight());
  HttpReply Reply;
  Reply.ContentType_ = "text/plain; version=0.0.4";
  Reply.Body_ = Dependencies_.Metrics_.exportText();
  return Reply;
}

HttpReply AdminHandlers::onReady() {
  bool Ready = hostState() == "serving";
  return jsonReply({{"ready", Ready}, {"state", hostState()}},
                   Ready ? 200 : 503);
}

} // namespace amaranth::daemon
