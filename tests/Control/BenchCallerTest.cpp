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

/// An address of the loopback network at which nothing listens.
std::string closedAddress() {
  transport::HttpServer Server{transport::HttpServerSettings{}};
  auto Started = capture([&] { return Server.start(); });
  REQUIRE(Started);
  std::string Address = "127.0.0.1:" + std::to_string(Server.port());
  Server.stop();
  return Address;
}

HttpReply problem(const std::string &Outcome, const std::string &RetryWith) {
  HttpReply Reply;
  Reply.Status_ = 503;
  Reply.Body_ =
      json{{"type", "test"}, {"outcome", Outcome}, {"retry_with", RetryWith}}
          .dump();
  return Reply;
}

HttpReply placed() {
  HttpReply Reply;
  Reply.Body_ = json{{"request_id", "r"}, {"result", json::object()}}.dump();
  return Reply;
}

/// A daemon that records the keys it gets and answers as told.
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

  std::vector<std::string> Ranked_; ///< Addresses before its own.
  std::deque<HttpReply> Replies_ = {placed()};
  std::vector<std::string> Keys_;
  int Asked_ = 0;

private:
  HttpReply entryHosts() {
    std::lock_guard Lock(Mutex_);
    json Hosts = json::array();
    for (const std::string &Address : Ranked_)
      Hosts.push_back({{"address", Address}});
    Hosts.push_back({{"address", address()}});
    HttpReply Reply;
    Reply.Body_ = json{{"entry_hosts", Hosts},
                       {"keep_for_ms", 60000},
                       {"ticket", "T" + std::to_string(++Asked_)}}
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
    Kind_.Order_ = true;
  }

  BenchRecord send() {
    if (!Caller_) {
      BenchCallerSettings Settings;
      Settings.BearerKey_ = "key";
      Settings.Hosts_ = {Daemon_.address()};
      Settings.RepeatDelay_ = Milliseconds{1};
      Caller_ = std::make_unique<BenchCaller>(Settings, Client_);
    }
    return Caller_->send(Kind_, Request_, SteadyClock::now(), "order-1");
  }

  static std::string ticketOf(const std::string &Key) {
    return Key.substr(0, Key.find('.'));
  }

  ScriptedDaemon Daemon_;
  transport::HttpClient Client_{transport::HttpClientSettings{}};
  std::unique_ptr<BenchCaller> Caller_;
  BenchRequestKind Kind_;
  PlannedRequest Request_;
};

} // namespace

// Guards against a second key, and so a second run, after an unknown outcome.
TEST_CASE_METHOD(CallerFixture, "An order of unknown outcome keeps its key") {
  Daemon_.Replies_ = {problem("unknown", "same_request"), placed()};
  BenchRecord Record = send();
  CHECK(Record.Outcome_ == BenchOutcome::InTime);
  REQUIRE(Daemon_.Keys_.size() == 2);
  CHECK(Daemon_.Keys_[0] == Daemon_.Keys_[1]);
  CHECK(ticketOf(Daemon_.Keys_[0]) == "T1");
  CHECK(Record.Keys_ == 1);
}

// Guards against a caller that wears out a key which will never run.
TEST_CASE_METHOD(CallerFixture, "A spent key is replaced under a new ticket") {
  Daemon_.Replies_ = {problem("not_run", "new_key"), placed()};
  BenchRecord Record = send();
  CHECK(Record.Outcome_ == BenchOutcome::InTime);
  REQUIRE(Daemon_.Keys_.size() == 2);
  CHECK(ticketOf(Daemon_.Keys_[0]) == "T1");
  CHECK(ticketOf(Daemon_.Keys_[1]) == "T2");
  CHECK(Record.Keys_ == 2);
}

// Guards against repeating a request that is final.
TEST_CASE_METHOD(CallerFixture, "A final refusal is not repeated") {
  Daemon_.Replies_ = {problem("not_run", "none")};
  CHECK(send().Outcome_ == BenchOutcome::NotRun);
  CHECK(Daemon_.Keys_.size() == 1);
}

// Guards against a request that is lost with its entry host.
TEST_CASE_METHOD(CallerFixture,
                 "The next host gets what the first one cannot") {
  Daemon_.Ranked_ = {closedAddress()};
  BenchRecord Record = send();
  CHECK(Record.Outcome_ == BenchOutcome::InTime);
  CHECK(Record.Attempts_ == 2);
  CHECK(Daemon_.Keys_.size() == 1);
}

// Guards against asking for entry hosts with every request.
TEST_CASE_METHOD(CallerFixture, "An entry-host answer is kept") {
  send();
  send();
  CHECK(Daemon_.Asked_ == 1);
  CHECK(Daemon_.Keys_.size() == 2);
  CHECK(Daemon_.Keys_[0] != Daemon_.Keys_[1]);
}
