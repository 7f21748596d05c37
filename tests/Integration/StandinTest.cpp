#include "Integration/CompletionStream.h"
#include "Integration/Eventually.h"
#include "Integration/StandinProcess.h"
#include "Integration/WatchStream.h"
#include "Standin/DeterministicRetrieval.h"
#include "Standin/DeterministicText.h"
#include "Support/Digest.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;
using standin::DeterministicText;
using transport::CallFailure;
using transport::CancelToken;
using transport::HttpCall;
using transport::HttpClient;
using transport::HttpOutcome;
using Json = nlohmann::json;

namespace {

/// Progress timeout of calls that are expected to get no byte.
constexpr Milliseconds ShortSilenceTimeout{500};
/// Progress timeout of streams that are expected to stop after some tokens.
constexpr Milliseconds LongSilenceTimeout{2000};

Json parseBody(const HttpOutcome &Outcome) {
  REQUIRE(Outcome.Ok_);
  return Json::parse(Outcome.Reply_.Body_);
}

Json postJson(const std::string &Address, const std::string &Path,
              const Json &Body) {
  HttpOutcome Outcome = callJson(Address, "POST", Path, Body);
  REQUIRE(Outcome.Ok_);
  REQUIRE(Outcome.Reply_.Status_ == 200);
  return parseBody(Outcome);
}

HttpOutcome callBriefly(const std::string &Address, const std::string &Path,
                        const Json &Body) {
  HttpClient Client({});
  HttpCall Call;
  Call.Address_ = Address;
  Call.Path_ = Path;
  Call.Body_ = Body.dump();
  Call.Deadline_ = SteadyClock::now() + Seconds{30};
  Call.ProgressTimeout_ = ShortSilenceTimeout;
  return Client.call(Call);
}

/// Body of a put request of the key-value service.
Json putRequest(const std::string &Key, const std::string &Value) {
  return {{"key", base64Encode(Key)}, {"value", base64Encode(Value)}};
}

/// Body of a transaction that creates \p Key if it is missing and reads it
/// otherwise.
Json createTransaction(const std::string &Key, const std::string &Value) {
  Json Compare = {{"key", base64Encode(Key)},
                  {"target", "CREATE"},
                  {"result", "EQUAL"},
                  {"create_revision", "0"}};
  return {{"compare", {Compare}},
          {"success", {{{"request_put", putRequest(Key, Value)}}}},
          {"failure", {{{"request_range", {{"key", base64Encode(Key)}}}}}}};
}

Json completionRequest(const std::string &Prompt, int MaxTokens) {
  return {{"model", "m"}, {"prompt", Prompt}, {"max_tokens", MaxTokens}};
}

/// A streamed completion on a separate thread. The destructor cancels it.
class BackgroundStream final {
public:
  BackgroundStream(const std::string &Address, const Json &Body)
      : Stream_(Address, Body) {
    Stream_.Cancel_ = &Cancel_;
    Stream_.OnToken_ = [this](int) { ++Received_; };
    Thread_ = std::thread([this] { Stream_.run(); });
  }
  ~BackgroundStream() {
    Cancel_.cancel();
    join();
  }
  BackgroundStream(const BackgroundStream &) = delete;
  BackgroundStream &operator=(const BackgroundStream &) = delete;

  bool waitFirstToken() {
    return eventually([this] { return Received_ > 0; });
  }
  int received() const { return Received_; }
  void cancel() { Cancel_.cancel(); }
  void join() {
    if (Thread_.joinable())
      Thread_.join();
  }
  const CompletionStream &stream() const { return Stream_; }

private:
  CancelToken Cancel_;
  CompletionStream Stream_;
  std::atomic<int> Received_ = 0;
  std::thread Thread_;
};

} // namespace

