#include "Integration/FleetHarness.h"
#include "Integration/RawConnection.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <fstream>
#include <map>
#include <random>
#include <thread>

using namespace amaranth;
using namespace amaranth::integration;
using transport::HttpHeaders;
using transport::HttpOutcome;
using Json = nlohmann::json;

namespace {

/// Parts of an API request that vary between the tests.
struct ApiRequest {
  std::string Method_;
  std::string Path_;
  std::string Body_;
};

const std::vector<ApiRequest> CallerRequests = {
    {"GET", "/v1/entry-hosts", ""},
    {"POST", "/v1/services/shop-orders/requests",
     R"({"call":"look-up","body":{"order_id":"1"}})"},
    {"POST", "/v1/services/questions/requests",
     R"({"input":"Which varnish suits walnut?","max_tokens":8})"},
    {"GET", "/v1/services/shop-orders/requests/some-key", ""},
};

const std::vector<ApiRequest> OperatorRequests = {
    {"GET", "/v1/admin/status", ""},
    {"GET", "/v1/admin/services", ""},
    {"GET", "/v1/admin/services/shop-orders", ""},
    {"PUT", "/v1/admin/services/shop-orders", "name = \"shop-orders\""},
    {"DELETE", "/v1/admin/services/shop-orders", ""},
    {"GET", "/v1/admin/targets", ""},
    {"GET", "/v1/admin/burn", ""},
    {"PUT", "/v1/admin/log-level", R"({"level":"debug"})"},
    {"POST", "/v1/admin/drain", ""},
};

/// A fleet with the services that the examples in docs/api.md use.
class ExampleFleet final {
public:
  explicit ExampleFleet(int Daemons) : Fleet_(settings(Daemons)) { apply(); }

  FleetHarness &fleet() { return Fleet_; }
  StandinProcess &orders() { return Orders_; }
  StandinProcess &engine() { return Engine_; }

  /// Applies both documents, whatever their current revisions are.
  void apply() {
    putInForce("shop-orders", FleetHarness::plainServiceDocument(
                                  "shop-orders", {Orders_.address()}));
    putInForce("questions", FleetHarness::pipelineDocument(
                                "questions", {Engine_.address()}));
  }

private:
  static FleetHarnessSettings settings(int Daemons) {
    FleetHarnessSettings Settings;
    Settings.Daemons_ = Daemons;
    return Settings;
  }
  void putInForce(const std::string &Name, const std::string &Document) {
    std::uint64_t Revision =
        Fleet_.applyOrThrow(0, Name, Fleet_.revisionAt(0, Name), Document);
    REQUIRE(Fleet_.waitInForce(Name, Revision));
  }

