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

HttpReply problem(int Status, std::string Type, std::string Detail) {
  Problem Made;
  Made.Status_ = Status;
  Made.Type_ = Type;
  Made.Title_ = std::move(Type);
  Made.Detail_ = std::move(Detail);
  return toReply(Made);
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
  double Queued = View.Report_ ? View.Report_->QueuedWork_ : 0;
  return {{"service", Service},
          {"name", Target.Name_},
          {"address", Target.Address_},
          {"data_centre", Target.DataCentre_},
          {"status", targetStatus(View)},
          {"in_flight", View.InFlight_},
          {"queued_tokens", Queued},
          {"load_age_ms", View.Report_ ? View.ReportAge_.count() : -1},
          {"latency_ms", View.RecentPace_.count() / 1000.0}};
}

/// Longest time for a change, repetitions after lost replies included.
constexpr Milliseconds ChangeTimeout{5000};

/// Timeout of the read that shows whether the key-value service answers.
constexpr Milliseconds ReachTimeout{500};

HttpReply changeFailure(const Error &Failure) {
  if (Failure.Code_ == ErrorCode::InvalidArgument)
    return problem(400, "bad-request", Failure.Message_);
  // After an ambiguous end, repeating with the same Change-Id shows whether
  // the change took effect.
  bool Ambiguous = Failure.Code_ == ErrorCode::Ambiguous;
  Problem Made;
  Made.Status_ = 503;
  Made.Type_ = Ambiguous ? "change-ambiguous" : "key-value-unavailable";
  Made.Title_ = "The change was not confirmed";
  Made.Detail_ = Failure.Message_;
  Made.Outcome_ = Ambiguous ? protocol::OutcomeKind::Unknown
                            : protocol::OutcomeKind::NotRun;
  Made.RetryWith_ = protocol::RetryWith::SameRequest;
  return toReply(Made);
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

AdminHandlers::AdminHandlers(const AdminParts &Parts) : Parts_(Parts) {}

void AdminHandlers::install(transport::HttpServer &Server) {
  const std::string Service = "/v1/admin/services/([A-Za-z0-9_-]+)";
  addProtected(Server, "GET", "/v1/admin/status", &AdminHandlers::onStatus);
  addProtected(Server, "GET", "/v1/admin/services", &AdminHandlers::onServices);
  addProtected(Server, "GET", Service, &AdminHandlers::onService);
  addProtected(Server, "PUT", Service, &AdminHandlers::onApply);
  addProtected(Server, "DELETE", Service, &AdminHandlers::onDelete);
  addProtected(Server, "GET", "/v1/admin/targets", &AdminHandlers::onTargets);
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
                                 const std::string &Pattern, Handler Handle) {
  Server.route(Method, Pattern, [this, Handle](const HttpRequest &Request) {
    if (!isOperator(Request))
      return problem(401, "unauthenticated", "the operator key is required");
    return (this->*Handle)(Request);
  });
}

bool AdminHandlers::isOperator(const HttpRequest &Request) const {
  constexpr std::string_view Scheme = "Bearer ";
  std::string Header = Request.Headers_.get("Authorization");
  if (!Header.starts_with(Scheme))
    return false;
  std::string Digest =
      sha256Hex(std::string_view(Header).substr(Scheme.size()));
  return equalsConstantTime(Digest, Parts_.Settings_.OperatorKeyDigest_);
}

std::string AdminHandlers::serviceState() const {
  if (Parts_.Gate_.phase() == coordination::ServingPhase::Serving &&
      Parts_.Isolated_())
    return "isolated";
  return toString(Parts_.Gate_.phase());
}

bool AdminHandlers::isKeyValueReachable() {
  auto Read = capture(
      [&] { return Parts_.Store_.range("/amaranth/", false, ReachTimeout); });
  return static_cast<bool>(Read);
}

HttpReply AdminHandlers::onStatus(const HttpRequest &) {
  protocol::Member Self = Parts_.Members_.self();
  return jsonReply({{"host", Self.Host_},
                    {"data_centre", Self.DataCentre_},
                    {"incarnation", Self.Incarnation_},
                    {"state", serviceState()},
                    {"in_flight", Parts_.Gate_.inFlight()},
                    {"members", membersJson(Parts_.Members_.members())},
                    {"services", servicesJson(Parts_.Documents_.all())},
                    {"key_value",
                     {{"reachable", isKeyValueReachable()},
                      {"calls", Parts_.KeyValueCalls_.counts()}}}});
}

HttpReply AdminHandlers::onServices(const HttpRequest &) {
  return jsonReply({{"services", servicesJson(Parts_.Documents_.all())}});
}

HttpReply AdminHandlers::onService(const HttpRequest &Request) {
  state::StoredDocument Document =
      Parts_.Documents_.stored(Request.PathParameters_.at(0));
  if (Document.Revision_ == 0)
    return problem(404, "no-such-service", "no document has this name");
  return jsonReply({{"name", Document.Name_},
                    {"revision", Document.Revision_},
                    {"change_id", Document.ChangeId_},
                    {"deleted", Document.Deleted_},
                    {"document", Document.Text_}});
}

HttpReply AdminHandlers::onApply(const HttpRequest &Request) {
  state::DocumentReading Reading = state::readServiceDocument(Request.Body_);
  if (!Reading.Document_)
    return jsonReply(faultsJson(Reading.Faults_), 422);
  const std::string &Name = Request.PathParameters_.at(0);
  if (Reading.Document_->Name_ != Name)
    return jsonReply(faultsJson({{1, "name", Reading.Document_->Name_, Name}}),
                     422);
  return change(Request, coordination::applyDocument);
}

HttpReply AdminHandlers::onDelete(const HttpRequest &Request) {
  return change(Request, coordination::deleteDocument);
}

HttpReply AdminHandlers::change(const HttpRequest &Request, Writer Write) {
  auto Expected = readRevision(Request.Headers_.get("If-Match"));
  std::string ChangeId = Request.Headers_.get("Change-Id");
  if (!Expected || ChangeId.empty())
    return problem(400, "bad-request",
                   "If-Match (a revision, 0 to create) and Change-Id are "
                   "required");
  coordination::DocumentChange Change;
  Change.Name_ = Request.PathParameters_.at(0);
  Change.ExpectedRevision_ = *Expected;
  Change.ChangeId_ = ChangeId;
  Change.Text_ = Request.Body_;
  auto Outcome =
      capture([&] { return Write(Parts_.Store_, Change, ChangeTimeout); });
  if (!Outcome)
    return changeFailure(Outcome.error());
  const state::StoredDocument &Current = Outcome->Current_;
  if (!Outcome->Applied_)
    return jsonReply({{"revision", Current.Revision_},
                      {"deleted", Current.Deleted_},
                      {"document", Current.Text_}},
                     409);
  Parts_.Publish_(Current);
  LogEvent(LogLevel::Info, "document_changed")
      .field("service", Current.Name_)
      .field("revision", Current.Revision_)
      .field("change", ChangeId);
  return jsonReply({{"name", Current.Name_}, {"revision", Current.Revision_}});
}

HttpReply AdminHandlers::onTargets(const HttpRequest &) {
  std::map<std::string, coordination::TargetView> Views;
  for (const coordination::TargetView &View : Parts_.Targets_.view())
    Views[View.Address_] = View;
  Json List = Json::array();
  for (const auto &Service : Parts_.Documents_.services())
    for (const state::Target &Target : Service->Targets_)
      List.push_back(
          targetJson(Service->Name_, Target, Views[Target.Address_]));
  return jsonReply({{"targets", List}});
}

HttpReply AdminHandlers::onDrain(const HttpRequest &) {
  LogEvent(LogLevel::Info, "drain_requested").field("by", "operator");
  Parts_.RequestDrain_();
  return jsonReply({{"state", "draining"}}, 202);
}

HttpReply AdminHandlers::onBurn(const HttpRequest &) {
  HttpReply Reply;
  Reply.Body_ = toJson(Parts_.Burn_.summary(SteadyClock::now()));
  return Reply;
}

HttpReply AdminHandlers::onLogLevel(const HttpRequest &Request) {
  Json Body = Json::parse(Request.Body_, nullptr, false);
  bool HasLevel =
      Body.is_object() && Body.contains("level") && Body["level"].is_string();
  if (!HasLevel)
    return problem(400, "bad-request", "\"level\" must be a string");
  auto Level =
      capture([&] { return parseLogLevel(Body["level"].get<std::string>()); });
  if (!Level)
    return problem(400, "bad-request", Level.error().Message_);
  setLogLevel(*Level);
  return jsonReply({{"level", Body["level"]}});
}

HttpReply AdminHandlers::onMetrics() {
  Parts_.Metrics_.gauge("amaranth_in_flight").set(Parts_.Gate_.inFlight());
  HttpReply Reply;
  Reply.ContentType_ = "text/plain; version=0.0.4";
  Reply.Body_ = Parts_.Metrics_.exportText();
  return Reply;
}

HttpReply AdminHandlers::onReady() {
  bool Ready = serviceState() == "serving";
  return jsonReply({{"ready", Ready}, {"state", serviceState()}},
                   Ready ? 200 : 503);
}

} // namespace amaranth::daemon