// Guards against a stand-in that keeps running after SIGTERM.
TEST_CASE("a stand-in ends cleanly on SIGTERM") {
  StandinProcess Engine("engine", {}, 2);
  CHECK(Engine.address(0) != Engine.address(1));
  BackgroundStream Open(Engine.address(), completionRequest("open", 100000));
  REQUIRE(Open.waitFirstToken());
  Engine.process().terminate();
  auto Exit = Engine.process().waitExit(Seconds{20});
  REQUIRE(Exit);
  CHECK(Exit->Code_ == 0);
  CHECK(Exit->Signal_ == 0);
}

// Guards against a misspelt flag that is ignored, so that a test runs without
// its fault.
TEST_CASE("usage errors exit with 2 and help with 0") {
  using Arguments = std::vector<std::string>;
  auto ExitCode = [](const Arguments &Flags) {
    ChildProcess Child(
        {AMARANTH_BINARY_DIR "/amaranth-standin", Flags, "/dev/null"});
    auto Exit = Child.waitExit(Seconds{20});
    REQUIRE(Exit);
    return Exit->Code_;
  };
  CHECK(ExitCode({}) == 2);
  CHECK(ExitCode({"oven"}) == 2);
  CHECK(ExitCode({"kv", "--nope"}) == 2);
  CHECK(ExitCode({"pool", "extra"}) == 2);
  CHECK(ExitCode({"engine", "--slots=0"}) == 2);
  CHECK(ExitCode({"engine", "--count=2", "--crash-marker=X"}) == 2);
  CHECK(ExitCode({"proxy", "--to=198.51.100.1:80"}) == 2);
  CHECK(ExitCode({"service", "--help"}) == 0);
  CHECK(ExitCode({"--version"}) == 0);
}

// Guards against a misspelt fault switch that is ignored.
TEST_CASE("an unknown switch is refused and changes nothing") {
  StandinProcess Store("kv");
  HttpOutcome Outcome = callJson(Store.address(), "PUT", "/standin/switches",
                                 {{"outage", true}, {"outtage", true}});
  REQUIRE(Outcome.Ok_);
  CHECK(Outcome.Reply_.Status_ == 400);
  CHECK(Store.get("/standin/switches")["outage"] == false);
}

// Guards against a compare-and-swap that succeeds for two writers.
TEST_CASE("of concurrent creations of a key exactly one succeeds") {
  StandinProcess Store("kv");
  constexpr int Writers = 8;
  std::atomic<int> Winners = 0;
  std::vector<std::thread> Threads;
  for (int I = 0; I < Writers; ++I)
    Threads.emplace_back([&, I] {
      HttpOutcome Outcome =
          callJson(Store.address(), "POST", "/v3/kv/txn",
                   createTransaction("/claim", std::to_string(I)));
      if (Outcome.Ok_ &&
          Json::parse(Outcome.Reply_.Body_).value("succeeded", false))
        ++Winners;
    });
  for (std::thread &Thread : Threads)
    Thread.join();
  CHECK(Winners == 1);
  Json Reply = postJson(Store.address(), "/v3/kv/txn",
                        createTransaction("/claim", "late"));
  CHECK_FALSE(Reply.contains("succeeded"));
  Json Pair = Reply["responses"][0]["response_range"]["kvs"][0];
  CHECK(Pair["key"] == base64Encode("/claim"));
  CHECK(Pair["create_revision"] == "2");
  CHECK(Pair["version"] == "1");
}

// Guards against conditions on MOD and VERSION that are always true or always
// false.
TEST_CASE("a swap on the modification revision loses after another write") {
  StandinProcess Store("kv");
  postJson(Store.address(), "/v3/kv/put", putRequest("/k", "1"));
  Json Compare = {{"key", base64Encode("/k")},
                  {"target", "MOD"},
                  {"result", "EQUAL"},
                  {"mod_revision", "2"}};
  Json Version = {{"key", base64Encode("/k")},
                  {"target", "VERSION"},
                  {"result", "LESS"},
                  {"version", "2"}};
  Json Swap = {{"compare", {Compare, Version}},
               {"success", {{{"request_put", putRequest("/k", "2")}}}}};
  CHECK(postJson(Store.address(), "/v3/kv/txn", Swap)["succeeded"] == true);
  Json Second = postJson(Store.address(), "/v3/kv/txn", Swap);
  CHECK_FALSE(Second.contains("succeeded"));
  CHECK(Second["header"]["revision"] == "3");
}