  StandinProcess Orders_{"service", {"--service-us=500"}};
  StandinProcess Engine_{"engine", {"--token-us=100", "--model=writer"}};
  FleetHarness Fleet_;
};

std::string rawRequest(const ApiRequest &Request, const std::string &Key,
                       const std::string &FurtherHeaders = "") {
  return Request.Method_ + " " + Request.Path_ +
         " HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\nAuthorization: "
         "Bearer " +
         Key + "\r\n" + FurtherHeaders +
         "Content-Length: " + std::to_string(Request.Body_.size()) +
         "\r\n\r\n" + Request.Body_;
}

/// Mutates \p Text at one random position: changes a byte, removes or
/// duplicates up to 16 bytes, truncates, or inserts an unusual sequence.
std::string mutate(std::string Text, std::mt19937_64 &Random) {
  static const std::vector<std::string> InsertedTexts = {
      std::string(1, '\0'),
      "\r\n",
      "\xff\xfe",
      "{",
      "]",
      "99999999999999999999",
      "-1",
      "\"",
      "%",
      "%zz",
      "../",
      "\\u0000",
      std::string(9000, 'a')};
  const std::size_t Position = Random() % Text.size();
  const std::size_t Length = 1 + Random() % 16;
  switch (Random() % 5) {
  case 0:
    Text[Position] = static_cast<char>(Random() % 256);
    return Text;
  case 1:
    return Text.erase(Position, Length);
  case 2:
    return Text.insert(Position, Text.substr(Position, Length));
  case 3:
    return Text.substr(0, Position);
  default:
    return Text.insert(Position,
                       InsertedTexts[Random() % InsertedTexts.size()]);
  }
}

bool isRunningAndReady(FleetHarness &Fleet) {
  return !Fleet.daemon(0).process().waitExit(Milliseconds{0}) &&
         Fleet.isReady(0);
}

/// Sends each request on a separate connection, several in parallel.
std::vector<RawReply> exchangeAll(const std::string &Address,
                                  const std::vector<std::string> &Requests) {
  constexpr std::size_t SenderCount = 16;
  // An incomplete request gets no reply until the write side is closed.
  constexpr Milliseconds SilenceTimeout{300};
  std::vector<RawReply> Replies(Requests.size());
  std::vector<std::thread> Threads;
  for (std::size_t SenderIndex = 0; SenderIndex < SenderCount; ++SenderIndex)
    Threads.emplace_back([&, SenderIndex] {
      for (std::size_t I = SenderIndex; I < Requests.size(); I += SenderCount)
        Replies[I] = exchangeRaw(Address, Requests[I], SilenceTimeout);
    });
  for (std::thread &Sender : Threads)
    Sender.join();
  return Replies;
}

/// Returns the standard output of a shell command and checks its exit code.
std::string runShell(const std::string &Command) {
  ChildProcessSettings Settings;
  Settings.Program_ = "/bin/sh";
  Settings.Arguments_ = {"-c", Command};
  ChildProcess Shell(Settings);
  std::string Output;
  while (auto Line = Shell.readLine(Seconds{20}))
    Output += *Line + "\n";
  auto Exit = Shell.waitExit(Seconds{20});
  REQUIRE(Exit);
  CHECK(Exit->Code_ == 0);
  return Output;
}

/// Returns the curl commands in the code blocks of the Markdown file
/// \p PagePath, with their continuation lines.
std::vector<std::string> curlCommands(const std::string &PagePath) {
  std::ifstream File(PagePath);
  std::vector<std::string> Commands;
  bool InCodeBlock = false;
  bool IsContinued = false;
  for (std::string Line; std::getline(File, Line);) {
    if (Line.starts_with("```")) {
      InCodeBlock = !InCodeBlock;
      IsContinued = false;
    } else if (InCodeBlock && IsContinued) {
      Commands.back() += "\n" + Line;
    } else if (InCodeBlock && Line.starts_with("curl ")) {
      Commands.push_back(Line);
    } else {
      continue;
    }
    IsContinued = InCodeBlock && Line.ends_with("\\");
  }
  return Commands;
}

} // namespace

