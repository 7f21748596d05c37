#include "Protocol/PoolClient.h"

#include "Protocol/TargetCall.h"

#include <nlohmann/json.hpp>

#include <cassert>
#include <cmath>

namespace amaranth::protocol {

using nlohmann::json;
using state::StageKind;

namespace {

std::string stagePath(StageKind Kind) {
  switch (Kind) {
  case StageKind::Encode:
    return "/v1/embeddings";
  case StageKind::Retrieve:
    return "/v1/retrieve";
  case StageKind::Rerank:
    return "/v1/rerank";
  case StageKind::Generate:
    break;
  }
  assert(false && "Generate stages run at engines");
  return {};
}

std::string requestBody(const StageCall &Call, const PipelineData &Data) {
  json Request;
  if (Call.Stage_.Kind_ == StageKind::Encode) {
    Request["model"] = Call.Stage_.Model_;
    Request["input"] = Data.Input_;
  } else if (Call.Stage_.Kind_ == StageKind::Retrieve) {
    Request["embedding"] = Data.Embedding_;
    Request["top_k"] = Call.Stage_.TopK_;
  } else {
    Request["query"] = Data.Input_;
    Request["documents"] = json::array();
    for (const RetrievedDocument &Document : Data.Documents_)
      Request["documents"].push_back(Document.Text_);
    Request["top_n"] = Call.Stage_.TopK_;
  }
  return Request.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// The array under \p Key, or null.
const json *findArray(const json &Object, const char *Key) {
  if (!Object.is_object())
    return nullptr;
  auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_array())
    return nullptr;
  return &*Found;
}

/// Reads the number under \p Key; false unless it is finite.
bool readScore(const json &Object, const char *Key, double &Score) {
  auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_number())
    return false;
  Score = Found->get<double>();
  return std::isfinite(Score);
}

bool readEmbedding(const json &Reply, PipelineData &Data) {
  const json *Rows = findArray(Reply, "data");
  if (!Rows || Rows->empty())
    return false;
  const json *Values = findArray(Rows->front(), "embedding");
  if (!Values || Values->empty())
    return false;
  std::vector<double> Embedding;
  for (const json &Value : *Values) {
    if (!Value.is_number() || !std::isfinite(Value.get<double>()))
      return false;
    Embedding.push_back(Value.get<double>());
  }
  Data.Embedding_ = std::move(Embedding);
  return true;
}

bool readDocuments(const json &Reply, PipelineData &Data) {
  const json *Rows = findArray(Reply, "documents");
  if (!Rows)
    return false;
  std::vector<RetrievedDocument> Documents;
  for (const json &Row : *Rows) {
    if (!Row.is_object() || !Row.contains("id") || !Row["id"].is_string() ||
        !Row.contains("text") || !Row["text"].is_string())
      return false;
    RetrievedDocument Document;
    Document.Id_ = Row["id"].get<std::string>();
    Document.Text_ = Row["text"].get<std::string>();
    if (!readScore(Row, "score", Document.Score_))
      return false;
    Documents.push_back(std::move(Document));
  }
  Data.Documents_ = std::move(Documents);
  return true;
}

bool readRanking(const json &Reply, PipelineData &Data) {
  const json *Rows = findArray(Reply, "results");
  if (!Rows)
    return false;
  std::vector<RetrievedDocument> Ranked;
  std::vector<bool> IsRanked(Data.Documents_.size());
  for (const json &Row : *Rows) {
    if (!Row.is_object() || !Row.contains("index") ||
        !Row["index"].is_number_unsigned())
      return false;
    auto Index = Row["index"].get<std::size_t>();
    if (Index >= IsRanked.size() || IsRanked[Index])
      return false;
    IsRanked[Index] = true;
    RetrievedDocument Document = Data.Documents_[Index];
    if (!readScore(Row, "relevance_score", Document.Score_))
      return false;
    Ranked.push_back(std::move(Document));
  }
  Data.Documents_ = std::move(Ranked);
  return true;
}

bool readReply(StageKind Kind, const std::string &Body, PipelineData &Data) {
  json Reply = json::parse(Body, nullptr, false);
  if (Kind == StageKind::Encode)
    return readEmbedding(Reply, Data);
  if (Kind == StageKind::Retrieve)
    return readDocuments(Reply, Data);
  return readRanking(Reply, Data);
}

} // namespace

PoolClient::PoolClient(transport::HttpClient &Client) : Client_(Client) {}

StageReply PoolClient::run(const StageCall &Call, PipelineData &Data,
                           TokenListener *) {
  StageKind Kind = Call.Stage_.Kind_;
  transport::HttpCall Http = detail::toHttpCall(Call, stagePath(Kind));
  Http.Body_ = requestBody(Call, Data);
  std::string Body;
  StageReply Reply = detail::exchange(Client_, Http, Mismatches_, Body);
  if (Reply.Status_ != StageStatus::Ok)
    return Reply;
  if (!readReply(Kind, Body, Data)) {
    Reply.Status_ = StageStatus::Corrupt;
    Reply.Detail_ =
        std::string("malformed reply of a stage of kind ") + toString(Kind);
  }
  return Reply;
}

} // namespace amaranth::protocol
