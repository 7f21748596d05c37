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
  for (const auto &[Negated, Index] : Ranked)
    Results.push_back({{"index", Index}, {"relevance_score", -Negated}});
  return {{"results", Results}};
}

} // namespace

PoolStandin::PoolStandin(const PoolSettings &Settings)
    : Settings_(Settings), Server_(Settings.Server_), Faults_(Server_),
      Slots_(Settings.Slots_, Server_.interruption()),
      Load_(Settings.LoadLag_, sample()) {
  addStage("/v1/embeddings", "embeddings", embed);
  addStage("/v1/retrieve", "retrieve", retrieve);
  addStage("/v1/rerank", "rerank", rerank);
  Server_.route("GET", "/v1/load", "load", [this](StandinCall &) {
    Load_.record(sample());
    return jsonReply(200, Load_.report());
  });
}

PoolStandin::~PoolStandin() { stop(); }

Result<void> PoolStandin::start() { return Server_.start(); }

std::vector<Announcement> PoolStandin::announcements() const {
  return {{"pool", Server_.port()}};
}

void PoolStandin::stop() { Server_.stop(); }

void PoolStandin::addStage(const std::string &Path, const std::string &Kind,
                           Compute Function) {
  Server_.route("POST", Path, Kind,
                [this, Function = std::move(Function)](StandinCall &Call) {
                  return run(Call, Function);
                });
}

HttpReply PoolStandin::run(StandinCall &Call, const Compute &Function) {
  HttpReply Reply;
  if (Faults_.intercept(Call, Reply))
    return Reply;
  Json Answer = Function(Call.Body_);
  changeWork(1);
  bool Served = serve(Call.Connection_);
  changeWork(-1);
  if (Served)
    return jsonReply(200, Answer);
  Call.Connection_.cut();
  return errorReply(503, "cancelled");
}

/// Waits for a slot and the service time; false if the client left.
bool PoolStandin::serve(Connection &Client) {
  if (!Slots_.acquire(0, [&] { return Client.closed(); }))
    return false;
  SlotGuard Slot(Slots_);
  auto Time = std::chrono::duration_cast<Microseconds>(Settings_.ServiceTime_ *
                                                       Faults_.slowFactor());
  return Server_.interruption().sleepUntil(SteadyClock::now() + Time);
}

void PoolStandin::changeWork(std::int64_t Calls) {
  Work_ += Calls;
  Load_.record(sample());
}

LoadSample PoolStandin::sample() const {
  LoadSample Sample;
  Sample.QueuedTokens_ = Work_;
  Sample.Running_ = Slots_.running();
  std::chrono::duration<double> Time =
      Settings_.ServiceTime_ * Faults_.slowFactor();
  Sample.TokensPerSecond_ =
      Time.count() > 0 ? Settings_.Slots_ / Time.count() : 1e9;
  Sample.Leaving_ = Faults_.leaving();
  return Sample;
}

} // namespace amaranth::standin
