#include "Protocol/PeerClient.h"
#include "Protocol/PeerServer.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

using namespace amaranth;
using namespace amaranth::protocol;
using namespace amaranth::transport;

namespace {

constexpr Milliseconds TestTimeout{20000};
constexpr const char *Secret = "fleet-secret";

class EchoHandler final : public PeerHandler {
public:
  ~EchoHandler() override { release(); }

  Gossip onProbe(const Gossip &PeerGossip) override { return PeerGossip; }
  bool onProbeIndirect(const std::string &PeerAddress) override {
    return PeerAddress == "10.0.0.1:1";
  }
  RequestOutcome onForward(const ForwardedRequest &Request) override {
    ++Forwards_;
    if (Request.Call_ == "block")
      Released_.wait(false);
    if (Request.Call_ == "throw")
      throw std::runtime_error("handler fault");
    return {OutcomeKind::Completed, 200,          Request.Body_,
            Request.Call_,          "10.0.0.1:2", Request.Timeout_};
  }
  RequestOutcome onLookUp(const std::string &IdempotencyKey) override {
    return {OutcomeKind::NotRun, 0, "", IdempotencyKey, "", {}};
  }
  std::vector<ServiceRevision> onRevisions() override {
    return std::vector<ServiceRevision>(Revisions_, {"guides", 7});
  }
  std::vector<state::StoredDocument>
  onDocuments(const std::vector<std::string> &Names) override {
    std::vector<state::StoredDocument> Found;
    for (const std::string &Name : Names)
      Found.push_back({Name, 7, false, "change", std::string(600, 'x')});
    return Found;
  }
  void onPushDocument(const state::StoredDocument &Document) override {
    Pushed_ = Document.Revision_;
  }
  void onSuspect(const SuspectInput &Suspect) override {
    Suspected_ = Suspect.CrashedTargets_.size();
  }

  void release() {
    Released_ = true;
    Released_.notify_all();
  }

  std::atomic<bool> Released_ = false;
  std::atomic<int> Forwards_ = 0;
  std::atomic<std::uint64_t> Pushed_ = 0;
  std::atomic<std::size_t> Suspected_ = 0;
  std::size_t Revisions_ = 1;
};

/// A server, and a client whose settings a test may change.
struct Fixture {
  Fixture() {
    ServerSettings_.FleetSecret_ = ClientSettings_.FleetSecret_ = Secret;
  }

  PeerServer &start() {
    Server_ =
        std::make_unique<PeerServer>(ServerSettings_, Loop_, Arena_, Handler_);
    auto Started = capture([&] { return Server_->start(); });
    REQUIRE(Started);
    ServerSettings_.Address_ = address();
    return *Server_;
  }
  PeerClient &client() {
    if (!Client_)
      Client_ = std::make_unique<PeerClient>(ClientSettings_, Loop_);
    return *Client_;
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server_->port());
  }
  Expected<RequestOutcome> forward(const std::string &Call,
                                   Milliseconds Timeout = TestTimeout) {
    ForwardedRequest Request{"cards", "account", Call, "key", "r", "", "{}"};
    Request.Timeout_ = Timeout;
    return capture([&] { return client().forward(address(), Request); });
  }
  Expected<Gossip> probe(Milliseconds Timeout = TestTimeout) {
    return capture([&] { return client().probe(address(), {}, Timeout); });
  }

  PeerServerSettings ServerSettings_;
  PeerClientSettings ClientSettings_;
  RpcLoop Loop_;
  WorkArena Arena_{{}};
  EchoHandler Handler_;
  std::unique_ptr<PeerServer> Server_;
  std::unique_ptr<PeerClient> Client_;
};

/// A TCP connection that sends bytes which no peer would send.
class RawConnection final {
public:
  explicit RawConnection(int Port) : Socket_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Address{};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(static_cast<std::uint16_t>(Port));
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(Socket_, reinterpret_cast<sockaddr *>(&Address),
                    sizeof(Address)) == 0);
    timeval Limit{20, 0};
    setsockopt(Socket_, SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof(Limit));
  }
  ~RawConnection() { close(Socket_); }

  void send(const std::string &Bytes) {
    ::send(Socket_, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }
  /// True when the other side closes the connection.
  bool waitForEnd() {
    char Buffer[512];
    ssize_t Size = 0;
    while ((Size = recv(Socket_, Buffer, sizeof(Buffer), 0)) > 0) {
    }
    return Size == 0 || errno == ECONNRESET;
  }

private:
  int Socket_;
};

template <typename F> bool eventually(F Condition) {
  const SteadyTime Limit = SteadyClock::now() + TestTimeout;
  while (!Condition()) {
    if (SteadyClock::now() > Limit)
      return false;
    std::this_thread::yield();
  }
  return true;
}

} // namespace

