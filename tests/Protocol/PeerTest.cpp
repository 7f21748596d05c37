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

constexpr Milliseconds Generous{20000};
constexpr const char *Secret = "fleet-secret";

class EchoHandler final : public PeerHandler {
public:
  ~EchoHandler() override { release(); }

  Gossip onProbe(const Gossip &FromPeer) override { return FromPeer; }
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
  Fixture() { Server_.FleetSecret_ = Client_.FleetSecret_ = Secret; }

  PeerServer &start() {
    Running_ = std::make_unique<PeerServer>(Server_, Loop_, Arena_, Handler_);
    auto Started = capture([&] { return Running_->start(); });
    REQUIRE(Started);
    Server_.Address_ = address();
    return *Running_;
  }
  PeerClient &client() {
    if (!Caller_)
      Caller_ = std::make_unique<PeerClient>(Client_, Loop_);
    return *Caller_;
  }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Running_->port());
  }
  Expected<RequestOutcome> forward(const std::string &Call,
                                   Milliseconds Timeout = Generous) {
    ForwardedRequest Request{"cards", "account", Call, "key", "r", "", "{}"};
    Request.Timeout_ = Timeout;
    return capture([&] { return client().forward(address(), Request); });
  }
  Expected<Gossip> probe(Milliseconds Timeout = Generous) {
    return capture([&] { return client().probe(address(), {}, Timeout); });
  }

  PeerServerSettings Server_;
  PeerClientSettings Client_;
  RpcLoop Loop_;
  WorkArena Arena_{{}};
  EchoHandler Handler_;
  std::unique_ptr<PeerServer> Running_;
  std::unique_ptr<PeerClient> Caller_;
};

/// A plain connection for bytes that no peer would send.
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
  const SteadyTime Limit = SteadyClock::now() + Generous;
  while (!Condition()) {
    if (SteadyClock::now() > Limit)
      return false;
    std::this_thread::yield();
  }
  return true;
}

} // namespace

// Guards against fields lost or exchanged in the encoding.
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
      [&] { return Peers.client().probe(Peers.address(), Mine, Generous); });
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
  CHECK(Outcome->RetryAfter_ == Generous);
  auto Rest = capture([&]() -> Result<void> {
    PeerClient &Client = Peers.client();
    std::string To = Peers.address();
    BOOST_LEAF_AUTO(Indirect, Client.probeIndirect(To, "10.0.0.1:1", Generous));
    CHECK(Indirect);
    BOOST_LEAF_AUTO(LookedUp, Client.lookUp(To, "the-key", Generous));
    CHECK(LookedUp.Detail_ == "the-key");
    BOOST_LEAF_AUTO(Revisions, Client.revisions(To, Generous));
    CHECK(Revisions.at(0).Revision_ == 7);
    BOOST_LEAF_AUTO(Documents, Client.documents(To, {"guides"}, Generous));
    CHECK(Documents.at(0).ChangeId_ == "change");
    BOOST_LEAF_CHECK(
        Client.pushDocument(To, {"guides", 9, true, "", ""}, Generous));
    BOOST_LEAF_CHECK(Client.reportSuspect(To, {"d", {"t"}, false}, Generous));
    return {};
  });
  CHECK(Rest);
  CHECK(Peers.Handler_.Pushed_ == 9);
  CHECK(Peers.Handler_.Suspected_ == 1);
}

// Guards against a process without the fleet secret that calls or poses as a
// peer, and against a refusal that harms the other connections.
TEST_CASE("both sides must know the fleet secret") {
  Fixture Peers;
  Peers.start();
  REQUIRE(Peers.probe());
  PeerClient Stranger({.FleetSecret_ = "other", .Limits_ = {}}, Peers.Loop_);
  auto Refused =
      capture([&] { return Stranger.probe(Peers.address(), {}, Generous); });
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
  Peers.Server_.AuthenticationTimeout_ = Milliseconds{50};
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
  Peers.Client_.Limits_.MaxListElements_ = 100;
  Peers.Server_.Limits_.MaxDocumentBytes_ = 1300;
  Peers.start();
  Peers.Handler_.Revisions_ = 101;
  auto Revisions = capture(
      [&] { return Peers.client().revisions(Peers.address(), Generous); });
  CHECK_FALSE(Revisions);
  auto Documents = capture([&] {
    return Peers.client().documents(Peers.address(), {"a", "b", "c"}, Generous);
  });
  REQUIRE(Documents);
  CHECK(Documents->size() == 2);
}

