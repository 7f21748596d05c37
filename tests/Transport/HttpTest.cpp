#include "Transport/HttpClient.h"
#include "Transport/HttpServer.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace amaranth;
using namespace amaranth::transport;

namespace {

HttpCall callTo(const HttpServer &Server, std::string Path) {
  HttpCall Call;
  Call.Address_ = "127.0.0.1:" + std::to_string(Server.port());
  Call.Path_ = std::move(Path);
  Call.Deadline_ = SteadyClock::now() + Seconds{20};
  return Call;
}

} // namespace

// Guards against bodies, headers or path groups lost between client and server.
TEST_CASE("a request reaches its handler and the reply its caller") {
  HttpServer Server({});
  Server.route("POST", "/v1/echo/([a-z]+)", [](const HttpRequest &Request) {
    HttpReply Reply;
    Reply.Status_ = 201;
    Reply.Headers_.add("X-Request-Id", Request.Headers_.get("x-request-id"));
    Reply.Body_ = Request.PathParameters_.at(0) + ":" + Request.Body_;
    return Reply;
  });
  REQUIRE(Server.start());
  HttpClient Client({});
  HttpCall Call = callTo(Server, "/v1/echo/abc");
  Call.Headers_.add("X-Request-Id", "r/1/0");
  Call.Body_ = "{}";
  HttpOutcome Outcome = Client.call(Call);
  REQUIRE(Outcome.Ok_);
  CHECK(Outcome.Reply_.Status_ == 201);
  CHECK(Outcome.Reply_.Body_ == "abc:{}");
  CHECK(Outcome.Reply_.Headers_.get("X-REQUEST-ID") == "r/1/0");
}

// Guards against chunks buffered until the end of a stream, or lost.
TEST_CASE("streamed chunks arrive in order") {
  HttpServer Server({});
  Server.route("POST", "/stream", [](const HttpRequest &) {
    HttpReply Reply;
    Reply.StreamBody_ = [](ChunkSink &Sink) {
      for (int I = 0; I < 5; ++I)
        Sink.write(std::to_string(I));
    };
    return Reply;
  });
  REQUIRE(Server.start());
  HttpClient Client({});
  HttpCall Call = callTo(Server, "/stream");
  std::string Received;
  Call.OnChunk_ = [&](std::string_view Chunk) {
    Received.append(Chunk);
    return true;
  };
  REQUIRE(Client.call(Call).Ok_);
  CHECK(Received == "01234");
}

// Guards against reporting a request as possibly run when nothing was sent.
TEST_CASE("a refused connection is reported as not sent") {
  HttpClient Client({});
  HttpCall Call;
  Call.Address_ = "127.0.0.1:1";
  Call.Path_ = "/";
  Call.Deadline_ = SteadyClock::now() + Seconds{5};
  HttpOutcome Outcome = Client.call(Call);
  CHECK_FALSE(Outcome.Ok_);
  CHECK(Outcome.Failure_ == CallFailure::NotSent);
}

// Guards against waiting for the deadline on a stalled connection.
TEST_CASE("a server that stays silent is reported as silent") {
  std::atomic<bool> Release = false;
  HttpServer Server({});
  Server.route("POST", "/slow", [&](const HttpRequest &) {
    Release.wait(false);
    return HttpReply{};
  });
  REQUIRE(Server.start());
  HttpClient Client({});
  HttpCall Call = callTo(Server, "/slow");
  Call.ProgressTimeout_ = Milliseconds{50};
  HttpOutcome Outcome = Client.call(Call);
  Release = true;
  Release.notify_all();
  CHECK_FALSE(Outcome.Ok_);
  CHECK(Outcome.Failure_ == CallFailure::Silent);
}
