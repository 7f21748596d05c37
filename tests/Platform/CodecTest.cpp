#include "platform/EdgeCodec.h"
#include "platform/RecordCodec.h"
#include "platform/SettingsFile.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <random>

using namespace amaranth;
using protocol::CallerRequest;
using transport::HttpHead;

namespace {

const char *Settings = "node=front-a-1\nzone=a\nregion=r\nip=10.1.0.41\n"
                       "listen.front=10.1.0.41:8625\n"
                       "listen.ready=10.1.0.41:8621\n"
                       "listen.directory=10.1.0.41:8620\n"
                       "platform.address=10.200.1.7:8624\n"
                       "internal_port_range=7740,7755\n"
                       "bounds.grace_s=8\nbounds.ttl_max_s=5\n"
                       "bounds.retry_budget_ratio=0.25\n"
                       "platform.writes_per_s=1200\n"
                       "platform.value_bytes=4096\n"
                       "limits.memory_mb=260\nlimits.link_mbps=24.5\n"
                       "limits.cpu_share=0.25\nlimits.cores=2\n"
                       "some.new.field=1\n";

const char *Configuration = R"({"version":7,"routes":[
  {"name":"r1","host":"h.example","prefix":"/a/","kind":"streaming",
   "timeout_ms":12000,"target_latency_ms":2200,"priority":2,
   "weighted_services":[{"service":"m","weight":90},{"service":"n","weight":10}],
   "max_attempts":2,"stages":[{"service":"s","after":[],"bytes":8000},
   {"service":"s","after":[0],"bytes":60}],"public":false,
   "session_affinity":true,"stream_resume":true,"gap_aim_ms":600},
  {"name":"r2","host":"h.example","prefix":"/a/b/","kind":"idempotent",
   "service":"p","public":true}],
 "services":[{"name":"s","max_connections":280,"pieces":{"slots":1,"queue":2,
   "batch":8,"call_ms":240.0,"item_ms":26.5,"headroom_mb":9.6,"handle_s":4.0}},
  {"name":"m","engine":{"slots":64,"kv_capacity_tokens":1000},
   "cold_start_s":4.5,"cold_per_s":12},
  {"name":"p","cold_start_s":-1,"cold_per_s":1e300}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100,
   "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t","api_keys":["k1","k2"],"priority":1}]})";

HttpHead callerRequest() {
  HttpHead Head;
  Head.Method_ = "POST";
  Head.Target_ = "/a/x?y=1";
  Head.Fields_ = {
      {"Host", "h.example"},      {"Request-Id", "id1"},
      {"Deadline-Ms", "1500"},    {"Key", "secret"},
      {"Token-Count", "1460,80"}, {"Prompt-Prefix", "5c:800, 91:410"},
      {"Pieces", "1,0,4"},        {"Piece-Key", "pk"},
      {"X-Own", "kept"}};
  return Head;
}

/// True if \p Message has the header line \p Line.
bool hasLine(const std::string &Message, const std::string &Line) {
  return Message.find("\r\n" + Line + "\r\n") != std::string::npos;
}

} // namespace

// Guards against misread settings and against starting with invalid values.
TEST_CASE("settings file: values, unknown fields and faults") {
  auto Valid = platform::readSettingsFile(Settings);
  REQUIRE(Valid.Settings_);
  CHECK(Valid.Settings_->PeerAddress_ == "10.1.0.41:7740");
  CHECK(Valid.Settings_->ShutdownGrace_ == Seconds{8});
  CHECK(Valid.Settings_->RetryRatio_ == 0.25);
  CHECK(Valid.Settings_->MemoryMegabytes_ == 260);
  CHECK(Valid.Settings_->StoreWritesPerSecond_ == 1200);
  CHECK(Valid.Settings_->StoreReadsPerSecond_ == 2000);
  CHECK(Valid.Settings_->MaxStoreValueBytes_ == 4096);
  CHECK(Valid.Settings_->LinkMegabits_ == 24.5);
  CHECK(Valid.Settings_->ProcessorShare_ == 0.5);

  std::string Text = Settings;
  auto ChangeTimeLimit = [&](const std::string &Bounds) {
    return platform::readSettingsFile(Text + Bounds)
        .Settings_.value()
        .ChangeTimeLimit_;
  };
  CHECK(
      ChangeTimeLimit("bounds.config_apply_ms=3000\nbounds.drain_ms=2500\n") ==
      Milliseconds{2500});
  // The store would be called without a pause.
  CHECK(ChangeTimeLimit("bounds.drain_ms=0\n") == Milliseconds{500});
  auto Invalid = platform::readSettingsFile(
      Text + "bounds.grace_s=soon\nlisten.front=nowhere\nzone=\n");
  CHECK_FALSE(Invalid.Settings_);
  REQUIRE(Invalid.Faults_.size() == 3);
  CHECK(Invalid.Faults_[0] == "zone is missing");
  CHECK(Invalid.Faults_[1] == "listen.front=nowhere: expected IP:PORT");
  CHECK(Invalid.Faults_[2].find("bounds.grace_s=soon") == 0);
  CHECK_FALSE(platform::readSettingsFile("").Settings_);
}