// Guards against later calls that wait on a connection which stopped
// delivering, and against breaking off the calls still in progress on it.
TEST_CASE("after a time-out the next call uses a new connection") {
  Fixture Peers;
  PeerServer &Server = Peers.start();
  REQUIRE(Peers.probe());
  std::thread Slow([&] {
    auto Outcome = Peers.forward("block");
    CHECK(Outcome);
  });
  CHECK(eventually([&] { return Peers.Handler_.Forwards_ == 1; }));
  auto Late = Peers.forward("block", Milliseconds{50});
  REQUIRE_FALSE(Late);
  CHECK(Late.error().Code_ == ErrorCode::Ambiguous);
  CHECK(Peers.client().connectionCount() == 0);
  CHECK(Peers.probe());
  CHECK(Server.connectionCount() == 2);
  Peers.Handler_.release();
  Slow.join();
}

// Guards against a time-out during connecting that is reported as a call that
// may have run.
TEST_CASE("a peer that never authenticates was not sent the call") {
  Fixture Peers;
  PeerServer &Server = Peers.start();
  Server.stop();
  int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Address{};
  Address.sin_family = AF_INET;
  Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t Size = sizeof(Address);
  auto *Raw = reinterpret_cast<sockaddr *>(&Address);
  REQUIRE(bind(Socket, Raw, Size) == 0);
  REQUIRE(listen(Socket, 8) == 0);
  REQUIRE(getsockname(Socket, Raw, &Size) == 0);
  std::string To = "127.0.0.1:" + std::to_string(ntohs(Address.sin_port));
  auto Outcome =
      capture([&] { return Peers.client().probe(To, {}, Milliseconds{50}); });
  close(Socket);
  REQUIRE_FALSE(Outcome);
  CHECK(Outcome.error().Code_ == ErrorCode::Unavailable);
  auto Refused = Peers.probe();
  REQUIRE_FALSE(Refused);
  CHECK(Refused.error().Code_ == ErrorCode::Unavailable);
}

// Guards against a client that keeps using the connection to the former process
// of a restarted peer.
TEST_CASE("a restarted peer is reached again") {
  Fixture Peers;
  Peers.start();
  REQUIRE(Peers.probe());
  Peers.Running_->stop();
  Peers.start();
  CHECK(eventually([&] { return static_cast<bool>(Peers.probe()); }));
}

// Guards against a number of connections that grows with the fleet.
TEST_CASE("idle connections are closed") {
  Fixture Peers;
  Peers.Client_.IdleLifetime_ = Milliseconds{40};
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
  Peers.Server_.MaxForwards_ = 1;
  Peers.start();
  auto Fault = Peers.forward("throw");
  REQUIRE_FALSE(Fault);
  CHECK(Fault.error().Code_ == ErrorCode::Ambiguous);
  std::thread Slow([&] { CHECK(Peers.forward("block")); });
  CHECK(eventually([&] { return Peers.Handler_.Forwards_ == 2; }));
  auto Excess = Peers.forward("post");
  REQUIRE_FALSE(Excess);
  CHECK(Excess.error().Code_ == ErrorCode::Unavailable);
  CHECK(Peers.probe());
  Peers.Handler_.release();
  Slow.join();
}

// Guards against a handler call that outlives the server it answers to.
TEST_CASE("stopping waits for the handler and breaks off its caller") {
  Fixture Peers;
  Peers.start();
  std::thread Slow([&] {
    auto Outcome = Peers.forward("block");
    REQUIRE_FALSE(Outcome);
    CHECK(Outcome.error().Code_ == ErrorCode::Ambiguous);
    Peers.Handler_.release();
  });
  CHECK(eventually([&] { return Peers.Handler_.Forwards_ == 1; }));
  Peers.Running_->stop();
  CHECK(Peers.Handler_.Released_);
  Slow.join();
}