// Guards against routes that answer a caller without a valid key, or an
// operator without the operator key.
TEST_CASE("fleet: nobody gets anything without the right key") {
  ExampleFleet Test(1);
  FleetHarness &Fleet = Test.fleet();
  const std::uint64_t Revision = Fleet.revisionAt(0, "shop-orders");
  auto CheckRefused = [&](const ApiRequest &Request,
                          const HttpHeaders &Headers) {
    HttpHeaders AllHeaders = Headers;
    AllHeaders.add("If-Match", std::to_string(Revision));
    AllHeaders.add("Change-Id", "intruder");
    AllHeaders.add("Idempotency-Key", "intruder");
    HttpOutcome Outcome = Fleet.call(0, Request.Method_, Request.Path_, "",
                                     Request.Body_, AllHeaders);
    CAPTURE(Request.Method_, Request.Path_, Outcome.Reply_.Body_);
    CHECK(Outcome.Reply_.Status_ == 401);
    Json Body = Json::parse(Outcome.Reply_.Body_, nullptr, false);
    REQUIRE(Body.is_object());
    CHECK(Body.at("type") == "unauthenticated");
    for (const char *Name :
         {"entry_hosts", "ticket", "result", "members", "services", "document"})
      CHECK_FALSE(Body.contains(Name));
  };
  auto Bearer = [](const std::string &Authorization) {
    HttpHeaders Headers;
    Headers.add("Authorization", Authorization);
    return Headers;
  };
  const std::string Caller = FleetHarness::CallerKey;
  const std::string Operator = FleetHarness::OperatorKey;
  for (const ApiRequest &Request : CallerRequests)
    for (const char *Authorization :
         {"Bearer wrong", "Bearer ", "Basic Zm9v", "bearer", ""})
      CheckRefused(Request, Bearer(Authorization));
  for (const ApiRequest &Request : CallerRequests) {
    CheckRefused(Request, {});
    CheckRefused(Request, Bearer("Bearer " + Operator));
    CheckRefused(Request, Bearer("Bearer " + Caller + "x"));
    CheckRefused(Request, Bearer(Caller));
  }
  for (const ApiRequest &Request : OperatorRequests) {
    CheckRefused(Request, {});
    CheckRefused(Request, Bearer("Bearer wrong"));
    CheckRefused(Request, Bearer("Bearer " + Caller));
    CheckRefused(Request, Bearer("Bearer " + Operator.substr(1)));
    CheckRefused(Request, Bearer(Operator));
  }
  // No document changed, no call reached a target and the daemon is not
  // draining.
  CHECK(Fleet.revisionAt(0, "shop-orders") == Revision);
  CHECK(isRunningAndReady(Fleet));
  CHECK(Test.orders().get("/standin/counters").value("calls", 0) == 0);
  CHECK(Test.engine().get("/standin/counters").value("completions", 0) == 0);
  // The same routes answer with the right key.
  for (const ApiRequest &Request : CallerRequests)
    CHECK(Fleet.call(0, Request.Method_, Request.Path_, Caller, Request.Body_)
              .Reply_.Status_ == 200);
}

// Guards against a host with a different fleet secret that joins the fleet or
// receives documents from its peers.
TEST_CASE("fleet: a daemon with another fleet secret never joins") {
  ExampleFleet Test(3);
  FleetHarness &Fleet = Test.fleet();
  // During the outage peers are the only source of documents.
  Fleet.keyValue().setSwitches({{"outage", true}});
  DaemonProcessSettings Settings = Fleet.daemonSettings(0);
  Settings.Host_ = "outsider";
  Settings.FleetSecret_ = "another-fleet-secret";
  Settings.Seeds_ = {Fleet.daemon(0).peerAddress(),
                     Fleet.daemon(1).peerAddress()};
  std::size_t Outsider = Fleet.addDaemon(Settings);
  // A daemon with the right secret that starts later joins before the check, so
  // the outsider had enough time.
  Settings.Host_ = "joiner";
  Settings.FleetSecret_ = DaemonProcessSettings{}.FleetSecret_;
  std::size_t Joiner = Fleet.addDaemon(Settings);
  for (std::size_t I : {0U, 1U, 2U})
    REQUIRE(
        eventually([&] { return Fleet.memberStatus(I, "joiner") == "alive"; }));
  REQUIRE(eventually([&] { return Fleet.isReady(Joiner); }));
  for (std::size_t I : {std::size_t{0}, std::size_t{1}, std::size_t{2}, Joiner})
    CHECK(Fleet.memberStatus(I, "outsider").empty());
  for (const char *Host : {"host-0", "host-1", "host-2", "joiner"})
    CHECK(Fleet.memberStatus(Outsider, Host).empty());
  CHECK_FALSE(Fleet.isReady(Outsider));
  CHECK(Fleet.revisionAt(Outsider, "shop-orders") == 0);
}