// Guards against prefix reads that miss keys or return keys of other prefixes.
TEST_CASE("a range end selects the keys of a prefix") {
  StandinProcess Store("kv");
  for (const char *Key : {"/a/1", "/a/2", "/b/1"})
    postJson(Store.address(), "/v3/kv/put", putRequest(Key, "v"));
  Json Prefix = {{"key", base64Encode("/a/")},
                 {"range_end", base64Encode("/a0")}};
  Json Reply = postJson(Store.address(), "/v3/kv/range", Prefix);
  CHECK(Reply["count"] == "2");
  REQUIRE(Reply["kvs"].size() == 2);
  CHECK(Reply["kvs"][1]["key"] == base64Encode("/a/2"));
  Json Deleted = postJson(Store.address(), "/v3/kv/deleterange", Prefix);
  CHECK(Deleted["deleted"] == "2");
  CHECK(Store.get("/standin/keys")["keys"].size() == 1);
}

// Guards against keys that remain after their lease has expired.
TEST_CASE("an expired lease deletes its keys and cannot be renewed") {
  StandinProcess Store("kv");
  SteadyTime Start = SteadyClock::now();
  Json Grant = postJson(Store.address(), "/v3/lease/grant", {{"TTL", "1"}});
  Json LeasedPut = putRequest("/duty", "holder");
  LeasedPut["lease"] = Grant["ID"];
  postJson(Store.address(), "/v3/kv/put", LeasedPut);
  WatchStream Watch(Store.address(),
                    {{"key", base64Encode("/duty")}, {"start_revision", "3"}});
  auto Expiry = Watch.result(1);
  REQUIRE(Expiry);
  CHECK(SteadyClock::now() - Start >= Seconds{1});
  CHECK((*Expiry)["events"][0]["type"] == "DELETE");
  Json Renewal =
      postJson(Store.address(), "/v3/lease/keepalive", {{"ID", Grant["ID"]}});
  CHECK_FALSE(Renewal["result"].contains("TTL"));
  HttpOutcome LateWrite =
      callJson(Store.address(), "POST", "/v3/kv/put", LeasedPut);
  REQUIRE(LateWrite.Ok_);
  CHECK(LateWrite.Reply_.Status_ == 404);
}

// Guards against a renewal or revocation without effect.
TEST_CASE("a lease is renewed by keepalive and ended by revoke") {
  StandinProcess Store("kv");
  Json Grant = postJson(Store.address(), "/v3/lease/grant", {{"TTL", "60"}});
  Json LeasedPut = putRequest("/duty", "holder");
  LeasedPut["lease"] = Grant["ID"];
  postJson(Store.address(), "/v3/kv/put", LeasedPut);
  Json Renewal =
      postJson(Store.address(), "/v3/lease/keepalive", {{"ID", Grant["ID"]}});
  CHECK(Renewal["result"]["TTL"] == "60");
  postJson(Store.address(), "/v3/lease/revoke", {{"ID", Grant["ID"]}});
  CHECK(Store.get("/standin/keys")["keys"].empty());
}

// Guards against changes that are lost between a read and the following watch.
TEST_CASE("a watch replays from its start revision, then follows") {
  StandinProcess Store("kv");
  for (const char *Value : {"1", "2", "3"})
    postJson(Store.address(), "/v3/kv/put", putRequest("/w/k", Value));
  WatchStream Watch(Store.address(), {{"key", base64Encode("/w/")},
                                      {"range_end", base64Encode("/w0")},
                                      {"start_revision", "3"}});
  REQUIRE(Watch.result(0));
  CHECK((*Watch.result(0))["created"] == true);
  REQUIRE(Watch.result(2));
  CHECK((*Watch.result(1))["events"][0]["kv"]["value"] == base64Encode("2"));
  CHECK((*Watch.result(2))["events"][0]["kv"]["value"] == base64Encode("3"));
  postJson(Store.address(), "/v3/kv/put", putRequest("/x", "other prefix"));
  postJson(Store.address(), "/v3/kv/put", putRequest("/w/k", "4"));
  REQUIRE(Watch.result(3));
  CHECK((*Watch.result(3))["header"]["revision"] == "6");
  CHECK((*Watch.result(3))["events"][0]["kv"]["value"] == base64Encode("4"));
  CHECK(Store.get("/standin/counters")["watch"] == 1);
}