// Guards against losing or misreading fields of the configuration.
TEST_CASE("record codec: a configuration") {
  platform::RecordCodec Codec;
  auto Decoded =
      capture([&] { return Codec.readConfiguration(Configuration); });
  REQUIRE(Decoded);
  CHECK(Decoded->Version_ == 7);
  const state::Route *Route = Decoded->findRoute("h.example", "/a/x");
  REQUIRE(Route);
  CHECK(Route->Kind_ == state::RequestKind::Stream);
  CHECK(Route->IsResumable_);
  CHECK(Route->MaxAttempts_ == 2);
  CHECK(Route->Services_.size() == 2);
  REQUIRE(Route->Stages_.size() == 2);
  CHECK(Route->Stages_[1].Dependencies_ == std::vector<std::size_t>{0});
  // The longest matching prefix wins.
  CHECK(Decoded->findRoute("h.example", "/a/b/c")->Name_ == "r2");
  CHECK(Decoded->findRoute("other.example", "/a/x") == nullptr);
  CHECK(Decoded->findRoute("h.example", "/c") == nullptr);
  const state::Service *Stage = Decoded->findService("s");
  REQUIRE((Stage && Stage->Stage_));
  CHECK(Stage->Stage_->PieceTime_ == Microseconds{26500});
  CHECK(Stage->Stage_->ResultMemoryBytes_ == 9600000);
  CHECK(Decoded->findService("m")->ColdStart_ == Milliseconds{4500});
  CHECK(Decoded->findService("m")->ColdPerSecond_ == 12);
  // Unreasonable values count as a service that is never cold.
  CHECK(Decoded->findService("p")->ColdStart_ == Milliseconds{0});
  CHECK(Decoded->findService("p")->ColdPerSecond_ == 0);
  CHECK(Decoded->Limits_.MaxBodyBytes_ == 100);
  REQUIRE(Decoded->findAccount("k2"));
  CHECK(Decoded->findAccount("k2")->Name_ == "t");
  CHECK(Decoded->findAccount("k3") == nullptr);
}

// Guards against a configuration without its parts that replaces a whole one:
// it would have no routes, and without accounts it would admit any caller.
TEST_CASE("record codec: a configuration without its parts is rejected") {
  platform::RecordCodec Codec;
  const auto Whole = nlohmann::json::parse(Configuration);
  auto IsRead = [&](const nlohmann::json &Value) {
    return static_cast<bool>(
        capture([&] { return Codec.readConfiguration(Value.dump()); }));
  };
  CHECK(IsRead(Whole));
  for (const char *Name : {"version", "routes", "services"}) {
    INFO(Name);
    nlohmann::json Changed = Whole;
    Changed.erase(Name);
    CHECK_FALSE(IsRead(Changed));
    for (const char *Value : {"null", "\"x\"", "{}", "true"}) {
      Changed[Name] = nlohmann::json::parse(Value);
      CHECK_FALSE(IsRead(Changed));
    }
  }
  nlohmann::json Changed = Whole;
  Changed["tenants"] = "t";
  CHECK_FALSE(IsRead(Changed));
  Changed.erase("tenants");
  CHECK(IsRead(Changed));
}

