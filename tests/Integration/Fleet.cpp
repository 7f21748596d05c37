#include "Integration/Fleet.h"

#include "Integration/Eventually.h"
#include "Support/Digest.h"

#include <sstream>
#include <stdexcept>

namespace amaranth::integration {

using Json = nlohmann::json;

namespace {

const std::string OperatorKey = "operator-key";
constexpr Seconds AdminTimeout{15};

transport::HttpOutcome callAdmin(const std::string &Address,
                                 const std::string &Method,
                                 const std::string &Path,
                                 const std::string &Body = "") {
  transport::HttpClient Client({});
  transport::HttpCall Call;
  Call.Address_ = Address;
  Call.Method_ = Method;
  Call.Path_ = Path;
  Call.Headers_.add("Authorization", "Bearer " + OperatorKey);
  if (Method == "PUT") {
    Call.Headers_.add("If-Match", "0");
    Call.Headers_.add("Change-Id", randomHex(8));
  }
  Call.Body_ = Body;
  Call.Deadline_ = SteadyClock::now() + AdminTimeout;
  Call.ProgressTimeout_ = AdminTimeout;
  return Client.call(Call);
}

bool returnsOk(const std::string &Address, const std::string &Path) {
  auto Outcome = callAdmin(Address, "GET", Path);
  return Outcome.Ok_ && Outcome.Reply_.Status_ == 200;
}

std::string targetName(std::size_t Index) {
  return "target-" + std::to_string(Index + 1);
}

void writeTargetList(std::ostream &Text,
                     const std::vector<std::string> &Addresses) {
  Text << "targets = [";
  for (std::size_t I = 0; I < Addresses.size(); ++I)
    Text << '"' << targetName(I) << "\", ";
  Text << "]\n\n";
}

void writeTargets(std::ostream &Text,
                  const std::vector<std::string> &Addresses) {
  for (std::size_t I = 0; I < Addresses.size(); ++I)
    Text << "[[target]]\nname = \"" << targetName(I) << "\"\naddress = \""
         << Addresses[I] << "\"\ndata_centre = \"dc-1\"\n"
         << "reports_load = false\n\n";
}

void writeAccounts(std::ostream &Text) {
  for (const std::string &Account : FleetAccounts)
    Text << "[[account]]\nname = \"" << Account << "\"\nkey_digest = \""
         << sha256Hex(Account + "-key")
         << "\"\nrequests_per_second = 10000\n\n";
}

} // namespace

Fleet::Fleet(const FleetSettings &Settings)
    : Settings_(Settings), KeyValue_("kv"),
      Daemons_(static_cast<std::size_t>(Settings.Daemons_)) {
  std::vector<std::size_t> All;
  for (std::size_t I = 0; I < size(); ++I) {
    start(I);
    All.push_back(I);
  }
  for (std::size_t I : All) {
    waitReady(I);
    waitMemberStatus(All, I, "alive");
  }
}

std::string Fleet::hostName(std::size_t Index) {
  return "host-" + std::to_string(Index + 1);
}

void Fleet::start(std::size_t Index) {
  DaemonProcessSettings Daemon;
  Daemon.Host_ = hostName(Index);
  for (const auto &Other : Daemons_)
    if (Other)
      Daemon.Seeds_.push_back(Other->peerAddress());
  Daemon.KeyValueEndpoints_ = {KeyValue_.address()};
  Daemon.OperatorKeyDigest_ = sha256Hex(OperatorKey);
  Daemon.ExtraSettings_ = Settings_.ExtraDaemonSettings_;
  Daemons_.at(Index) = std::make_unique<DaemonProcess>(Daemon);
}

void Fleet::waitReady(std::size_t Index) {
  if (!eventually(
          [&] { return returnsOk(daemon(Index).callerAddress(), "/readyz"); }))
    throw std::runtime_error(hostName(Index) +
                             " did not answer 200 on /readyz within 30 s");
}

void Fleet::kill(std::size_t Index) {
  daemon(Index).process().kill();
  if (!daemon(Index).process().waitExit(Seconds{20}))
    throw std::runtime_error(hostName(Index) +
                             " still runs 20 s after SIGKILL");
}

void Fleet::restart(std::size_t Index,
                    const std::vector<std::size_t> &Running) {
  Daemons_.at(Index).reset();
  start(Index);
  waitReady(Index);
  waitMemberStatus(Running, Index, "alive");
}

Json Fleet::operatorStatus(std::size_t Index) {
  auto Outcome =
      callAdmin(daemon(Index).callerAddress(), "GET", "/v1/admin/status");
  if (!Outcome.Ok_ || Outcome.Reply_.Status_ != 200)
    throw std::runtime_error("GET /v1/admin/status failed at " +
                             hostName(Index));
  return Json::parse(Outcome.Reply_.Body_);
}

void Fleet::waitMemberStatus(const std::vector<std::size_t> &Observers,
                             std::size_t Host, const std::string &Status) {
  for (std::size_t Observer : Observers) {
    auto IsListed = [&] {
      Json Report = operatorStatus(Observer);
      for (const Json &Member : Report["members"])
        if (Member["host"] == hostName(Host))
          return Member["status"] == Status;
      return Observer == Host;
    };
    if (!eventually(IsListed))
      throw std::runtime_error(hostName(Observer) +
                               " did not within 30 s list " + hostName(Host) +
                               " as " + Status);
  }
}

std::size_t Fleet::countKeys(const std::string &Prefix) {
  std::size_t Count = 0;
  std::string StoredKeys = KeyValue_.get("/standin/keys").dump();
  for (std::size_t Position = StoredKeys.find('"' + Prefix);
       Position != std::string::npos;
       Position = StoredKeys.find('"' + Prefix, Position + 1))
    ++Count;
  return Count;
}

void Fleet::apply(const PlainServiceSettings &Service) {
  std::ostringstream Text;
  Text << "name = \"" << Service.Name_
       << "\"\ndeadline_ms = " << Service.Deadline_.count()
       << "\nallow_volatile = " << (Service.AllowVolatile_ ? "true" : "false")
       << "\n\n[[call]]\nname = \"place\"\nidempotent = "
       << (Service.Idempotent_ ? "true" : "false") << '\n';
  writeTargetList(Text, Service.Targets_);
  writeTargets(Text, Service.Targets_);
  writeAccounts(Text);
  applyDocument(Service.Name_, Text.str());
}

void Fleet::apply(const PipelineSettings &Service) {
  std::ostringstream Text;
  Text << "name = \"" << Service.Name_
       << "\"\ndeadline_ms = " << Service.Deadline_.count()
       << "\n\n[[stage]]\nname = \"generate\"\nkind = \"generate\"\n"
       << "model = \"test-model\"\n";
  writeTargetList(Text, Service.Engines_);
  writeTargets(Text, Service.Engines_);
  writeAccounts(Text);
  applyDocument(Service.Name_, Text.str());
}

void Fleet::applyDocument(const std::string &Name, const std::string &Text) {
  std::string Path = "/v1/admin/services/" + Name;
  auto Outcome = callAdmin(daemon(0).callerAddress(), "PUT", Path, Text);
  if (!Outcome.Ok_ || Outcome.Reply_.Status_ >= 300)
    throw std::runtime_error("the daemon refused a service document: " +
                             Outcome.Reply_.Body_);
  for (const auto &Daemon : Daemons_)
    if (!eventually([&] { return returnsOk(Daemon->callerAddress(), Path); }))
      throw std::runtime_error("document " + Name +
                               " was not in use at every daemon within 30 s");
}

} // namespace amaranth::integration