// Guards against an undetected gap when the start revision is compacted.
TEST_CASE("a watch from a compacted revision is cancelled") {
  StandinProcess Store("kv", {"--history=1"});
  for (const char *Value : {"1", "2", "3"})
    postJson(Store.address(), "/v3/kv/put", putRequest("/k", Value));
  WatchStream Watch(Store.address(),
                    {{"key", base64Encode("/k")}, {"start_revision", "2"}});
  REQUIRE(Watch.result(1));
  CHECK((*Watch.result(1))["canceled"] == true);
  CHECK((*Watch.result(1))["compact_revision"] == "4");
}

// Guards against a lost-reply fault that also drops the write, or that affects
// keys outside the prefix.
TEST_CASE("a write whose reply is lost takes effect") {
  StandinProcess Store("kv");
  Store.put("/standin/lost-replies", {{"key_prefix", "/j/"}, {"count", 1}});
  CHECK(callJson(Store.address(), "POST", "/v3/kv/put", putRequest("/x", "1"))
            .Ok_);
  HttpOutcome LostReply =
      callJson(Store.address(), "POST", "/v3/kv/put", putRequest("/j/1", "1"));
  CHECK_FALSE(LostReply.Ok_);
  CHECK(LostReply.Failure_ == CallFailure::Reset);
  CHECK(callJson(Store.address(), "POST", "/v3/kv/put", putRequest("/j/2", "1"))
            .Ok_);
  CHECK(Store.get("/standin/keys")["keys"].size() == 3);
}

// Guards against an outage fault that still applies writes or keeps watches
// open.
TEST_CASE("an outage answers 503 and ends watches") {
  StandinProcess Store("kv");
  WatchStream Watch(Store.address(), {{"key", base64Encode("/k")}});
  REQUIRE(Watch.result(0));
  Store.setSwitches({{"outage", true}});
  HttpOutcome Refused =
      callJson(Store.address(), "POST", "/v3/kv/put", putRequest("/k", "1"));
  REQUIRE(Refused.Ok_);
  CHECK(Refused.Reply_.Status_ == 503);
  CHECK(Watch.waitEnd());
  Store.setSwitches({{"outage", false}});
  CHECK(Store.get("/standin/keys")["keys"].empty());
  postJson(Store.address(), "/v3/kv/put", putRequest("/k", "1"));
}

// Guards against a hang fault that answers or applies writes late.
TEST_CASE("a hanging outage is silent and applies nothing") {
  StandinProcess Store("kv");
  Store.setSwitches({{"hang", true}});
  HttpOutcome SilentWrite =
      callBriefly(Store.address(), "/v3/kv/put", putRequest("/k", "1"));
  CHECK_FALSE(SilentWrite.Ok_);
  CHECK(SilentWrite.Failure_ == CallFailure::Silent);
  Store.setSwitches({{"hang", false}});
  CHECK(Store.get("/standin/keys")["keys"].empty());
}

// Guards against a host list without the configured lag.
TEST_CASE("the host list shows a change only after its lag") {
  StandinProcess Store("kv", {"--host-list-lag-ms=400"});
  Json List = {{"hosts", {{{"address", "127.0.0.1:1"}, {"state", "leaving"}}}}};
  SteadyTime SetAt = SteadyClock::now();
  Store.put("/v1/hosts", List);
  REQUIRE(eventually([&] { return Store.get("/v1/hosts") == List; }));
  CHECK(SteadyClock::now() - SetAt >= Milliseconds{400});
}