// Guards against using records that are not valid target records, such as those
// of other writers.
TEST_CASE("record codec: invalid target records are rejected") {
  platform::RecordCodec Codec;
  auto Decode = [&](const std::string &Value) {
    return capture([&] { return Codec.readTarget("servers/i-1", Value); });
  };
  auto Valid = Decode(R"({"service":"s","address":"10.0.0.1:80","zone":"a",
    "version":"v1","slots":64,"state":"draining","cold_remaining_ms":0,
    "born":1700000000000,"sequence":4})");
  REQUIRE(Valid);
  CHECK(Valid->Id_ == "i-1");
  CHECK(Valid->IsDraining_);
  CHECK(Valid->Incarnation_ == 1700000000000);
  CHECK(Valid->Version_ == "v1");
  for (const char *Invalid :
       {R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":64,
            "state":"draining","cold_remaining_ms":0,"born":1700000000000,
            "sequence":4})",
        "", "[]", "null", "{", "\xff\xfe", R"({"service":"s"})",
        R"({"service":1,"address":"x","state":"ready"})",
        R"({"service":"s","address":"x","state":"broken"})",
        R"({"service":"s","address":"x","state":"ready","version":2})",
        R"({"service":"s","address":"x","state":"ready","version":null})",
        R"({"service":"s","address":"x","state":["ready"]})"}) {
    INFO(Invalid);
    CHECK_FALSE(Decode(Invalid));
  }
}

// Guards against crashes on arbitrary bytes in the store.
TEST_CASE("record codec: damaged records do not crash the process") {
  platform::RecordCodec Codec;
  std::mt19937 Random(7);
  std::string Intact = Configuration;
  for (int Round = 0; Round < 3000; ++Round) {
    std::string Damaged = Intact;
    for (int I = 0; I < 1 + Round % 6; ++I)
      Damaged[Random() % Damaged.size()] = static_cast<char>(Random());
    Damaged.resize(Random() % (Damaged.size() + 1));
    (void)capture([&] { return Codec.readConfiguration(Damaged); });
    (void)capture([&] { return Codec.readTarget("servers/x", Damaged); });
    platform::EdgeCodec Edge;
    (void)capture([&] { return Edge.readStageAnswer(Damaged); });
    (void)platform::readSettingsFile(Damaged);
  }
  SUCCEED();
}

// Guards against passing on header fields that a caller must not set, and
// against sending the caller's secret key to a target.
TEST_CASE("edge codec: a target gets the caller's request without secrets") {
  platform::EdgeCodec Edge;
  HttpHead Head = callerRequest();
  for (const char *Name :
       {"Tenant", "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Kv-Fetch",
        "Expect-Instance", "Expect-Version", "Inputs", "Request-Priority"})
    Head.Fields_.emplace_back(Name, "forged");
  Head.Fields_.emplace_back("Connection", "keep-alive, X-Hop");
  Head.Fields_.emplace_back("X-Hop", "dropped");
  protocol::TargetCallFields Fields;
  Fields.TargetId_ = "i-1";
  Fields.Account_ = "t";
  Fields.Deadline_ = Milliseconds{900};
  Fields.Inputs_ = {"a/1", "b/2"};
  Fields.Generation_ = true;
  std::string Message = Edge.targetRequest(Head, "body", Fields);
  CHECK(Message.rfind("POST /a/x?y=1 HTTP/1.1\r\n", 0) == 0);
  CHECK(Message.find("forged") == std::string::npos);
  CHECK(Message.find("secret") == std::string::npos);
  CHECK(Message.find("dropped") == std::string::npos);
  CHECK(hasLine(Message, "Request-Id: id1"));
  CHECK(hasLine(Message, "Tenant: t"));
  CHECK(hasLine(Message, "Expect-Instance: i-1"));
  CHECK(hasLine(Message, "Deadline-Ms: 900"));
  CHECK(hasLine(Message, "Inputs: a/1,b/2"));
  CHECK(hasLine(Message, "X-Own: kept"));
  CHECK(hasLine(Message, "Token-Count: 1460,80"));
  CHECK(hasLine(Message, "Content-Length: 4"));
  CHECK(Message.substr(Message.size() - 8) == "\r\n\r\nbody");
}