// Guards against fields lost or swapped in the encoding.
TEST_CASE("every call carries its fields both ways") {
  Fixture Peers;
  Peers.start();
  Gossip Mine;
  Mine.Sender_ = {"h1",
                  "dc1",
                  "1.1.1.1:1",
                  "1.1.1.1:2",
                  1ull << 40,
                  3,
                  MemberStatus::Draining,
                  0.5};
  Mine.Updates_ = {Mine.Sender_, Mine.Sender_};
  Mine.ConfigurationDigest_ = "digest";
  Mine.Usage_ = {{"guides", "large", 12.5}};
  Mine.Suspects_ = {{"input", {"t1", "t2"}, true}};
  auto Yours = capture(
      [&] { return Peers.client().probe(Peers.address(), Mine, TestTimeout); });
  REQUIRE(Yours);
  CHECK(Yours->Sender_.Incarnation_ == 1ull << 40);
  CHECK(Yours->Sender_.Status_ == MemberStatus::Draining);
  CHECK(Yours->Updates_.size() == 2);
  CHECK(Yours->Updates_[1].PeerAddress_ == "1.1.1.1:2");
  CHECK(Yours->Usage_[0].RequestsPerSecond_ == 12.5);
  CHECK(Yours->Suspects_[0].CrashedTargets_[1] == "t2");
  CHECK(Yours->Suspects_[0].Cleared_);
  auto Outcome = Peers.forward("post");
  REQUIRE(Outcome);
  CHECK(Outcome->Kind_ == OutcomeKind::Completed);
  CHECK(Outcome->Body_ == "{}");
  CHECK(Outcome->Detail_ == "post");
  CHECK(Outcome->RetryAfter_ == TestTimeout);
  auto OtherCalls = capture([&]() -> Result<void> {
    PeerClient &Client = Peers.client();
    std::string Address = Peers.address();
    BOOST_LEAF_AUTO(Indirect,
                    Client.probeIndirect(Address, "10.0.0.1:1", TestTimeout));
    CHECK(Indirect);
    BOOST_LEAF_AUTO(LookedUp, Client.lookUp(Address, "the-key", TestTimeout));
    CHECK(LookedUp.Detail_ == "the-key");
    BOOST_LEAF_AUTO(Revisions, Client.revisions(Address, TestTimeout));
    CHECK(Revisions.at(0).Revision_ == 7);
    BOOST_LEAF_AUTO(Documents,
                    Client.documents(Address, {"guides"}, TestTimeout));
    CHECK(Documents.at(0).ChangeId_ == "change");
    BOOST_LEAF_CHECK(
        Client.pushDocument(Address, {"guides", 9, true, "", ""}, TestTimeout));
    BOOST_LEAF_CHECK(
        Client.reportSuspect(Address, {"d", {"t"}, false}, TestTimeout));
    return {};
  });
  CHECK(OtherCalls);
  CHECK(Peers.Handler_.Pushed_ == 9);
  CHECK(Peers.Handler_.Suspected_ == 1);
}

// Guards against a process without the fleet secret that calls a peer or poses
// as one, and against a refusal that affects other connections.
TEST_CASE("both sides must know the fleet secret") {
  Fixture Peers;
  Peers.start();
  REQUIRE(Peers.probe());
  PeerClient Stranger({.FleetSecret_ = "other", .Limits_ = {}}, Peers.Loop_);
  auto Refused =
      capture([&] { return Stranger.probe(Peers.address(), {}, TestTimeout); });
  REQUIRE_FALSE(Refused);
  CHECK(Refused.error().Code_ == ErrorCode::Unauthenticated);
  CHECK(Peers.probe());
  CHECK(protocol::detail::clientProof("s", "a", "b") !=
        protocol::detail::serverProof("s", "a", "b"));
}

// Guards against malformed input that stops the process or the listener, and
// against connections kept open without authentication.
TEST_CASE("malformed connections are closed and others served") {
  Fixture Peers;
  Peers.ServerSettings_.AuthenticationTimeout_ = Milliseconds{50};
  PeerServer &Server = Peers.start();
  RawConnection Text(Server.port());
  Text.send("GET / HTTP/1.1\r\n\r\n");
  // One segment of 2^30 words.
  RawConnection Large(Server.port());
  Large.send(std::string("\0\0\0\0\0\0\0\x40", 8));
  RawConnection Silent(Server.port());
  CHECK(Text.waitForEnd());
  CHECK(Large.waitForEnd());
  CHECK(Silent.waitForEnd());
  CHECK(Peers.probe());
  CHECK(eventually([&] { return Server.connectionCount() == 1; }));
}