// Guards against a stand-in that accepts more writes than the real service
// sustains.
TEST_CASE("writes above the sustained rate wait") {
  StandinProcess Store("kv", {"--writes-per-second=20"});
  SteadyTime Start = SteadyClock::now();
  for (int I = 0; I < 6; ++I)
    postJson(Store.address(), "/v3/kv/put", putRequest("/k", "v"));
  CHECK(SteadyClock::now() - Start >= Milliseconds{250});
}

// Guards against answers that a test cannot match to their requests.
TEST_CASE("a completion is the deterministic text of its prompt") {
  StandinProcess Engine("engine", {"--token-us=500"});
  std::string Expected = DeterministicText("a prompt").text(20);
  CHECK(Expected.substr(0, 12) == sha256Hex("a prompt").substr(0, 12));
  CompletionStream Stream(Engine.address(), completionRequest("a prompt", 20));
  Stream.run();
  REQUIRE(Stream.Outcome_.Ok_);
  CHECK(Stream.Text_ == Expected);
  CHECK(Stream.ReportedTokens_ == 20);
  CHECK(Stream.Digest_ == sha256Hex(Expected));
  CHECK(Stream.Done_);
  Json Whole = postJson(Engine.address(), "/v1/completions",
                        completionRequest("a prompt", 20));
  CHECK(Whole["choices"][0]["text"] == Expected);
  Json Message = {{"role", "user"}, {"content", "a prompt"}};
  Json Chat = postJson(Engine.address(), "/v1/chat/completions",
                       {{"messages", {Message}}, {"max_tokens", 20}});
  CHECK(Chat["choices"][0]["message"]["content"] == Expected);
}

// Guards against duplicated or lost tokens when another engine resumes a
// stream.
TEST_CASE("a stream cut on one engine resumes identically on another") {
  StandinProcess Engines("engine", {"--token-us=500"}, 2);
  Engines.setSwitches({{"cut_after_tokens", 7}}, 0);
  CompletionStream First(Engines.address(0), completionRequest("resumed", 30));
  First.run();
  CHECK_FALSE(First.Outcome_.Ok_);
  CHECK(First.Outcome_.Failure_ == CallFailure::Reset);
  CHECK_FALSE(First.ReportedTokens_);
  REQUIRE(First.ReceivedTokens_ == 7);
  Json Continuation = completionRequest("resumed", 30);
  Continuation["resume_from"] = First.ReceivedTokens_;
  CompletionStream Second(Engines.address(1), Continuation);
  Second.run();
  REQUIRE(Second.Outcome_.Ok_);
  CHECK(Second.FirstIndex_ == 7);
  std::string Whole = First.Text_ + Second.Text_;
  CHECK(Whole == DeterministicText("resumed").text(30));
  CHECK(Second.ReportedTokens_ == 30);
  CHECK(Second.Digest_ == sha256Hex(Whole));
}

// Guards against a silent-stream fault that closes the connection.
TEST_CASE("a stream stays silent after the set number of tokens") {
  StandinProcess Engine("engine", {"--token-us=500"});
  Engine.setSwitches({{"silent_after_tokens", 3}});
  CompletionStream Stream(Engine.address(), completionRequest("silent", 30));
  Stream.ProgressTimeout_ = LongSilenceTimeout;
  Stream.run();
  CHECK(Stream.ReceivedTokens_ == 3);
  CHECK(Stream.Outcome_.Failure_ == CallFailure::Silent);
}

