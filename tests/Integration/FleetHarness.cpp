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

constexpr Seconds JoinLimit{30};

/// Enough for the pooled and waiting connections of a whole fleet.
constexpr const char *KeyValueConnections = "--max-connections=1024";

HttpHeaders changeHeaders(std::uint64_t Revision, const std::string &ChangeId) {
  HttpHeaders Headers;
  Headers.add("If-Match", std::to_string(Revision));
  Headers.add("Change-Id", ChangeId);
  return Headers;
}

std::string quoted(const std::string &Text) { return '"' + Text + '"'; }

std::string targetName(std::size_t I) {
  return quoted("target-" + std::to_string(I));
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
              "\naddress = " + quoted(Targets[I]) +
              "\ndata_centre = \"dc-0\"\nreports_load = " +
              (ReportsLoad ? "true\n" : "false\n");
  return Tables;
}

std::string head(const std::string &Name) {
  return "name = " + quoted(Name) +
         "\ndeadline_ms = 20000\nallow_volatile = false\n[objective]\n"
         "attainment = 0.99\nshort_p99_ms = 500\n";
}

std::string accountTable() {
  return "[[account]]\nname = \"caller\"\nkey_digest = " +
         quoted(sha256Hex(FleetHarness::CallerKey)) +
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
  if (!eventually([this] { return joined(); }, JoinLimit))
    throw std::runtime_error("the daemons did not find each other");
}

bool FleetHarness::joined() const {
  for (std::size_t I = 0; I < size(); ++I) {
    if (!ready(I))
      return false;
    for (std::size_t Other = 0; Other < size(); ++Other)
      if (memberStatus(I, "host-" + std::to_string(Other)) != "alive")
        return false;
  }
  return true;
}

DaemonProcessSettings FleetHarness::daemonSettings(std::size_t I) const {
  DaemonProcessSettings Made;
  Made.Host_ = "host-" + std::to_string(I);
  Made.DataCentre_ =
      "dc-" +
      std::to_string(I % static_cast<std::size_t>(Settings_.DataCentres_));
  for (const auto &Other : Daemons_)
    Made.Seeds_.push_back(Other->peerAddress());
  Made.KeyValueEndpoints_ = {KeyValue_.address()};
  if (Settings_.HostList_)
    Made.HostListAddress_ = KeyValue_.address();
  Made.OperatorKeyDigest_ = sha256Hex(OperatorKey);
  Made.FurtherKeys_ = Settings_.FurtherKeys_;
  return Made;
}

std::size_t FleetHarness::addDaemon(const DaemonProcessSettings &Settings) {
  DaemonProcessSettings Made = Settings;
  if (Settings_.ProxyKeyValue_) {
    Proxies_.push_back(std::make_unique<StandinProcess>(
        "proxy", std::vector<std::string>{"--to=" + KeyValue_.address()}));
    Made.KeyValueEndpoints_ = {Proxies_.back()->address()};
  }
  Daemons_.push_back(std::make_unique<DaemonProcess>(Made));
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
                               const HttpHeaders &Further,
                               Milliseconds Limit) const {
  HttpClient Client({});
  HttpCall Call;
  Call.Address_ = Daemons_.at(I)->callerAddress();
  Call.Method_ = Method;
  Call.Path_ = Path;
  Call.Headers_ = Further;
  if (!Key.empty())
    Call.Headers_.add("Authorization", "Bearer " + Key);
  Call.Body_ = Body;
  Call.Deadline_ = SteadyClock::now() + Limit;
  Call.ProgressTimeout_ = Limit;
  return Client.call(Call);
}

Json FleetHarness::inspect(std::size_t I, const std::string &Path) const {
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

std::uint64_t FleetHarness::mustApply(std::size_t I, const std::string &Service,
                                      std::uint64_t Revision,
                                      const std::string &Document) const {
  HttpOutcome Outcome =
      apply(I, Service, Revision, Document, "change-" + randomHex(8));
  if (!Outcome.Ok_ || Outcome.Reply_.Status_ != 200)
    throw std::runtime_error("apply failed: " + Outcome.Reply_.Body_);
  return Json::parse(Outcome.Reply_.Body_).at("revision");
}

std::uint64_t FleetHarness::revisionAt(std::size_t I,
                                       const std::string &Service) const {
  Json Document = inspect(I, "/v1/admin/services/" + Service);
  return Document.is_null() ? 0 : Document.at("revision").get<std::uint64_t>();
}

bool FleetHarness::inForce(const std::string &Service, std::uint64_t Wanted,
                           std::vector<std::size_t> Among,
                           Milliseconds Limit) const {
  if (Among.empty()) {
    Among.resize(size());
    std::iota(Among.begin(), Among.end(), std::size_t{0});
  }
  return eventually(
      [&] {
        return std::all_of(Among.begin(), Among.end(), [&](std::size_t I) {
          return revisionAt(I, Service) == Wanted;
        });
      },
      Limit);
}

HttpOutcome FleetHarness::submit(std::size_t I, const std::string &Service,
                                 const Json &Body, const HttpHeaders &Further,
                                 Milliseconds Limit) const {
  return call(I, "POST", "/v1/services/" + Service + "/requests", CallerKey,
              Body.dump(), Further, Limit);
}

bool FleetHarness::ready(std::size_t I) const {
  HttpOutcome Outcome = call(I, "GET", "/readyz", "");
  return Outcome.Ok_ && Outcome.Reply_.Status_ == 200;
}

std::string FleetHarness::memberStatus(std::size_t I,
                                       const std::string &Host) const {
  Json Status = inspect(I, "/v1/admin/status");
  if (Status.is_null())
    return "";
  for (const Json &Member : Status.at("members"))
    if (Member.at("host") == Host)
      return Member.at("status");
  return "";
}

std::string FleetHarness::plainService(const std::string &Name,
                                       const std::vector<std::string> &Targets,
                                       bool ReportsLoad) {
  std::string Calls;
  for (const char *Call : {"look-up", "place"})
    Calls += "[[call]]\nname = " + quoted(Call) + "\nidempotent = " +
             (std::string(Call) == "look-up" ? "true" : "false") +
             "\ntargets = " + targetNames(Targets) + "\n";
  return head(Name) + Calls + targetTables(Targets, ReportsLoad) +
         accountTable();
}

std::string FleetHarness::pipeline(const std::string &Name,
                                   const std::vector<std::string> &Engines) {
  return head(Name) +
         "[[stage]]\nname = \"generate\"\nkind = \"generate\"\n"
         "model = \"writer\"\ntargets = " +
         targetNames(Engines) + "\n" + targetTables(Engines, true) +
         accountTable();
}

std::vector<std::string> FleetHarness::addresses() const {
  std::vector<std::string> Addresses;
  for (const auto &Each : Daemons_)
    Addresses.push_back(Each->callerAddress());
  return Addresses;
}

} // namespace amaranth::integration
