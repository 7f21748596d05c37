#include "Integration/FleetWorkload.h"

#include "Standin/DeterministicText.h"
#include "Support/Digest.h"

#include <algorithm>
#include <stdexcept>

namespace amaranth::integration {

using Json = nlohmann::json;

namespace {

constexpr std::size_t OrderTargets = 2;
constexpr std::size_t Engines = 4;
constexpr int StreamTokens = 40;

} // namespace

FleetHarnessSettings
FleetWorkload::harnessSettings(const FleetWorkloadSettings &Settings) {
  FleetHarnessSettings Made;
  Made.FurtherKeys_ = "entry_host_keep_ms = " +
                      std::to_string(Settings.EntryHostKeep_.count()) + "\n";
  return Made;
}

FleetWorkload::FleetWorkload(const FleetWorkloadSettings &Settings)
    : Settings_(Settings),
      Orders_("service", {"--service-us=5000"}, OrderTargets),
      Engines_("engine", {"--token-us=5000", "--slots=64", "--model=writer"},
               Engines),
      Fleet_(harnessSettings(Settings)) {
  std::uint64_t First = Fleet_.mustApply(
      0, Plain, 0,
      FleetHarness::plainService(Plain, reachable(Orders_, OrderTargets)));
  std::uint64_t Second = Fleet_.mustApply(
      0, Streams, 0,
      FleetHarness::pipeline(Streams, reachable(Engines_, Engines)));
  if (!Fleet_.inForce(Plain, First) || !Fleet_.inForce(Streams, Second))
    throw std::runtime_error("the documents are not in force");
}

std::vector<std::string> FleetWorkload::reachable(const StandinProcess &Targets,
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
  for (std::size_t I = 0; I < OrderTargets; ++I) {
    const Json Effects = Orders_.get("/standin/executions", I);
    for (const Json &Effect : Effects.at("executions"))
      if (Effect.at("name") == "place")
        ++Counts[Effect.at("order_id").get<std::string>()];
  }
  return Counts;
}

bool FleetWorkload::sessionStored(const std::string &Host) {
  const Json Dump = Fleet_.keyValue().get("/standin/keys");
  const std::string Prefix = "/amaranth/sessions/" + Host + "/";
  return std::any_of(
      Dump.at("keys").begin(), Dump.at("keys").end(), [&](const Json &Entry) {
        return Entry.at("key").get<std::string>().starts_with(Prefix);
      });
}

int FleetWorkload::freezeTargets() {
  int Frozen = 0;
  for (const auto &Proxy : Proxies_)
    Frozen +=
        Proxy->post("/standin/freeze", Json::object()).at("frozen").get<int>();
  return Frozen;
}

std::string describe(const Told &Each) {
  const FleetAnswer &Answer = Each.Answer_;
  return Each.Kind_ + " " + Each.Id_ + " told " +
         std::to_string(Answer.Status_) + " " + Answer.Body_.dump() +
         " after " + std::to_string(Answer.Failures_) +
         " failures, first: " + Answer.Failure_;
}

FleetCallers::FleetCallers(const FleetHarness &Fleet, int Callers) {
  for (int I = 0; I < Callers; ++I) {
    std::vector<std::string> Addresses = Fleet.addresses();
    // Callers ask different hosts first.
    std::rotate(Addresses.begin(),
                Addresses.begin() + I % static_cast<int>(Addresses.size()),
                Addresses.end());
    Threads_.emplace_back([this, I, Addresses] {
      run(I, FleetCaller(Addresses, FleetHarness::CallerKey));
    });
  }
}

FleetCallers::~FleetCallers() { stop(); }

std::vector<Told> FleetCallers::stop() {
  Stopping_ = true;
  for (std::thread &Each : Threads_)
    Each.join();
  Threads_.clear();
  return Told_;
}

std::size_t FleetCallers::count() {
  std::lock_guard Lock(Mutex_);
  return Told_.size();
}

void FleetCallers::run(int Caller, FleetCaller Sender) {
  for (int Round = 0; !Stopping_; ++Round) {
    Told Next;
    Next.Id_ = std::to_string(Caller) + "-" + std::to_string(Round) + "-" +
               randomHex(4);
    if (Round % 3 == 0) {
      Next.Kind_ = "look-up";
      Next.Answer_ = Sender.lookUp(FleetWorkload::Plain, Next.Id_);
    } else if (Round % 3 == 1) {
      Next.Kind_ = "place";
      Next.Answer_ = Sender.place(FleetWorkload::Plain, Next.Id_);
    } else {
      Next.Kind_ = "stream";
      std::string Input = "verse " + Next.Id_;
      Next.Answer_ = Sender.stream(FleetWorkload::Streams, Input, StreamTokens);
      if (Next.Answer_.Text_ !=
          standin::DeterministicText(Input).text(StreamTokens))
        Next.Answer_.Ok_ = false;
    }
    std::lock_guard Lock(Mutex_);
    Told_.push_back(std::move(Next));
  }
}

} // namespace amaranth::integration
