#include "Protocol/PoolClient.h"
#include "Protocol/PlainServiceClient.h"
#include "Transport/HttpServer.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::protocol;
using state::StageKind;

namespace {

/// Answers every path with a fixed body.
struct FixedTarget {
  explicit FixedTarget(std::string Body) : Body_(std::move(Body)) {
    Server_.route("POST", "/v1/.*",
                  [this](const transport::HttpRequest &Request) {
                    transport::HttpReply Reply;
                    std::string Echo = Request.Headers_.get("X-Request-Id");
                    Reply.Headers_.add("X-Request-Id", WrongEcho_ ? "x" : Echo);
                    Reply.Body_ = Body_;
                    return Reply;
                  });
    auto Started = capture([this] { return Server_.start(); });
    REQUIRE(Started);
  }

  StageCall call(StageKind Kind) const {
    StageCall Call;
    Call.RequestId_ = "r/0/0";
    Call.Target_.Address_ = "127.0.0.1:" + std::to_string(Server_.port());
    Call.Stage_.Kind_ = Kind;
    Call.Deadline_ = SteadyClock::now() + Seconds{20};
    return Call;
  }

  StageStatus run(StageKind Kind, PipelineData &Data) {
    return PoolClient(Http_).run(call(Kind), Data, nullptr).Status_;
  }

  std::string Body_;
  bool WrongEcho_ = false;
  transport::HttpClient Http_{{}};
  transport::HttpServer Server_{{.KeepAliveTimeout_ = Seconds{1}}};
};

} // namespace

// Guards against documents in the wrong order or with the wrong text.
TEST_CASE("each pool stage fills its part of the data") {
  PipelineData Data;
  FixedTarget Encoder(R"({"data":[{"embedding":[0.5,1]}]})");
  REQUIRE(Encoder.run(StageKind::Encode, Data) == StageStatus::Ok);
  CHECK(Data.Embedding_ == std::vector<double>{0.5, 1});
  FixedTarget Retriever(R"({"documents":[{"id":"1","text":"a","score":1},
                           {"id":"2","text":"b","score":0.5}]})");
  REQUIRE(Retriever.run(StageKind::Retrieve, Data) == StageStatus::Ok);
  FixedTarget Reranker(R"({"results":[{"index":1,"relevance_score":0.9}]})");
  REQUIRE(Reranker.run(StageKind::Rerank, Data) == StageStatus::Ok);
  REQUIRE(Data.Documents_.size() == 1);
  CHECK(Data.Documents_[0].Text_ == "b");
}

// Guards against a malformed reply being used, or changing the data.
TEST_CASE("a malformed pool reply is corrupt and changes nothing") {
  PipelineData Data;
  Data.Documents_ = {{"1", "a", 1}};
  auto CheckCorrupt = [&](StageKind Kind, const std::string &Body) {
    FixedTarget Pool(Body);
    CHECK(Pool.run(Kind, Data) == StageStatus::Corrupt);
  };
  CheckCorrupt(StageKind::Encode, R"({"data":[{"embedding":[1,"x"]}]})");
  CheckCorrupt(StageKind::Encode, R"({"data":[]})");
  CheckCorrupt(StageKind::Retrieve, R"({"documents":[{"id":"1","text":"a"}]})");
  CheckCorrupt(StageKind::Rerank,
               R"({"results":[{"index":1,"relevance_score":1}]})");
  CheckCorrupt(StageKind::Rerank,
               R"({"results":[{"index":0,"relevance_score":1},
                               {"index":0,"relevance_score":1}]})");
  CheckCorrupt(StageKind::Rerank, "not json");
  CHECK(Data.Embedding_.empty());
  REQUIRE(Data.Documents_.size() == 1);
  CHECK(Data.Documents_[0].Text_ == "a");
}

// Guards against the answer of another call being delivered.
TEST_CASE("replies to pool and plain calls must echo the request id") {
  FixedTarget Target(R"({"data":[{"embedding":[1]}]})");
  PipelineData Data;
  PlainServiceClient Plain(Target.Http_);
  PlainServiceCall Call{Target.call(StageKind::Encode), "book", "{}"};
  CHECK(Plain.run(Call).Body_ == Target.Body_);
  Target.WrongEcho_ = true;
  CHECK(Target.run(StageKind::Encode, Data) == StageStatus::NoReply);
  PlainServiceReply Reply = Plain.run(Call);
  CHECK(Reply.Reply_.Failure_ == transport::CallFailure::Mismatched);
  CHECK(Reply.Body_.empty());
  CHECK(Plain.mismatches() == 1);
}