// Guards against misreading a request and against accepting a malformed one.
TEST_CASE("edge codec: a caller's request") {
  platform::EdgeCodec Edge;
  auto Decoded = capture([&] { return Edge.readRequest(callerRequest()); });
  REQUIRE(Decoded);
  CHECK(Decoded->Path_ == "/a/x");
  CHECK(Decoded->Deadline_ == Milliseconds{1500});
  CHECK(Decoded->PromptTokens_ == 1460);
  REQUIRE(Decoded->Prompt_.size() == 2);
  CHECK(Decoded->Prompt_[1].Id_ == "91");
  CHECK(Decoded->PieceCounts_ == std::vector<std::size_t>{1, 0, 4});
  CHECK(Decoded->ResumedId_.empty());
  for (auto [Name, Value] :
       {std::pair<const char *, const char *>{"Deadline-Ms", "-1"},
        {"Deadline-Ms", "1.5"},
        {"Token-Count", "5"},
        {"Prompt-Prefix", "abc"},
        {"Pieces", "1,x"},
        {"Request-Id", ""},
        {"Request-Id", "id 1"},
        {"Request-Id", "\xff"},
        {"Piece-Key", "\xc3\x28"},
        {"Pieces", "4000000000"},
        {"Pieces", "6000,6000"},
        {"Pieces", "18446744073709551615,2"}}) {
    INFO(Name << ": " << Value);
    HttpHead Head = callerRequest();
    for (auto &[Field, FieldValue] : Head.Fields_)
      if (Field == Name)
        FieldValue = Value;
    CHECK_FALSE(capture([&] { return Edge.readRequest(Head); }));
  }
  HttpHead LongDeadline = callerRequest();
  for (auto &[Field, FieldValue] : LongDeadline.Fields_)
    if (Field == "Deadline-Ms")
      FieldValue = "18446744073709551615";
  Decoded = capture([&] { return Edge.readRequest(LongDeadline); });
  REQUIRE(Decoded);
  CHECK(*Decoded->Deadline_ > Milliseconds{0});
  CHECK(SteadyClock::now() + *Decoded->Deadline_ > SteadyClock::now());
  HttpHead TakeUp = callerRequest();
  TakeUp.Fields_.emplace_back("Last-Event-Id", "7");
  TakeUp.Fields_.emplace_back("Resumes", "id0");
  Decoded = capture([&] { return Edge.readRequest(TakeUp); });
  REQUIRE(Decoded);
  CHECK(Decoded->ResumedId_ == "id0");
  CHECK(Decoded->LastEventId_ == 7U);
  for (const char *Value : {"", "id 0", "\xff"}) {
    INFO("Resumes: " << Value);
    TakeUp.Fields_.back().second = Value;
    CHECK_FALSE(capture([&] { return Edge.readRequest(TakeUp); }));
  }
  TakeUp.Fields_.back().second = "id0";
  TakeUp.Fields_.emplace_back("resumes", "id9");
  CHECK_FALSE(capture([&] { return Edge.readRequest(TakeUp); }));
  HttpHead TwoHosts = callerRequest();
  TwoHosts.Fields_.emplace_back("host", "other.example");
  CHECK_FALSE(capture([&] { return Edge.readRequest(TwoHosts); }));
}

// Guards against misreading whether the request ran and which request is
// answered.
TEST_CASE("edge codec: a target's answer") {
  platform::EdgeCodec Edge;
  HttpHead Head;
  Head.Status_ = 503;
  Head.Fields_ = {{"Not-Executed", "1"},
                  {"Server-Load", "3,1,8,150"},
                  {"Keep-Alive", "timeout=5"},
                  {"Request-Id", "id1"}};
  protocol::TargetReply Reply = Edge.readReply(Head);
  CHECK(Reply.NotExecuted_);
  CHECK_FALSE(Reply.Signed_);
  CHECK(Reply.RequestId_ == "id1");
  REQUIRE(Reply.Load_);
  CHECK(Reply.Load_->Slowness_ == 1.5);
  CHECK(Reply.KeepAlive_ == Seconds{5});
  Head.Fields_ = {{"Server-Load", "3,x"}};
  CHECK_FALSE(Edge.readReply(Head).Load_);
  CHECK_FALSE(Edge.readReply(Head).NotExecuted_);
  CHECK_FALSE(Edge.readReply(Head).WrongTarget_);
  Head.Status_ = 421;
  CHECK(Edge.readReply(Head).NotExecuted_);
  CHECK(Edge.readReply(Head).WrongTarget_);
}

