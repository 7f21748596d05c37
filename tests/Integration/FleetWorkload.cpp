#include "Integration/FleetWorkload.h"

#include "Standin/DeterministicText.h"
#include "Support/Digest.h"

#include <algorithm>
#include <stdexcept>

namespace amaranth::integration {

using Json = nlohmann::json;

namespace {

constexpr std::size_t OrderTargetCount = 2;
constexpr std::size_t EngineCount = 4;
constexpr int StreamTokens = 40;

} // namespace

FleetHarnessSettings
FleetWorkload::harnessSettings(const FleetWorkloadSettings &Settings) {
  FleetHarnessSettings Harness;
  Harness.ExtraSettings_ = "entry_host_keep_ms = " +
                           std::to_string(Settings.EntryHostValidity_.count()) +
                           "\n";
  return Harness;
}

FleetWorkload::FleetWorkload(const FleetWorkloadSettings &Settings)
    : Settings_(Settings),
      Orders_("service", {"--service-us=5000"}, OrderTargetCount),
      Engines_("engine", {"--token-us=5000", "--slots=64", "--model=writer"},
               EngineCount),
      Fleet_(harnessSettings(Settings)) {
  std::uint64_t PlainRevision = Fleet_.applyOrThrow(
      0, PlainServiceName, 0,
      FleetHarness::plainServiceDocument(
          PlainServiceName, targetAddresses(Orders_, OrderTargetCount)));
  std::uint64_t PipelineRevision = Fleet_.applyOrThrow(
      0, PipelineName, 0,
      FleetHarness::pipelineDocument(PipelineName,
                                     targetAddresses(Engines_, EngineCount)));
  if (!Fleet_.waitInForce(PlainServiceName, PlainRevision) ||
      !Fleet_.waitInForce(PipelineName, PipelineRevision))
    throw std::runtime_error(
        "the service documents were not in use at all daemons within 12 s");
}

std::vector<std::string>
FleetWorkload::targetAddresses(const StandinProcess &Targets,
                               std::size_t Count) {
  std::vector<std::string> Addresses;
  for (std::size_t I = 0; I < Count; ++I) {
    Addresses.push_back(Targets.address(I));
    if (!Settings_.ProxyTargets_)
      continue;
    Proxies_.push_back(std::make_unique<StandinProcess>(
        "proxy", std::vector<std::string>{"--to=" + Addresses.back()}));
    Addresses.back() = Proxies_.back()->address();
  }
  return Addresses;
}

std::map<std::string, int> FleetWorkload::executions() {
  std::map<std::string, int> Counts;
  for (std::size_t I = 0; I < OrderTargetCount; ++I) {
    const Json Effects = Orders_.get("/standin/executions", I);
    for (const Json &Effect : Effects.at("executions"))
      if (Effect.at("name") == "place")
        ++Counts[Effect.at("order_id").get<std::string>()];
  }
  return Counts;
}

bool FleetWorkload::sessionStored(const std::string &Host) {
  const Json StoredKeys = Fleet_.keyValue().get("/standin/keys");
  const std::string Prefix = "/amaranth/sessions/" + Host + "/";
  return std::any_of(StoredKeys.at("keys").begin(), StoredKeys.at("keys").end(),
                     [&](const Json &Entry) {
                       return Entry.at("key").get<std::string>().starts_with(
                           Prefix);
                     });
}

int FleetWorkload::freezeTargets() {
  int FrozenConnections = 0;
  for (const auto &Proxy : Proxies_)
    FrozenConnections +=
        Proxy->post("/standin/freeze", Json::object()).at("frozen").get<int>();
  return FrozenConnections;
}

std::string describe(const AnsweredRequest &Request) {
  const FleetAnswer &Answer = Request.Answer_;
  return Request.Kind_ + " " + Request.Id_ + " answered " +
         std::to_string(Answer.Status_) + " " + Answer.Body_.dump() +
         " after " + std::to_string(Answer.FailedAttempts_) +
         " failed attempts, first: " + Answer.FirstFailure_;
}

FleetCallers::FleetCallers(const FleetHarness &Fleet, int Callers) {
  for (int I = 0; I < Callers; ++I) {
    std::vector<std::string> Addresses = Fleet.addresses();
    // Callers start at different hosts.
    std::rotate(Addresses.begin(),
                Addresses.begin() + I % static_cast<int>(Addresses.size()),
                Addresses.end());
    Threads_.emplace_back([this, I, Addresses] {
      run(I, FleetCaller(Addresses, FleetHarness::CallerKey));
    });
  }
}

FleetCallers::~FleetCallers() { stop(); }

std::vector<AnsweredRequest> FleetCallers::stop() {
  Stopping_ = true;
  for (std::thread &Thread : Threads_)
    Thread.join();
  Threads_.clear();
  return AnsweredRequests_;
}

std::size_t FleetCallers::answeredCount() {
  std::lock_guard Lock(Mutex_);
  return AnsweredRequests_.size();
}

void FleetCallers::run(int CallerIndex, FleetCaller Caller) {
  for (int Round = 0; !Stopping_; ++Round) {
    AnsweredRequest Answered;
    Answered.Id_ = std::to_string(CallerIndex) + "-" + std::to_string(Round) +
                   "-" + randomHex(4);
    if (Round % 3 == 0) {
      Answered.Kind_ = "look-up";
      Answered.Answer_ =
          Caller.lookUp(FleetWorkload::PlainServiceName, Answered.Id_);
    } else if (Round % 3 == 1) {
      Answered.Kind_ = "place";
      Answered.Answer_ =
          Caller.place(FleetWorkload::PlainServiceName, Answered.Id_);
    } else {
      Answered.Kind_ = "stream";
      std::string Input = "verse " + Answered.Id_;
      Answered.Answer_ =
          Caller.stream(FleetWorkload::PipelineName, Input, StreamTokens);
      if (Answered.Answer_.Text_ !=
          standin::DeterministicText(Input).text(StreamTokens))
        Answered.Answer_.Ok_ = false;
    }
    std::lock_guard Lock(Mutex_);
    AnsweredRequests_.push_back(std::move(Answered));
  }
}

} // namespace amaranth::integration