// Guards against work that continues after its client has disconnected.
TEST_CASE("a disconnect cancels running and queued completions") {
  StandinProcess Engine("engine", {"--slots=1", "--token-us=2000"});
  BackgroundStream RunningStream(Engine.address(),
                                 completionRequest("running", 100000));
  REQUIRE(RunningStream.waitFirstToken());
  BackgroundStream QueuedStream(Engine.address(),
                                completionRequest("queued", 10));
  REQUIRE(
      eventually([&] { return Engine.get("/standin/state")["queued"] == 1; }));
  QueuedStream.cancel();
  REQUIRE(eventually(
      [&] { return Engine.get("/standin/state")["cancelled"] == 1; }));
  RunningStream.cancel();
  REQUIRE(eventually(
      [&] { return Engine.get("/standin/state")["cancelled"] == 2; }));
  CHECK(Engine.get("/standin/state")["running"] == 0);
  CHECK(Engine.get("/v1/load")["queued_tokens"] == 0);
}

// Guards against an engine that catches up after a pause with a burst of
// tokens, which would hide the pause from its clients.
TEST_CASE("a paused engine continues at its pace") {
  constexpr int Tokens = 400;
  constexpr Milliseconds TokenTime{2};
  StandinProcess Engine("engine", {"--token-us=2000"});
  BackgroundStream RunningStream(Engine.address(),
                                 completionRequest("paused", Tokens));
  REQUIRE(RunningStream.waitFirstToken());
  Engine.process().stop();
  // The sleep sets the length of the pause; it does not wait for a result.
  SteadyTime ResumedAt = SteadyClock::now() + Milliseconds{700};
  std::this_thread::sleep_until(ResumedAt);
  int RemainingTokens = Tokens - RunningStream.received();
  Engine.process().resume();
  RunningStream.join();
  CHECK(RunningStream.stream().Done_);
  Milliseconds Tolerance{100};
  CHECK(SteadyClock::now() - ResumedAt >=
        RemainingTokens * TokenTime - Tolerance);
}

// Guards against an engine queue that ignores priorities.
TEST_CASE("a higher priority leaves the queue first") {
  StandinProcess Engine("engine", {"--slots=1", "--token-us=1000"});
  BackgroundStream RunningStream(Engine.address(),
                                 completionRequest("running", 100000));
  REQUIRE(RunningStream.waitFirstToken());
  Json Low = completionRequest("low", 100000);
  Low["priority"] = 1;
  Json High = completionRequest("high", 10);
  High["priority"] = 5;
  BackgroundStream LowPriority(Engine.address(), Low);
  REQUIRE(
      eventually([&] { return Engine.get("/standin/state")["queued"] == 1; }));
  BackgroundStream HighPriority(Engine.address(), High);
  REQUIRE(
      eventually([&] { return Engine.get("/standin/state")["queued"] == 2; }));
  RunningStream.cancel();
  HighPriority.join();
  CHECK(HighPriority.stream().Done_);
  CHECK_FALSE(LowPriority.stream().Done_);
}

// Guards against a prefix cache that does not shorten the prefill.
TEST_CASE("a cached prefix shortens the prefill") {
  StandinProcess Engine("engine", {"--token-us=100", "--prefill-us=2000"});
  std::string Prompt(1600, 'p');
  auto MeasureCompletion = [&] {
    SteadyTime Start = SteadyClock::now();
    postJson(Engine.address(), "/v1/completions", completionRequest(Prompt, 1));
    return SteadyClock::now() - Start;
  };
  auto ColdDuration = MeasureCompletion();
  auto WarmDuration = MeasureCompletion();
  CHECK(ColdDuration >= Milliseconds{800});
  CHECK(WarmDuration < ColdDuration / 2);
}

// Guards against load reports that have no lag or never show the work.
TEST_CASE("a load report shows work only after its lag") {
  StandinProcess Engine("engine", {"--load-lag-ms=500", "--token-us=2000"});
  SteadyTime Start = SteadyClock::now();
  BackgroundStream RunningStream(Engine.address(),
                                 completionRequest("load", 100000));
  REQUIRE(eventually([&] { return Engine.get("/v1/load")["running"] == 1; }));
  CHECK(SteadyClock::now() - Start >= Milliseconds{500});
  CHECK(Engine.get("/v1/load")["queued_tokens"] > 0);
  CHECK(Engine.get("/v1/load")["age_ms"] == 500);
}