// Guards against malformed input that is accepted or that crashes the daemon.
TEST_CASE("fleet: malformed input gets a 4xx") {
  ExampleFleet Test(1);
  FleetHarness &Fleet = Test.fleet();
  const std::string Address = Fleet.daemon(0).callerAddress();
  const std::string Caller = FleetHarness::CallerKey;
  const std::string Operator = FleetHarness::OperatorKey;
  const ApiRequest &PlainRequest = CallerRequests[1];
  const ApiRequest &PipelineRequest = CallerRequests[2];
  auto WithBody = [](ApiRequest Request, std::string Body) {
    Request.Body_ = std::move(Body);
    return Request;
  };
  std::vector<std::string> Requests;
  for (const std::string &Body :
       {std::string(), std::string("{"), std::string("null"), std::string("[]"),
        std::string("{\"call\":7}"), std::string("{\"level\":7}"),
        std::string("{\"input\":[]}"), std::string("{\"input\":\"\xff\"}"),
        std::string("\0\0", 2), std::string(100000, '['),
        std::string("{\"input\":\"x\",\"more\":1}"),
        std::string(9 * 1024 * 1024, ' ')}) {
    Requests.push_back(rawRequest(WithBody(PlainRequest, Body), Caller));
    Requests.push_back(rawRequest(WithBody(PipelineRequest, Body), Caller));
    Requests.push_back(
        rawRequest(WithBody(OperatorRequests[7], Body), Operator));
    Requests.push_back(rawRequest(WithBody(OperatorRequests[3], Body), Operator,
                                  "If-Match: 1\r\nChange-Id: bad\r\n"));
  }
  for (const char *Tokens : {"0", "-1", "1.5", "\"8\"", "99999999999999999999"})
    Requests.push_back(
        rawRequest(WithBody(PipelineRequest, std::string("{\"input\":\"x\","
                                                         "\"max_tokens\":") +
                                                 Tokens + "}"),
                   Caller));
  for (const char *Timeout : {"0", "-5", "600001", "abc", "1e3", "99999999999"})
    Requests.push_back(
        rawRequest(PlainRequest, Caller,
                   std::string("Request-Timeout-Ms: ") + Timeout + "\r\n"));
  for (const char *Revision : {"", "-1", "x", "99999999999999999999999"})
    Requests.push_back(rawRequest(OperatorRequests[4], Operator,
                                  std::string("If-Match: ") + Revision +
                                      "\r\nChange-Id: bad\r\n"));
  for (const ApiRequest &Request :
       {ApiRequest{"GET", "/v1/nothing", ""},
        ApiRequest{"POST", "/v1/entry-hosts", ""},
        ApiRequest{"DELETE", "/v1/services/shop-orders/requests", ""},
        ApiRequest{"POST", "/v1/services/no-such/requests", PlainRequest.Body_},
        ApiRequest{"GET", "/v1/admin/services/no-such", ""},
        ApiRequest{"GET", "/" + std::string(20000, 'x'), ""},
        ApiRequest{"POST", "/v1/services/shop-orders/requests",
                   R"({"call":"no-such","body":1})"},
        ApiRequest{"POST", "/v1/services/shop-orders/requests",
                   R"({"call":"place","body":1})"},
        ApiRequest{"BREW", "/v1/entry-hosts", ""}})
    Requests.push_back(rawRequest(
        Request, Request.Path_.starts_with("/v1/admin") ? Operator : Caller));
  Requests.push_back("hello\r\n\r\n");
  Requests.push_back(rawRequest(
      PlainRequest, Caller, "X-Long: " + std::string(100000, 'y') + "\r\n"));
  for (const std::string &Bytes : Requests) {
    RawReply Reply = exchangeRaw(Address, Bytes, Seconds{10});
    INFO("request: " << Bytes.substr(0, 400)
                     << "\nreply: " << Reply.Bytes_.substr(0, 300));
    REQUIRE(Reply.Closed_);
    REQUIRE(Reply.status());
    CHECK(*Reply.status() >= 400);
    CHECK(*Reply.status() < 500);
  }
  CHECK(isRunningAndReady(Fleet));
  CHECK(Fleet.submit(0, "shop-orders", Json::parse(PlainRequest.Body_))
            .Reply_.Status_ == 200);
  CHECK(Test.orders().get("/standin/executions").at("count") == 1);
}

