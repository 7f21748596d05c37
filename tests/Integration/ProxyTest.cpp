#include "Integration/CompletionStream.h"
#include "Integration/Eventually.h"
#include "Integration/StandinProcess.h"
#include "Standin/DeterministicText.h"

#include <catch2/catch.hpp>

using namespace amaranth;
using namespace amaranth::integration;
using transport::CallFailure;
using transport::HttpCall;
using transport::HttpClient;
using transport::HttpOutcome;
using Json = nlohmann::json;

namespace {

/// Progress timeout of calls that are expected to get no byte.
constexpr Milliseconds SilenceTimeout{500};

/// A plain service behind a proxy, with a client that reuses its connection.
class ProxiedService final {
public:
  ProxiedService()
      : Target_("service", {"--service-us=500"}),
        Proxy_("proxy", {"--to=" + Target_.address()}) {}

  /// Calls on the pooled connection or on a new one.
  HttpOutcome call(bool NewConnection = false,
                   Milliseconds ProgressTimeout = Seconds{20}) {
    HttpCall Call;
    Call.Address_ = Proxy_.address();
    Call.Path_ = "/v1/calls/pay";
    Call.Body_ = R"({"order_id":"o"})";
    Call.Deadline_ = SteadyClock::now() + Seconds{30};
    Call.ProgressTimeout_ = ProgressTimeout;
    Call.FreshConnection_ = NewConnection;
    return Client_.call(Call);
  }
  int executions() { return Target_.get("/standin/executions")["count"]; }
  StandinProcess &proxy() { return Proxy_; }

private:
  StandinProcess Target_;
  StandinProcess Proxy_;
  HttpClient Client_{{}};
};

} // namespace

// Guards against a proxy that alters or delays traffic while no fault is set.
TEST_CASE("the proxy forwards calls and streams unchanged") {
  StandinProcess Engine("engine", {"--token-us=200"});
  StandinProcess Proxy("proxy", {"--to=" + Engine.address()});
  Json Body = {{"prompt", "through"}, {"max_tokens", 200}};
  CompletionStream Stream(Proxy.address(), Body);
  Stream.run();
  REQUIRE(Stream.Outcome_.Ok_);
  CHECK(Stream.Text_ == standin::DeterministicText("through").text(200));
  REQUIRE(eventually(
      [&] { return Proxy.get("/standin/connections")["open"] == 0; }));
}

// Guards against a refusal that accepts the connection first.
TEST_CASE("the proxy refuses new connections and recovers") {
  ProxiedService Service;
  Service.proxy().setSwitches({{"refuse", true}});
  CHECK(Service.call(true).Failure_ == CallFailure::NotSent);
  Service.proxy().setSwitches({{"refuse", false}});
  CHECK(Service.call(true).Ok_);
  CHECK(Service.executions() == 1);
}

// Guards against a cut that leaves a connection open.
TEST_CASE("the proxy cuts all connections") {
  StandinProcess Engine("engine", {"--token-us=1000"});
  StandinProcess Proxy("proxy", {"--to=" + Engine.address()});
  CompletionStream Stream(Proxy.address(),
                          {{"prompt", "cut"}, {"max_tokens", 100000}});
  Stream.OnToken_ = [&](int Index) {
    if (Index == 3)
      CHECK(Proxy.post("/standin/cut", Json::object())["cut"] == 1);
  };
  Stream.run();
  CHECK(Stream.Outcome_.Failure_ == CallFailure::Reset);
  REQUIRE(eventually(
      [&] { return Engine.get("/standin/state")["cancelled"] == 1; }));
}

// Guards against a cut at the wrong byte or in the wrong direction.
TEST_CASE("the proxy cuts after a number of bytes in each direction") {
  ProxiedService Service;
  Service.proxy().setSwitches({{"cut_after_to_target", 20}});
  CHECK(Service.call(true).Failure_ == CallFailure::Reset);
  CHECK(Service.executions() == 0);
  Service.proxy().setSwitches(
      {{"cut_after_to_target", -1}, {"cut_after_to_client", 20}});
  CHECK(Service.call(true).Failure_ == CallFailure::Reset);
  CHECK(Service.executions() == 1);
}

// Guards against a delay that is missing in one direction.
TEST_CASE("the proxy delays bytes in both directions") {
  ProxiedService Service;
  Service.proxy().setSwitches({{"delay_ms", 100}});
  SteadyTime Start = SteadyClock::now();
  CHECK(Service.call(true).Ok_);
  CHECK(SteadyClock::now() - Start >= Milliseconds{200});
}

// Guards against a freeze that affects new connections or closes old ones.
TEST_CASE("frozen connections stay silent while new ones work") {
  ProxiedService Service;
  REQUIRE(Service.call().Ok_);
  CHECK(Service.proxy().post("/standin/freeze", Json::object())["frozen"] == 1);
  CHECK(Service.call(false, SilenceTimeout).Failure_ == CallFailure::Silent);
  CHECK(Service.call(true).Ok_);
  CHECK(Service.executions() == 2);
}

// Guards against a blackhole that refuses connections or forwards bytes.
TEST_CASE("a blackhole accepts new connections and stays silent") {
  ProxiedService Service;
  REQUIRE(Service.call().Ok_);
  Service.proxy().setSwitches({{"blackhole", true}});
  CHECK(Service.call(true, SilenceTimeout).Failure_ == CallFailure::Silent);
  CHECK(Service.call().Ok_);
  CHECK(Service.executions() == 2);
}

// Guards against dropped replies to requests that never reached the target.
TEST_CASE("the proxy drops the reply direction only") {
  ProxiedService Service;
  Service.proxy().setSwitches({{"drop_replies", true}});
  CHECK(Service.call(true, SilenceTimeout).Failure_ == CallFailure::Silent);
  CHECK(eventually([&] { return Service.executions() == 1; }));
}

// Guards against a duplicate that does not reach the target: every test of
// duplicates would pass.
TEST_CASE("the proxy sends the last request again on a new connection") {
  ProxiedService Service;
  REQUIRE(Service.call().Ok_);
  REQUIRE(Service.call().Ok_);
  Json Duplicate =
      Service.proxy().post("/standin/duplicate-last", Json::object());
  CHECK(Duplicate["received"] > 0);
  CHECK(Service.executions() == 3);
}