// Guards against stale orders that are applied with fencing checks on, or
// refused with fencing checks off.
TEST_CASE("fencing numbers are checked or ignored by flag") {
  StandinProcess Strict("engine", {"--check-fencing"});
  StandinProcess Lax("engine");
  Json NewOrder = {{"fencing", 5}, {"model", "new"}, {"role", "generate"}};
  Json OldOrder = {{"fencing", 4}, {"model", "old"}, {"role", "generate"}};
  for (StandinProcess *Engine : {&Strict, &Lax})
    Engine->post("/v1/admin/orders", NewOrder);
  HttpOutcome Refused =
      callJson(Strict.address(), "POST", "/v1/admin/orders", OldOrder);
  REQUIRE(Refused.Ok_);
  CHECK(Refused.Reply_.Status_ == 409);
  Lax.post("/v1/admin/orders", OldOrder);
  CHECK(Strict.get("/v1/admin/state")["model"] == "new");
  CHECK(Lax.get("/v1/admin/state")["model"] == "old");
  Json Orders = Strict.get("/standin/orders")["orders"];
  REQUIRE(Orders.size() == 2);
  CHECK(Orders[1]["accepted"] == false);
}

// Guards against a simulated crash that does not abort the engine's other
// requests.
TEST_CASE("a marked prompt crashes the engine") {
  StandinProcess Engine("engine", {"--crash-marker=BOOM"});
  BackgroundStream OtherStream(Engine.address(),
                               completionRequest("unrelated", 100000));
  REQUIRE(OtherStream.waitFirstToken());
  CompletionStream Marked(Engine.address(),
                          completionRequest("so BOOM it is", 5));
  Marked.run();
  CHECK(Marked.Outcome_.Failure_ == CallFailure::Reset);
  OtherStream.join();
  CHECK(OtherStream.stream().Outcome_.Failure_ == CallFailure::Reset);
  auto Exit = Engine.process().waitExit(Seconds{20});
  REQUIRE(Exit);
  CHECK(Exit->Code_ == 86);
}

// Guards against a leaving engine that accepts new work or aborts running work.
TEST_CASE("a leaving engine refuses new work and finishes the old") {
  StandinProcess Engine("engine", {"--token-us=2000"});
  BackgroundStream RunningStream(Engine.address(),
                                 completionRequest("old", 200));
  REQUIRE(RunningStream.waitFirstToken());
  Engine.setSwitches({{"leaving", true}});
  HttpOutcome Refused = callJson(Engine.address(), "POST", "/v1/completions",
                                 completionRequest("new", 5));
  REQUIRE(Refused.Ok_);
  CHECK(Refused.Reply_.Status_ == 503);
  CHECK(Refused.Reply_.Headers_.get("X-Leaving") == "true");
  CHECK(Engine.get("/v1/load")["leaving"] == true);
  RunningStream.join();
  CHECK(RunningStream.stream().Done_);
}

// Guards against pool answers that a test cannot compute.
TEST_CASE("pool answers are deterministic") {
  StandinProcess Pool("pool", {"--service-us=500"});
  Json Embedded =
      postJson(Pool.address(), "/v1/embeddings", {{"input", "text"}});
  auto Embedding = standin::embeddingOf("text");
  CHECK(Embedded["data"][0]["embedding"] == Json(Embedding));
  Json Retrieved =
      postJson(Pool.address(), "/v1/retrieve",
               {{"embedding", Embedded["data"][0]["embedding"]}, {"top_k", 2}});
  auto Documents = standin::documentsFor(Embedding, 2);
  REQUIRE(Retrieved["documents"].size() == 2);
  CHECK(Retrieved["documents"][1]["id"] == Documents[1].Id_);
  Json Ranked =
      postJson(Pool.address(), "/v1/rerank",
               {{"query", "q"}, {"documents", {"a", "b", "c"}}, {"top_n", 2}});
  REQUIRE(Ranked["results"].size() == 2);
  Json Best = Ranked["results"][0];
  CHECK(Best["relevance_score"] >= Ranked["results"][1]["relevance_score"]);
  std::string BestText(1, static_cast<char>('a' + Best["index"].get<int>()));
  CHECK(Best["relevance_score"] == standin::relevanceOf("q", BestText));
}