// Guards against a limit that is misread, so that a target gets nothing or
// everything.
TEST_CASE("edge codec: the limit that a target states") {
  platform::EdgeCodec Edge;
  HttpHead Head;
  Head.Status_ = 200;
  CHECK_FALSE(Edge.readReply(Head).RequestsPerSecond_);
  for (const char *Valid : {"0", "1.2", "13"}) {
    Head.Fields_ = {{"Server-Limit", Valid}};
    CHECK(Edge.readReply(Head).RequestsPerSecond_ == std::stod(Valid));
  }
  for (const char *Invalid : {"", "x", "1.2x", "-1", "nan", "inf", "1e300"}) {
    Head.Fields_ = {{"Server-Limit", Invalid}};
    CHECK_FALSE(Edge.readReply(Head).RequestsPerSecond_);
    CHECK(Edge.readReply(Head).IsLimitInvalid_);
  }
}

// Guards against statements of targets that are missed or misread, and against
// invalid ones that are taken for a time.
TEST_CASE("edge codec: what a target states about new requests") {
  platform::EdgeCodec Edge;
  HttpHead Head;
  Head.Status_ = 503;
  Head.Fields_ = {
      {"Server-Leaving", "1"}, {"Retry-After", "1.5"}, {"Cold-Ms", "2500"}};
  protocol::TargetReply Reply = Edge.readReply(Head);
  CHECK(Reply.IsLeaving_);
  CHECK(Reply.RetryAfter_ == Milliseconds{1500});
  CHECK(Reply.ColdFor_ == Milliseconds{2500});
  CHECK(Reply.InvalidFields_.empty());
  Head.Status_ = 200;
  CHECK_FALSE(Edge.readReply(Head).RetryAfter_);
  Head.Status_ = 503;
  Head.Fields_ = {{"Server-Leaving", "0"}, {"Retry-After", "1e11"}};
  CHECK_FALSE(Edge.readReply(Head).IsLeaving_);
  CHECK(Edge.readReply(Head).RetryAfter_ > std::chrono::hours{24});
  CHECK(Edge.readReply(Head).InvalidFields_.size() == 1);
  for (const char *Invalid :
       {"", "x", "-1", "nan", "inf", "1e999", "1e300", "\xff"}) {
    Head.Fields_ = {{"Server-Leaving", Invalid},
                    {"Retry-After", Invalid},
                    {"Cold-Ms", Invalid}};
    Reply = Edge.readReply(Head);
    CHECK_FALSE(Reply.IsLeaving_);
    CHECK_FALSE(Reply.RetryAfter_);
    CHECK_FALSE(Reply.ColdFor_);
    CHECK(Reply.InvalidFields_.size() == 3);
  }
}

// Guards against passing on fields that are for the system only, and framing
// fields, as the body is framed anew.
TEST_CASE("edge codec: fields of a target's answer passed to callers") {
  platform::EdgeCodec Edge;
  HttpHead Head;
  Head.Status_ = 200;
  Head.Fields_ = {{"Response-Signature", "sig"},
                  {"Server-Load", "1,2,3"},
                  {"Transfer-Encoding", "chunked"},
                  {"Connection", "close"},
                  {"Instance-Id", "i"},
                  {"Content-Type", "x/y"}};
  CHECK(Edge.answerHead(Head) ==
        "HTTP/1.1 200 OK\r\nResponse-Signature: sig\r\n"
        "Content-Type: x/y\r\n");
}