// Guards against lists that make a peer allocate without limit, and against a
// reply above the message limit that could never be delivered.
TEST_CASE("the size of replies is limited") {
  Fixture Peers;
  Peers.ClientSettings_.Limits_.MaxListElements_ = 100;
  Peers.ServerSettings_.Limits_.MaxDocumentBytes_ = 1300;
  Peers.start();
  Peers.Handler_.Revisions_ = 101;
  auto Revisions = capture(
      [&] { return Peers.client().revisions(Peers.address(), TestTimeout); });
  CHECK_FALSE(Revisions);
  auto Documents = capture([&] {
    return Peers.client().documents(Peers.address(), {"a", "b", "c"},
                                    TestTimeout);
  });
  REQUIRE(Documents);
  CHECK(Documents->size() == 2);
}

// Guards against later calls that wait on a stalled connection, and against
// aborting the calls still in progress on it.
TEST_CASE("after a time-out the next call uses a new connection") {
  Fixture Peers;
  PeerServer &Server = Peers.start();
  REQUIRE(Peers.probe());
  std::thread SlowCall([&] {
    auto Outcome = Peers.forward("block");
    CHECK(Outcome);
  });
  CHECK(eventually([&] { return Peers.Handler_.Forwards_ == 1; }));
  auto TimedOut = Peers.forward("block", Milliseconds{50});
  REQUIRE_FALSE(TimedOut);
  CHECK(TimedOut.error().Code_ == ErrorCode::Ambiguous);
  CHECK(Peers.client().connectionCount() == 0);
  CHECK(Peers.probe());
  CHECK(Server.connectionCount() == 2);
  Peers.Handler_.release();
  SlowCall.join();
}

// Guards against a time-out while connecting being reported as a call that may
// have run.
TEST_CASE("a peer that never authenticates was not sent the call") {
  Fixture Peers;
  PeerServer &Server = Peers.start();
  Server.stop();
  int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  auto *SocketAddress = reinterpret_cast<sockaddr *>(&Address);
  REQUIRE(bind(Socket, SocketAddress, Size) == 0);
  REQUIRE(listen(Socket, 8) == 0);
  REQUIRE(getsockname(Socket, SocketAddress, &Size) == 0);
  std::string Endpoint = "127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
  auto Outcome = capture(
      [&] { return Peers.client().probe(Endpoint, {}, Milliseconds{50}); });
  close(Socket);
  REQUIRE_FALSE(Outcome);
  CHECK(Outcome.error().Code_ == ErrorCode::Unavailable);
  auto Refused = Peers.probe();
  REQUIRE_FALSE(Refused);
  CHECK(Refused.error().Code_ == ErrorCode::Unavailable);
}

// Guards against a client that keeps using the connection to a peer's process
// from before its restart.
TEST_CASE("a restarted peer is reached again") {
  Fixture Peers;
  Peers.start();
  REQUIRE(Peers.probe());
  Peers.Server_->stop();
  Peers.start();
  CHECK(eventually([&] { return static_cast<bool>(Peers.probe()); }));
}

// Guards against a number of open connections that grows with the fleet.
TEST_CASE("idle connections are closed") {
  Fixture Peers;
  Peers.ClientSettings_.IdleLifetime_ = Milliseconds{40};
  PeerServer &Server = Peers.start();
  REQUIRE(Peers.probe());
  CHECK(eventually([&] { return Peers.client().connectionCount() == 0; }));
  CHECK(eventually([&] { return Server.connectionCount() == 0; }));
  CHECK(Peers.probe());
}

// Guards against forwarded requests that use up the workers for probes, and
// against a handler fault that stops the process.
TEST_CASE("forwarded requests are limited and handler faults contained") {
  Fixture Peers;
  Peers.ServerSettings_.MaxForwards_ = 1;
  Peers.start();
  auto Fault = Peers.forward("throw");
  REQUIRE_FALSE(Fault);
  CHECK(Fault.error().Code_ == ErrorCode::Ambiguous);
  std::thread SlowCall([&] { CHECK(Peers.forward("block")); });
  CHECK(eventually([&] { return Peers.Handler_.Forwards_ == 2; }));
  auto Excess = Peers.forward("post");
  REQUIRE_FALSE(Excess);
  CHECK(Excess.error().Code_ == ErrorCode::Unavailable);
  CHECK(Peers.probe());
  Peers.Handler_.release();
  SlowCall.join();
}

// Guards against a handler call that outlives the server it answers to.
TEST_CASE("stopping waits for the handler and breaks off its caller") {
  Fixture Peers;
  Peers.start();
  std::thread SlowCall([&] {
    auto Outcome = Peers.forward("block");
    REQUIRE_FALSE(Outcome);
    CHECK(Outcome.error().Code_ == ErrorCode::Ambiguous);
    Peers.Handler_.release();
  });
  CHECK(eventually([&] { return Peers.Handler_.Forwards_ == 1; }));
  Peers.Server_->stop();
  CHECK(Peers.Handler_.Released_);
  SlowCall.join();
}