// Guards against a slow factor without effect.
TEST_CASE("the slow factor stretches the service time") {
  StandinProcess Pool("pool", {"--service-us=20000"});
  Pool.setSwitches({{"slow_factor", 10}});
  SteadyTime Start = SteadyClock::now();
  postJson(Pool.address(), "/v1/embeddings", {{"input", "text"}});
  CHECK(SteadyClock::now() - Start >= Milliseconds{200});
}

// Guards against an execution record, on which the at-most-once tests rely,
// that misses executions or has false ones.
TEST_CASE("a service records every execution and nothing else") {
  StandinProcess Service("service", {"--service-us=500"});
  HttpClient Client({});
  HttpCall Call;
  Call.Address_ = Service.address();
  Call.Path_ = "/v1/calls/pay";
  Call.Headers_.add("X-Request-Id", "r/0/1");
  Call.Body_ = R"({"order_id":"o-1"})";
  Call.Deadline_ = SteadyClock::now() + Seconds{30};
  HttpOutcome Paid = Client.call(Call);
  REQUIRE(Paid.Ok_);
  CHECK(Paid.Reply_.Headers_.get("X-Request-Id") == "r/0/1");

  Service.setSwitches({{"leaving", true}});
  CHECK(Client.call(Call).Reply_.Status_ == 503);
  Service.setSwitches({{"leaving", false}, {"silent", 1}});
  HttpOutcome Before =
      callBriefly(Service.address(), "/v1/calls/pay", {{"order_id", "o-2"}});
  CHECK(Before.Failure_ == CallFailure::Silent);

  Json Record = Service.get("/standin/executions");
  REQUIRE(Record["count"] == 1);
  CHECK(Record["executions"][0]["order_id"] == "o-1");
  CHECK(Record["executions"][0]["name"] == "pay");
  CHECK(Record["executions"][0]["request_id"] == "r/0/1");
  CHECK(Record["executions"][0]["body_digest"] == sha256Hex(Call.Body_));
}

// Guards against lost-reply faults that do not execute the call.
TEST_CASE("a service can lose the reply after the effect") {
  StandinProcess Service("service", {"--service-us=500"});
  Service.setSwitches({{"drop_replies", 1}});
  HttpOutcome Dropped = callJson(Service.address(), "POST", "/v1/calls/pay",
                                 {{"order_id", "o-1"}});
  CHECK(Dropped.Failure_ == CallFailure::Reset);
  Service.setSwitches({{"silent_after", 1}});
  HttpOutcome Silent =
      callBriefly(Service.address(), "/v1/calls/pay", {{"order_id", "o-2"}});
  CHECK(Silent.Failure_ == CallFailure::Silent);
  CHECK(eventually(
      [&] { return Service.get("/standin/executions")["count"] == 2; }));
}

// Guards against late and stale-reply faults without effect.
TEST_CASE("a service can answer late or with the answer of another call") {
  StandinProcess Service("service", {"--service-us=500"});
  Service.setSwitches({{"late_ms", 250}});
  SteadyTime Start = SteadyClock::now();
  Json First =
      postJson(Service.address(), "/v1/calls/pay", {{"order_id", "o-1"}});
  CHECK(SteadyClock::now() - Start >= Milliseconds{250});
  Service.setSwitches({{"late_ms", 0}, {"stale_replies", 1}});
  Json Second =
      postJson(Service.address(), "/v1/calls/pay", {{"order_id", "o-2"}});
  CHECK(Second == First);
  Json Third =
      postJson(Service.address(), "/v1/calls/pay", {{"order_id", "o-3"}});
  CHECK(Third["order_id"] == "o-3");
}