// Guards against input on any route that crashes the daemon, keeps a connection
// open for ever or causes an internal error.
TEST_CASE("fleet: mutated requests never break the daemon") {
  constexpr std::uint64_t Seed = 20261204;
  constexpr int MutationsPerRequest = 60;
  constexpr int InternalError = 500;
  ExampleFleet Test(1);
  FleetHarness &Fleet = Test.fleet();
  const std::string Address = Fleet.daemon(0).callerAddress();
  std::mt19937_64 Random(Seed);
  std::map<int, int> Statuses;
  auto SendMutations = [&](const std::string &Valid) {
    std::vector<std::string> Requests;
    for (int I = 0; I < MutationsPerRequest; ++I) {
      Requests.push_back(mutate(Valid, Random));
      if (Random() % 3 == 0 && !Requests.back().empty())
        Requests.back() = mutate(Requests.back(), Random);
    }
    std::vector<RawReply> Replies = exchangeAll(Address, Requests);
    for (std::size_t I = 0; I < Requests.size(); ++I) {
      INFO("seed " << Seed << ", request: " << Requests[I].substr(0, 600)
                   << "\nreply: " << Replies[I].Bytes_.substr(0, 300));
      REQUIRE(Replies[I].Closed_);
      CHECK(Replies[I].status().value_or(0) != InternalError);
      ++Statuses[Replies[I].status().value_or(0)];
    }
    REQUIRE(isRunningAndReady(Fleet));
  };
  for (const ApiRequest &Request : CallerRequests)
    SendMutations(
        rawRequest(Request, FleetHarness::CallerKey,
                   "Request-Timeout-Ms: 3000\r\nIdempotency-Key: k\r\n"));
  for (const ApiRequest &Request : OperatorRequests)
    if (Request.Path_ != "/v1/admin/drain")
      SendMutations(rawRequest(Request, FleetHarness::OperatorKey,
                               "If-Match: 1\r\nChange-Id: mutated\r\n"));
  // A valid drain request would end the daemon, so this one has a wrong key.
  SendMutations(rawRequest(OperatorRequests.back(), "wrong-key"));
  Test.apply();
  CHECK(Fleet.submit(0, "shop-orders", Json::parse(CallerRequests[1].Body_))
            .Reply_.Status_ == 200);
  for (const auto &[Status, Count] : Statuses)
    UNSCOPED_INFO("status " << Status << ": " << Count);
  // The mutated requests reach the request parser, the key check and the
  // handlers.
  CHECK(Statuses[400] > 100);
  CHECK(Statuses[401] > 20);
  CHECK(Statuses[200] > 20);
}

// Guards against examples in docs/api.md that no longer work.
TEST_CASE("fleet: the curl examples of the page on interfaces work") {
  ExampleFleet Test(2);
  FleetHarness &Fleet = Test.fleet();
  HttpOutcome EntryHosts =
      Fleet.call(0, "GET", "/v1/entry-hosts", FleetHarness::CallerKey);
  REQUIRE(EntryHosts.Reply_.Status_ == 200);
  const std::string Ticket = Json::parse(EntryHosts.Reply_.Body_).at("ticket");
  setenv("HOST", Fleet.daemon(1).callerAddress().c_str(), 1);
  setenv("KEY", FleetHarness::CallerKey, 1);
  setenv("TICKET", Ticket.c_str(), 1);
  const auto Commands = curlCommands(AMARANTH_SOURCE_DIR "/docs/api.md");
  // Fields of the answer to each example, as the page documents them.
  const std::vector<std::vector<const char *>> Fields = {
      {"entry_hosts", "keep_for_ms", "ticket", "ticket_home", "ticket_class"},
      {"request_id", "output", "tokens", "stages"},
      {"request_id", "result"},
      {"outcome", "result"},
  };
  REQUIRE(Commands.size() == Fields.size());
  for (std::size_t I = 0; I < Commands.size(); ++I) {
    CAPTURE(Commands[I]);
    // The answers do not end with a newline, and runShell() reads whole lines.
    std::string Output =
        runShell(Commands[I] + "; Status=$?; echo; exit $Status");
    Json Answer = Json::parse(Output, nullptr, false);
    CAPTURE(Output);
    REQUIRE(Answer.is_object());
    for (const char *Name : Fields[I])
      CHECK(Answer.contains(Name));
    if (Answer.contains("outcome"))
      CHECK(Answer.at("outcome") == "completed");
  }
  CHECK(Test.orders().get("/standin/executions").at("count") == 1);
}
