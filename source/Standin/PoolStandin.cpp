#include "Standin/PoolStandin.h"

#include "Standin/DeterministicRetrieval.h"

#include <algorithm>

namespace amaranth::standin {

using Json = nlohmann::json;
using transport::HttpReply;

namespace {

constexpr int DefaultTopK = 5;
constexpr int MaxTopK = 1000;

Json embed(const Json &Body) {
  const Json &Input = Body.at("input");
  Json Inputs = Input.is_array() ? Input : Json::array({Input});
  Json Data = Json::array();
  for (const Json &Text : Inputs)
    Data.push_back({{"embedding", embeddingOf(Text.get<std::string>())}});
  return {{"data", Data}};
}

Json retrieve(const Json &Body) {
  auto Embedding = Body.at("embedding").get<std::vector<double>>();
  int TopK = std::clamp(Body.value("top_k", DefaultTopK), 0, MaxTopK);
  Json Documents = Json::array();
  for (const FoundDocument &Found : documentsFor(Embedding, TopK))
    Documents.push_back(
        {{"id", Found.Id_}, {"text", Found.Text_}, {"score", Found.Score_}});
  return {{"documents", Documents}};
}

Json rerank(const Json &Body) {
  auto Query = Body.at("query").get<std::string>();
  std::vector<std::pair<double, std::size_t>> Ranked;
  for (const Json &Document : Body.at("documents"))
    Ranked.emplace_back(-relevanceOf(Query, Document.get<std::string>()),
                        Ranked.size());
  std::sort(Ranked.begin(), Ranked.end());
  std::size_t TopN = Body.value("top_n", Ranked.size());
  Ranked.resize(std::min(TopN, Ranked.size()));
  Json Results = Json::array();
  for (const auto &[NegatedScore, Index] : Ranked)
    Results.push_back({{"index", Index}, {"relevance_score", -NegatedScore}});
  return {{"results", Results}};
}

} // namespace

PoolStandin::PoolStandin(const PoolSettings &Settings)
    : Settings_(Settings), Server_(Settings.Server_), Faults_(Server_),
      Slots_(Settings.Slots_, Server_.stopSignal()),
      LoadHistory_(Settings.LoadLag_, currentLoad()) {
  addStageRoute("/v1/embeddings", "embeddings", embed);
  addStageRoute("/v1/retrieve", "retrieve", retrieve);
  addStageRoute("/v1/rerank", "rerank", rerank);
  Server_.addRoute("GET", "/v1/load", "load", [this](StandinCall &) {
    LoadHistory_.record(currentLoad());
    return jsonReply(200, LoadHistory_.report());
  });
}

PoolStandin::~PoolStandin() { stop(); }

Result<void> PoolStandin::start() { return Server_.start(); }

std::vector<Announcement> PoolStandin::announcements() const {
  return {{"pool", Server_.port()}};
}

void PoolStandin::stop() { Server_.stop(); }

void PoolStandin::addStageRoute(const std::string &Path,
                                const std::string &CounterName,
                                StageFunction Stage) {
  Server_.addRoute("POST", Path, CounterName,
                   [this, Stage = std::move(Stage)](StandinCall &Call) {
                     return handleCall(Call, Stage);
                   });
}

HttpReply PoolStandin::handleCall(StandinCall &Call,
                                  const StageFunction &Stage) {
  HttpReply Reply;
  if (Faults_.intercept(Call, Reply))
    return Reply;
  Json Answer = Stage(Call.Body_);
  addPendingCalls(1);
  bool Completed = waitForService(Call.Connection_);
  addPendingCalls(-1);
  if (Completed)
    return jsonReply(200, Answer);
  Call.Connection_.cut();
  return errorReply(503, "cancelled");
}

/// Waits for a slot and then for the service time; false if the client closed
/// the connection while waiting for the slot, or if the process stops.
bool PoolStandin::waitForService(Connection &Client) {
  if (!Slots_.acquire(0, [&] { return Client.closedByClient(); }))
    return false;
  SlotGuard Slot(Slots_);
  auto ScaledTime = std::chrono::duration_cast<Microseconds>(
      Settings_.ServiceTime_ * Faults_.slowFactor());
  return Server_.stopSignal().sleepUntil(SteadyClock::now() + ScaledTime);
}

void PoolStandin::addPendingCalls(std::int64_t Calls) {
  PendingCalls_ += Calls;
  LoadHistory_.record(currentLoad());
}

LoadSample PoolStandin::currentLoad() const {
  LoadSample Sample;
  Sample.QueuedTokens_ = PendingCalls_;
  Sample.Running_ = Slots_.running();
  std::chrono::duration<double> ServiceTime =
      Settings_.ServiceTime_ * Faults_.slowFactor();
  Sample.TokensPerSecond_ =
      ServiceTime.count() > 0 ? Settings_.Slots_ / ServiceTime.count() : 1e9;
  Sample.Leaving_ = Faults_.leaving();
  return Sample;
}

} // namespace amaranth::standin
