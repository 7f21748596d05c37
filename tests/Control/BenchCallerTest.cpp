#include "Control/BenchCaller.h"

#include "Transport/HttpServer.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <deque>

using namespace amaranth;
using namespace amaranth::control;
using nlohmann::json;
using transport::HttpReply;
using transport::HttpRequest;

namespace {

/// A loopback address at which nothing listens.
std::string unusedAddress() {
  transport::HttpServer Server{transport::HttpServerSettings{}};
  auto Started = capture([&] { return Server.start(); });
  REQUIRE(Started);
  std::string Address = "127.0.0.1:" + std::to_string(Server.port());
  Server.stop();
  return Address;
}

HttpReply problemReply(const std::string &Outcome,
                       const std::string &RetryWith) {
  HttpReply Reply;
  Reply.Status_ = 503;
  Reply.Body_ =
      json{{"type", "test"}, {"outcome", Outcome}, {"retry_with", RetryWith}}
          .dump();
  return Reply;
}

HttpReply orderPlacedReply() {
  HttpReply Reply;
  Reply.Body_ = json{{"request_id", "r"}, {"result", json::object()}}.dump();
  return Reply;
}

/// A fake daemon that records idempotency keys and returns scripted replies.
class ScriptedDaemon final {
public:
  ScriptedDaemon() : Server_(transport::HttpServerSettings{}) {
    Server_.route("GET", "/v1/entry-hosts",
                  [this](const HttpRequest &) { return entryHosts(); });
    Server_.route("POST", "/v1/services/([^/]+)/requests",
                  [this](const HttpRequest &Request) {
                    std::lock_guard Lock(Mutex_);
                    Keys_.push_back(Request.Headers_.get("Idempotency-Key"));
                    HttpReply Next = Replies_.front();
                    if (Replies_.size() > 1)
                      Replies_.pop_front();
                    return Next;
                  });
    auto Started = capture([&] { return Server_.start(); });
    REQUIRE(Started);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server_.port());
  }

  std::vector<std::string> PrecedingHosts_; ///< Listed before its own address.
  std::deque<HttpReply> Replies_ = {orderPlacedReply()};
  std::vector<std::string> Keys_;
  int EntryHostRequests_ = 0;

private:
  HttpReply entryHosts() {
    std::lock_guard Lock(Mutex_);
    json Hosts = json::array();
    for (const std::string &Address : PrecedingHosts_)
      Hosts.push_back({{"address", Address}});
    Hosts.push_back({{"address", address()}});
    HttpReply Reply;
    Reply.Body_ = json{{"entry_hosts", Hosts},
                       {"keep_for_ms", 60000},
                       {"ticket", "T" + std::to_string(++EntryHostRequests_)}}
                      .dump();
    return Reply;
  }

  std::mutex Mutex_;
  transport::HttpServer Server_;
};

class CallerFixture {
protected:
  CallerFixture() {
    Kind_.Service_ = "orders";
    Kind_.Call_ = "place";
    Kind_.IsOrder_ = true;
  }

  BenchRecord send() {
    if (!Caller_) {
      BenchCallerSettings Settings;
      Settings.BearerKey_ = "key";
      Settings.SeedHosts_ = {Daemon_.address()};
      Settings.RetryDelay_ = Milliseconds{1};
      Caller_ = std::make_unique<BenchCaller>(Settings, Client_);
    }
    return Caller_->send(Kind_, Request_, SteadyClock::now(), "order-1");
  }

  static std::string ticketIn(const std::string &Key) {
    return Key.substr(0, Key.find('.'));
  }

  ScriptedDaemon Daemon_;
  transport::HttpClient Client_{transport::HttpClientSettings{}};
  std::unique_ptr<BenchCaller> Caller_;
  BenchRequestKind Kind_;
  PlannedRequest Request_;
};

} // namespace

// Guards against a new key after an unknown outcome: the order could run twice.
TEST_CASE_METHOD(CallerFixture,
                 "An order of unknown outcome is repeated under its key") {
  Daemon_.Replies_ = {problemReply("unknown", "same_request"),
                      orderPlacedReply()};
  BenchRecord Record = send();
  CHECK(Record.Outcome_ == BenchOutcome::InTime);
  REQUIRE(Daemon_.Keys_.size() == 2);
  CHECK(Daemon_.Keys_[0] == Daemon_.Keys_[1]);
  CHECK(ticketIn(Daemon_.Keys_[0]) == "T1");
  CHECK(Record.KeyCount_ == 1);
}

// Guards against repeating an order under a key that can no longer run.
TEST_CASE_METHOD(CallerFixture,
                 "A key that cannot run is replaced by one of a new ticket") {
  Daemon_.Replies_ = {problemReply("not_run", "new_key"), orderPlacedReply()};
  BenchRecord Record = send();
  CHECK(Record.Outcome_ == BenchOutcome::InTime);
  REQUIRE(Daemon_.Keys_.size() == 2);
  CHECK(ticketIn(Daemon_.Keys_[0]) == "T1");
  CHECK(ticketIn(Daemon_.Keys_[1]) == "T2");
  CHECK(Record.KeyCount_ == 2);
}

// Guards against repeating a request whose refusal allows no retry.
TEST_CASE_METHOD(CallerFixture, "A final refusal is not repeated") {
  Daemon_.Replies_ = {problemReply("not_run", "none")};
  CHECK(send().Outcome_ == BenchOutcome::NotRun);
  CHECK(Daemon_.Keys_.size() == 1);
}

// Guards against a request that fails because its first entry host is down.
TEST_CASE_METHOD(CallerFixture,
                 "A request moves on when its first entry host is down") {
  Daemon_.PrecedingHosts_ = {unusedAddress()};
  BenchRecord Record = send();
  CHECK(Record.Outcome_ == BenchOutcome::InTime);
  CHECK(Record.Attempts_ == 2);
  CHECK(Daemon_.Keys_.size() == 1);
}

// Guards against fetching the entry hosts for every request.
TEST_CASE_METHOD(CallerFixture, "The list of entry hosts is cached") {
  send();
  send();
  CHECK(Daemon_.EntryHostRequests_ == 1);
  CHECK(Daemon_.Keys_.size() == 2);
  CHECK(Daemon_.Keys_[0] != Daemon_.Keys_[1]);
}
