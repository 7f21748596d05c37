#include "Protocol/EtcdClient.h"
#include "Support/Digest.h"
#include "Transport/HttpServer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <future>

using namespace amaranth;
using namespace amaranth::protocol;
using namespace amaranth::transport;
using nlohmann::json;

namespace {

constexpr Milliseconds TestTimeout{20000};
constexpr const char *RefusedEndpoint = "127.0.0.1:1";

/// A server with one scripted reply for one path.
class ScriptedService final {
public:
  ScriptedService(const std::string &Path, HttpServer::Handler Handle) {
    Server_.route("POST", Path, std::move(Handle));
    auto Started = capture([&] { return Server_.start(); });
    REQUIRE(Started);
  }
  ScriptedService(const std::string &Path, int Status, const std::string &Body)
      : ScriptedService(Path, [=](const HttpRequest &) {
          HttpReply Reply;
          Reply.Status_ = Status;
          Reply.Body_ = Body;
          return Reply;
        }) {}

  std::string endpoint() const {
    return "127.0.0.1:" + std::to_string(Server_.port());
  }

private:
  HttpServer Server_{{}};
};

class CallCounter final : public KeyValueObserver {
public:
  void onCall(KeyValueCall Call) override { ++Calls_[Call]; }
  std::map<KeyValueCall, int> Calls_;
};

class RecordingListener final : public WatchListener {
public:
  void onEvents(const std::vector<WatchEvent> &Events) override {
    Events_.insert(Events_.end(), Events.begin(), Events.end());
  }
  void onWatchEnd() override { End_.set_value(); }

  std::vector<WatchEvent> Events_;
  std::promise<void> End_;
};

ErrorCode commitError(EtcdClient &Client, Milliseconds Timeout = TestTimeout) {
  auto Outcome = capture([&] { return Client.commit({}, Timeout); });
  REQUIRE_FALSE(Outcome);
  return Outcome.error().Code_;
}

} // namespace

// Guards against keys, conditions or revisions lost in the JSON encoding.
TEST_CASE("a transaction is encoded and its reply decoded") {
  json Sent;
  json Pair{{"key", base64Encode("/a")},
            {"value", base64Encode("v")},
            {"create_revision", "9007199254740993"},
            {"mod_revision", "9007199254740994"}};
  json Range{{"response_range", {{"kvs", {Pair}}}}};
  json Answer{{"header", {{"revision", "12"}}}, {"responses", {Range}}};
  ScriptedService Service("/v3/kv/txn", [&](const HttpRequest &Request) {
    Sent = json::parse(Request.Body_);
    HttpReply Reply;
    Reply.Body_ = Answer.dump();
    return Reply;
  });
  CallCounter Counter;
  EtcdClient Client({.Endpoints_ = {Service.endpoint()}}, &Counter);
  Transaction Request;
  Request.Conditions_ = {{"/a", Compare::Field::CreateRevision}};
  Request.Writes_ = {{Mutation::Kind::Put, "/a", "v", 7},
                     {Mutation::Kind::DeletePrefix, "/b/", "", 0}};
  Request.ReadOnFailure_ = {"/a"};
  auto Outcome = capture([&] { return Client.commit(Request, TestTimeout); });
  REQUIRE(Outcome);
  CHECK_FALSE(Outcome->Succeeded_);
  CHECK(Outcome->StoreRevision_ == 12);
  REQUIRE(Outcome->Found_.size() == 1);
  CHECK(Outcome->Found_[0].CreateRevision_ == 9007199254740993u);
  CHECK(Outcome->Found_[0].Value_ == "v");
  CHECK(Sent["compare"][0]["target"] == "CREATE");
  CHECK(Sent["compare"][0]["create_revision"] == "0");
  CHECK(Sent["success"][0]["request_put"]["lease"] == "7");
  CHECK(Sent["success"][1]["request_delete_range"]["range_end"] ==
        base64Encode("/b0"));
  CHECK(Counter.Calls_[KeyValueCall::Commit] == 1);
}

