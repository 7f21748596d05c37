#include "Integration/FleetHarness.h"

#include "Support/Digest.h"

#include <algorithm>
#include <numeric>
#include <stdexcept>

namespace amaranth::integration {

using Json = nlohmann::json;
using transport::HttpCall;
using transport::HttpClient;
using transport::HttpHeaders;
using transport::HttpOutcome;

namespace {

constexpr Seconds JoinTimeout{30};

/// Enough for the pooled connections and the open watches of a whole fleet.
constexpr const char *KeyValueConnections = "--max-connections=1024";

HttpHeaders changeHeaders(std::uint64_t Revision, const std::string &ChangeId) {
  HttpHeaders Headers;
  Headers.add("If-Match", std::to_string(Revision));
  Headers.add("Change-Id", ChangeId);
  return Headers;
}

std::string tomlString(const std::string &Text) { return '"' + Text + '"'; }

std::string targetName(std::size_t I) {
  return tomlString("target-" + std::to_string(I));
}

std::string targetNames(const std::vector<std::string> &Targets) {
  std::string List = "[";
  for (std::size_t I = 0; I < Targets.size(); ++I)
    List += targetName(I) + ", ";
  return List + "]";
}

std::string targetTables(const std::vector<std::string> &Targets,
                         bool ReportsLoad) {
  std::string Tables;
  for (std::size_t I = 0; I < Targets.size(); ++I)
    Tables += "[[target]]\nname = " + targetName(I) +
              "\naddress = " + tomlString(Targets[I]) +
              "\ndata_centre = \"dc-0\"\nreports_load = " +
              (ReportsLoad ? "true\n" : "false\n");
  return Tables;
}

std::string documentHead(const std::string &Name) {
  return "name = " + tomlString(Name) +
         "\ndeadline_ms = 20000\nallow_volatile = false\n[objective]\n"
         "attainment = 0.99\nshort_p99_ms = 500\n";
}

std::string accountTable() {
  return "[[account]]\nname = \"caller\"\nkey_digest = " +
         tomlString(sha256Hex(FleetHarness::CallerKey)) +
         "\nrequests_per_second = 10000\nweight = 1\n";
}

} // namespace

FleetHarness::FleetHarness(const FleetHarnessSettings &Settings)
    : Settings_(Settings),
      KeyValue_("kv", {KeyValueConnections,
                       "--host-list-lag-ms=" +
                           std::to_string(Settings.HostListLag_.count())}) {
  for (int I = 0; I < Settings_.Daemons_; ++I)
    addDaemon(daemonSettings(static_cast<std::size_t>(I)));
  if (!eventually([this] { return allJoined(); }, JoinTimeout))
    throw std::runtime_error("not all daemons were ready and listed each other "
                             "as alive within 30 s");
}

bool FleetHarness::allJoined() const {
  for (std::size_t I = 0; I < size(); ++I) {
    if (!isReady(I))
      return false;
    for (std::size_t Other = 0; Other < size(); ++Other)
      if (memberStatus(I, "host-" + std::to_string(Other)) != "alive")
        return false;
  }
  return true;
}

DaemonProcessSettings FleetHarness::daemonSettings(std::size_t I) const {
  DaemonProcessSettings Daemon;
  Daemon.Host_ = "host-" + std::to_string(I);
  Daemon.DataCentre_ =
      "dc-" +
      std::to_string(I % static_cast<std::size_t>(Settings_.DataCentres_));
  for (const auto &Other : Daemons_)
    Daemon.Seeds_.push_back(Other->peerAddress());
  Daemon.KeyValueEndpoints_ = {KeyValue_.address()};
  if (Settings_.HostList_)
    Daemon.HostListAddress_ = KeyValue_.address();
  Daemon.OperatorKeyDigest_ = sha256Hex(OperatorKey);
  Daemon.ExtraSettings_ = Settings_.ExtraSettings_;
  return Daemon;
}

std::size_t FleetHarness::addDaemon(const DaemonProcessSettings &Settings) {
  DaemonProcessSettings Daemon = Settings;
  if (Settings_.ProxyKeyValue_) {
    Proxies_.push_back(std::make_unique<StandinProcess>(
        "proxy", std::vector<std::string>{"--to=" + KeyValue_.address()}));
    Daemon.KeyValueEndpoints_ = {Proxies_.back()->address()};
  }
  Daemons_.push_back(std::make_unique<DaemonProcess>(Daemon));
  return Daemons_.size() - 1;
}

void FleetHarness::replaceDaemon(std::size_t I,
                                 const DaemonProcessSettings &Settings) {
  Daemons_.at(I).reset();
  Daemons_.at(I) = std::make_unique<DaemonProcess>(Settings);
}

HttpOutcome FleetHarness::call(std::size_t I, const std::string &Method,
                               const std::string &Path, const std::string &Key,
                               const std::string &Body,
                               const HttpHeaders &ExtraHeaders,
                               Milliseconds Timeout) const {
  HttpClient Client({});
  HttpCall Call;
  Call.Address_ = Daemons_.at(I)->callerAddress();
  Call.Method_ = Method;
  Call.Path_ = Path;
  Call.Headers_ = ExtraHeaders;
  if (!Key.empty())
    Call.Headers_.add("Authorization", "Bearer " + Key);
  Call.Body_ = Body;
  Call.Deadline_ = SteadyClock::now() + Timeout;
  Call.ProgressTimeout_ = Timeout;
  return Client.call(Call);
}

Json FleetHarness::operatorGet(std::size_t I, const std::string &Path) const {
  HttpOutcome Outcome = call(I, "GET", Path, OperatorKey);
  if (!Outcome.Ok_ || Outcome.Reply_.Status_ != 200)
    return nullptr;
  return Json::parse(Outcome.Reply_.Body_);
}

HttpOutcome FleetHarness::apply(std::size_t I, const std::string &Service,
                                std::uint64_t Revision,
                                const std::string &Document,
                                const std::string &ChangeId) const {
  return call(I, "PUT", "/v1/admin/services/" + Service, OperatorKey, Document,
              changeHeaders(Revision, ChangeId));
}

HttpOutcome FleetHarness::remove(std::size_t I, const std::string &Service,
                                 std::uint64_t Revision,
                                 const std::string &ChangeId) const {
  return call(I, "DELETE", "/v1/admin/services/" + Service, OperatorKey, "",
              changeHeaders(Revision, ChangeId));
}

std::uint64_t FleetHarness::applyOrThrow(std::size_t I,
                                         const std::string &Service,
                                         std::uint64_t Revision,
                                         const std::string &Document) const {
  HttpOutcome Outcome =
      apply(I, Service, Revision, Document, "change-" + randomHex(8));
  if (!Outcome.Ok_ || Outcome.Reply_.Status_ != 200)
    throw std::runtime_error("the daemon refused a service document: " +
                             Outcome.Reply_.Body_);
  return Json::parse(Outcome.Reply_.Body_).at("revision");
}

std::uint64_t FleetHarness::revisionAt(std::size_t I,
                                       const std::string &Service) const {
  Json Document = operatorGet(I, "/v1/admin/services/" + Service);
  return Document.is_null() ? 0 : Document.at("revision").get<std::uint64_t>();
}

bool FleetHarness::waitInForce(const std::string &Service,
                               std::uint64_t ExpectedRevision,
                               std::vector<std::size_t> DaemonIndices,
                               Milliseconds Timeout) const {
  if (DaemonIndices.empty()) {
    DaemonIndices.resize(size());
    std::iota(DaemonIndices.begin(), DaemonIndices.end(), std::size_t{0});
  }
  return eventually(
      [&] {
        return std::all_of(DaemonIndices.begin(), DaemonIndices.end(),
                           [&](std::size_t I) {
                             return revisionAt(I, Service) == ExpectedRevision;
                           });
      },
      Timeout);
}

HttpOutcome FleetHarness::submit(std::size_t I, const std::string &Service,
                                 const Json &Body,
                                 const HttpHeaders &ExtraHeaders,
                                 Milliseconds Timeout) const {
  return call(I, "POST", "/v1/services/" + Service + "/requests", CallerKey,
              Body.dump(), ExtraHeaders, Timeout);
}

bool FleetHarness::isReady(std::size_t I) const {
  HttpOutcome Outcome = call(I, "GET", "/readyz", "");
  return Outcome.Ok_ && Outcome.Reply_.Status_ == 200;
}

std::string FleetHarness::memberStatus(std::size_t I,
                                       const std::string &Host) const {
  Json Status = operatorGet(I, "/v1/admin/status");
  if (Status.is_null())
    return "";
  for (const Json &Member : Status.at("members"))
    if (Member.at("host") == Host)
      return Member.at("status");
  return "";
}

std::string
FleetHarness::plainServiceDocument(const std::string &Name,
                                   const std::vector<std::string> &Targets,
                                   bool ReportsLoad) {
  std::string Calls;
  for (const char *Call : {"look-up", "place"})
    Calls += "[[call]]\nname = " + tomlString(Call) + "\nidempotent = " +
             (std::string(Call) == "look-up" ? "true" : "false") +
             "\ntargets = " + targetNames(Targets) + "\n";
  return documentHead(Name) + Calls + targetTables(Targets, ReportsLoad) +
         accountTable();
}

std::string
FleetHarness::pipelineDocument(const std::string &Name,
                               const std::vector<std::string> &Engines) {
  return documentHead(Name) +
         "[[stage]]\nname = \"generate\"\nkind = \"generate\"\n"
         "model = \"writer\"\ntargets = " +
         targetNames(Engines) + "\n" + targetTables(Engines, true) +
         accountTable();
}

std::vector<std::string> FleetHarness::addresses() const {
  std::vector<std::string> Addresses;
  for (const auto &Daemon : Daemons_)
    Addresses.push_back(Daemon->callerAddress());
  return Addresses;
}

} // namespace amaranth::integration