// Guards against misreading the outcomes in a stage answer.
TEST_CASE("edge codec: stage answers") {
  platform::EdgeCodec Edge;
  auto Decoded = capture([&] {
    return Edge.readStageAnswer(
        R"({"items":[{"handle":"10.0.0.1:80/ab"},{"reason":"gone"},
        {"reason":"late"},{"reason":"room"},{"reason":"other"},{}]})");
  });
  REQUIRE(Decoded);
  using protocol::PieceStatus;
  std::vector<PieceStatus> Ends;
  for (const protocol::PieceOutcome &Outcome : *Decoded)
    Ends.push_back(Outcome.Status_);
  CHECK(Ends == std::vector<PieceStatus>{
                    PieceStatus::Completed, PieceStatus::InputMissing,
                    PieceStatus::Expired, PieceStatus::NoCapacity,
                    PieceStatus::Failed, PieceStatus::Failed});
  CHECK(Edge.holderAddress((*Decoded)[0].Handle_) == "10.0.0.1:80");
  CHECK_FALSE(capture([&] { return Edge.readStageAnswer("{}"); }));
  // Handles that would become other header fields or other inputs.
  Decoded = capture([&] {
    return Edge.readStageAnswer(
        R"({"items":[{"handle":"a/1\r\nTenant: x"},{"handle":"a/1,b/2"},
        {"handle":""}]})");
  });
  REQUIRE(Decoded);
  for (const protocol::PieceOutcome &Outcome : *Decoded)
    CHECK(Outcome.Status_ == PieceStatus::Failed);
}

namespace {

std::string randomText(std::mt19937 &Random) {
  static const char *const Parts[] = {"1",    "18446744073709551615",
                                      "-1",   ",",
                                      ":",    "timeout=",
                                      "\xff", "\xc3\x28",
                                      "a/1",  "1e9",
                                      "id",   "4000000000",
                                      " ",    "/a/b?c",
                                      "%",    "0"};
  std::string Text;
  for (unsigned I = Random() % 6; I > 0; --I)
    Text += Parts[Random() % std::size(Parts)];
  return Text;
}

} // namespace

// A seeded fuzz test. Guards against an exception that escapes from the codec
// and ends the process because of one message, and against a request that is
// accepted but cannot be passed on.
TEST_CASE("edge codec: no header ends the process") {
  platform::EdgeCodec Edge;
  std::mt19937 Random(4);
  int Accepted = 0;
  for (int Round = 0; Round < 20000; ++Round) {
    HttpHead Head = callerRequest();
    for (auto &[Name, Value] : Head.Fields_)
      if (Random() % 8 == 0)
        Value = randomText(Random);
    for (const char *Name :
         {"Server-Load", "Cold-Ms", "Retry-After", "Keep-Alive",
          "Last-Event-Id", "Resumes", "Connection"})
      if (Random() % 4 == 0)
        Head.Fields_.emplace_back(Name, randomText(Random));
    CHECK_NOTHROW(Edge.readReply(Head));
    CHECK_NOTHROW(Edge.answerHead(Head));
    CHECK_NOTHROW(Edge.hostCall(Head));
    auto Request = capture([&] { return Edge.readRequest(Head); });
    if (!Request)
      continue;
    ++Accepted;
    protocol::StagePiece Piece;
    Piece.RequestId_ = Request->Id_;
    Piece.Key_ = Request->PieceKey_;
    std::string Call;
    CHECK_NOTHROW(Call = Edge.stageCall({Piece}, "i-1", "c-1", {std::nullopt}));
    CHECK(Call.find(Request->Id_) != std::string::npos);
    CHECK_NOTHROW(Edge.targetRequest(Head, "", {}));
  }
  CHECK(Accepted > 1000);
}

// Guards against callers that get hosts for another data centre or none because
// their query is not understood.
TEST_CASE("edge codec: queries of the directory") {
  auto Read = [](const std::string &Query) {
    HttpHead Head;
    Head.Target_ = "/amaranthcourse/resolve" + Query;
    return platform::EdgeCodec().directoryQuery(Head);
  };
  CHECK(Read("?zone=a%2D1&name=h&region=r").DataCentre_ == "a-1");
  CHECK(Read("?zone=a%2D1&name=h&region=r").Region_ == "r");
  for (const char *Unstated : {"", "?", "?zone", "?zone=", "?zone=%zz"})
    CHECK(Read(Unstated).DataCentre_.empty());
}