// Guards against an error that means "not run" for a write that may have run.
TEST_CASE("failures of a write are told apart") {
  SECTION("refused connection") {
    EtcdClient Client({.Endpoints_ = {RefusedEndpoint}});
    CHECK(commitError(Client) == ErrorCode::Unavailable);
  }
  SECTION("lost reply") {
    std::atomic<bool> Release = false;
    ScriptedService Service("/v3/kv/txn", [&](const HttpRequest &) {
      Release.wait(false);
      return HttpReply{};
    });
    // A second endpoint must not get a write that the first one may have run.
    std::atomic<int> SecondEndpointCalls = 0;
    ScriptedService Other("/v3/kv/txn", [&](const HttpRequest &) {
      ++SecondEndpointCalls;
      return HttpReply{};
    });
    EtcdClient Client({.Endpoints_ = {Service.endpoint(), Other.endpoint()}});
    CHECK(commitError(Client, Milliseconds{50}) == ErrorCode::Ambiguous);
    Release = true;
    Release.notify_all();
    CHECK(SecondEndpointCalls == 0);
  }
  SECTION("time-out inside the service") {
    ScriptedService Service("/v3/kv/txn", 503,
                            R"({"message":"etcdserver: request timed out"})");
    EtcdClient Client({.Endpoints_ = {Service.endpoint()}});
    CHECK(commitError(Client) == ErrorCode::Ambiguous);
  }
  SECTION("refused request") {
    ScriptedService Service("/v3/kv/txn", 400, R"({"message":"bad"})");
    EtcdClient Client({.Endpoints_ = {Service.endpoint()}});
    CHECK(commitError(Client) == ErrorCode::InvalidArgument);
  }
  SECTION("unreadable reply") {
    ScriptedService Service("/v3/kv/txn", 200,
                            R"({"header":{"revision":"x"}})");
    EtcdClient Client({.Endpoints_ = {Service.endpoint()}});
    CHECK(commitError(Client) == ErrorCode::Ambiguous);
  }
}

// Guards against an outage of one endpoint becoming an outage of the service.
TEST_CASE("a read moves to the next endpoint") {
  std::atomic<bool> Release = false;
  ScriptedService Silent("/v3/kv/range", [&](const HttpRequest &) {
    Release.wait(false);
    return HttpReply{};
  });
  ScriptedService Healthy("/v3/kv/range", 200,
                          R"({"header":{"revision":"3"}})");
  EtcdClient Client(
      {.Endpoints_ = {RefusedEndpoint, Silent.endpoint(), Healthy.endpoint()}});
  auto First =
      capture([&] { return Client.range("/a", true, Milliseconds{3000}); });
  Release = true;
  Release.notify_all();
  REQUIRE(First);
  CHECK(First->StoreRevision_ == 3);
}

// Guards against a holder that keeps acting under an expired lease.
TEST_CASE("the renewal of an expired lease is not found") {
  ScriptedService Service("/v3/lease/keepalive", 200,
                          R"({"result":{"header":{},"ID":"5"}})");
  EtcdClient Client({.Endpoints_ = {Service.endpoint()}});
  auto Outcome = capture([&] { return Client.keepAlive(5, TestTimeout); });
  REQUIRE_FALSE(Outcome);
  CHECK(Outcome.error().Code_ == ErrorCode::NotFound);
}

// Guards against events lost at chunk borders, and against a watch that stays
// open on a stalled connection.
TEST_CASE("a watch delivers events, and ends when it stays silent") {
  std::atomic<bool> Release = false;
  ScriptedService Service("/v3/watch", [&](const HttpRequest &) {
    HttpReply Reply;
    Reply.StreamBody_ = [&](ChunkSink &Sink) {
      json Pair{{"key", base64Encode("/a")}, {"mod_revision", "4"}};
      json Put{{"kv", Pair}};
      json Delete{{"type", "DELETE"}, {"kv", Pair}};
      json Message{{"result", {{"events", {Put, Delete}}}}};
      std::string Text = R"({"result":{"created":true}})"
                         "\n" +
                         Message.dump() + "\n";
      Sink.write(Text.substr(0, 40));
      Sink.write(Text.substr(40));
      Release.wait(false);
    };
    return Reply;
  });
  CallCounter Counter;
  EtcdClient Client({.Endpoints_ = {Service.endpoint()},
                     .WatchIdleTimeout_ = Milliseconds{50}},
                    &Counter);
  RecordingListener Listener;
  auto Opened = capture([&] { return Client.watch("/", 1, Listener); });
  REQUIRE(Opened);
  REQUIRE(Listener.End_.get_future().wait_for(TestTimeout) ==
          std::future_status::ready);
  Release = true;
  Release.notify_all();
  REQUIRE(Listener.Events_.size() == 2);
  CHECK(Listener.Events_[0].Pair_.ModRevision_ == 4);
  CHECK_FALSE(Listener.Events_[0].Deleted_);
  CHECK(Listener.Events_[1].Deleted_);
  CHECK(Counter.Calls_[KeyValueCall::Watch] == 1);
}

// Guards against a shutdown that waits for an unresponsive watch.
TEST_CASE("closing a watch does not wait for the service") {
  std::atomic<bool> Release = false;
  ScriptedService Service("/v3/watch", [&](const HttpRequest &) {
    Release.wait(false);
    return HttpReply{};
  });
  EtcdClient Client({.Endpoints_ = {Service.endpoint()},
                     .WatchIdleTimeout_ = TestTimeout * 10});
  RecordingListener Listener;
  SteadyTime Start = SteadyClock::now();
  auto Opened = capture([&] { return Client.watch("/", 1, Listener); });
  REQUIRE(Opened);
  Opened->reset();
  CHECK(SteadyClock::now() - Start < TestTimeout);
  Release = true;
  Release.notify_all();
}
