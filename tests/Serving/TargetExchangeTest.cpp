#include "Serving/TargetExchange.h"
#include "Transport/LoopbackPeer.h"

#include <catch2/catch.hpp>

#include <boost/asio/post.hpp>

#include <atomic>
#include <fstream>
#include <optional>
#include <unistd.h>

using namespace amaranth;
using namespace amaranth::serving;
using testing::LoopbackPeer;
using testing::PeerConnection;
using transport::Awaitable;

namespace {

/// The parts of the protocol that an exchange uses.
class PlainProtocol final : public protocol::EdgeProtocol {
public:
  protocol::TargetReply
  readReply(const transport::HttpHead &Head) const override {
    protocol::TargetReply Reply;
    if (const std::string *Id = Head.find("Request-Id"))
      Reply.RequestId_ = *Id;
    Reply.NotExecuted_ = Head.find("Not-Executed") != nullptr;
    return Reply;
  }
  protocol::HostCall hostCall(const transport::HttpHead &) const override {
    return protocol::HostCall::None;
  }
  protocol::DirectoryQuery
  directoryQuery(const transport::HttpHead &) const override {
    return {};
  }
  Result<protocol::CallerRequest>
  readRequest(const transport::HttpHead &) const override {
    return protocol::CallerRequest{};
  }
  std::string targetRequest(const transport::HttpHead &, const std::string &,
                            const protocol::TargetCallFields &) const override {
    return "";
  }
  std::string answerHead(const transport::HttpHead &) const override {
    return "";
  }
  std::string hostAnswer(int, const std::string &, const std::string &,
                         std::optional<Milliseconds>, bool) const override {
    return "";
  }
  std::string directoryAnswer(const std::vector<std::string> &,
                              Milliseconds) const override {
    return "";
  }
  std::string
  stageCall(const std::vector<protocol::StagePiece> &, const std::string &,
            const std::string &,
            const std::vector<std::optional<Milliseconds>> &) const override {
    return "";
  }
  Result<std::vector<protocol::PieceOutcome>>
  readStageAnswer(const std::string &) const override {
    return std::vector<protocol::PieceOutcome>{};
  }
  std::string freeResultsCall(const std::vector<std::string> &,
                              const std::string &,
                              const std::string &) const override {
    return "";
  }
  std::string holderAddress(const std::string &) const override { return ""; }
};

constexpr std::size_t BudgetBytes = 8 * 1024 * 1024;

/// An entry host's side of exchanges with one target.
struct Fixture {
  explicit Fixture(LoopbackPeer::Handler Handle) : Peer_(std::move(Handle)) {
    Target_.Id_ = "t";
    Target_.Address_ = Peer_.address();
  }

  Awaitable<void> run(std::string Request, std::string Id,
                      Milliseconds TimeLimit) {
    TargetExchange Exchange(Connections_, Protocol_, Budget_, Target_,
                            Settings_);
    Current_ = &Exchange;
    SteadyTime Deadline = SteadyClock::now() + TimeLimit;
    co_await Exchange.start(Request, Id, Deadline);
    co_await Exchange.readAll();
    State_ = Exchange.state();
    Body_ = Exchange.takeBody();
    Current_ = nullptr;
  }

  /// Runs one exchange to its end.
  void exchange(const std::string &Id, Milliseconds TimeLimit = Seconds{20}) {
    std::string Request = "GET / HTTP/1.1\r\nRequest-Id: " + Id + "\r\n\r\n";
    transport::startTask(Loop_, run(Request, Id, TimeLimit));
    Loop_.restart();
    Loop_.run();
  }

  transport::Loop Loop_;
  PlainProtocol Protocol_;
  transport::ByteBudget Budget_{BudgetBytes};
  TargetConnections Connections_{Loop_};
  state::TargetRecord Target_;
  TargetExchangeSettings Settings_;
  TargetExchange *Current_ = nullptr;
  std::optional<ExchangeState> State_;
  std::string Body_;
  LoopbackPeer Peer_; ///< Last, so that its threads end first.
};

std::string answer(const std::string &Id, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + Id +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

/// Memory of this process in use.
std::size_t residentBytes() {
  std::ifstream File("/proc/self/statm");
  std::size_t Total = 0;
  std::size_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace

// Rule GONE. Guards against a request that is still on its way when its caller
// leaves, or when its time is over, and reaches the target later.
TEST_CASE("target exchange: a request on its way is withdrawn at its end") {
  bool CallerLeaves = GENERATE(true, false);
  CAPTURE(CallerLeaves);
  std::atomic<bool> HasEnded = false;
  boost::system::error_code End;
  // Larger than the buffers of both sides.
  std::string Request(64 * 1024 * 1024, 'x');
  {
    Fixture F([&](PeerConnection &Connection) {
      while (!HasEnded)
        std::this_thread::sleep_for(Milliseconds{1});
      End = Connection.readToEnd();
    });
    Milliseconds TimeLimit{CallerLeaves ? 20000 : 200};
    transport::startTask(F.Loop_, F.run(Request, "r", TimeLimit));
    boost::asio::steady_timer Leaving(F.Loop_, Milliseconds{100});
    if (CallerLeaves)
      Leaving.async_wait([&F](const boost::system::error_code &) {
        REQUIRE(F.Current_);
        F.Current_->stop();
      });
    F.Loop_.run();
    CHECK(F.State_ ==
          (CallerLeaves ? ExchangeState::Broken : ExchangeState::TimedOut));
    HasEnded = true;
  }
  CHECK(End == boost::asio::error::connection_reset);
}

// Rules E1, L1. Guards against a request that is written to a target that left,
// or was evacuated, while the request waited for its connection: new or kept.
TEST_CASE("target exchange: a request waits for a connection to a target that "
          "may no longer get it") {
  std::atomic<int> Requests = 0;
  Fixture F([&](PeerConnection &Connection) {
    while (Requests < 2 && !Connection.readHead().empty()) {
      ++Requests;
      Connection.write(answer("r", "done"));
    }
  });
  F.Settings_.MaySend_ = [] { return false; };
  F.exchange("r");
  CHECK(F.State_ == ExchangeState::Withheld);
  F.Settings_.MaySend_ = [] { return true; };
  F.exchange("r");
  CHECK(F.State_ == ExchangeState::Complete);
  F.Settings_.MaySend_ = [] { return false; };
  F.exchange("r");
  CHECK(F.State_ == ExchangeState::Withheld);
  F.Settings_.MaySend_ = nullptr;
  F.exchange("r");
  CHECK(F.Body_ == "done");
  CHECK(Requests == 2);
}

// Rules REFUSED, TWICE. Pattern: a target writes an earlier refusal once more,
// with the id of its request, before it runs the next request.
// Guards against taking a request that runs for one that was refused.
TEST_CASE("target exchange: an earlier refusal does not refuse the next "
          "request") {
  std::string Refusal = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\n"
                        "Request-Id: r1\r\nContent-Length: 0\r\n\r\n";
  std::atomic<int> Requests = 0;
  Fixture F([&](PeerConnection &Connection) {
    for (bool IsFirst = true; Requests < 2 && !Connection.readHead().empty();
         IsFirst = false) {
      ++Requests;
      std::string Next = Requests == 1 ? Refusal : answer("r1", "done");
      Connection.write((IsFirst ? "" : Refusal) + Next);
    }
  });
  F.exchange("r1");
  CHECK(F.State_ == ExchangeState::NotExecuted);
  // The same request may be sent to the same target again.
  F.exchange("r1");
  CHECK(F.State_ == ExchangeState::Complete);
  CHECK(F.Body_ == "done");
  CHECK(Requests == 2);
}

// Rule TWICE. Pattern: a target in trouble sends a refusal without an id, late,
// and runs the request. Guards against sending the request to another target
// as well.
TEST_CASE("target exchange: a refusal without an id refuses nothing") {
  const std::string Refusal = "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\n"
                              "Content-Length: 0\r\n\r\n";
  bool IsAnswered = GENERATE(true, false);
  CAPTURE(IsAnswered);
  std::atomic<int> Connections = 0;
  Fixture F([&](PeerConnection &Connection) {
    ++Connections;
    Connection.readHead();
    Connection.write(Refusal + (IsAnswered ? answer("r1", "done") : ""));
    if (!IsAnswered)
      Connection.close();
    else
      Connection.readHead();
  });
  F.exchange("r1");
  CHECK(F.State_ ==
        (IsAnswered ? ExchangeState::Complete : ExchangeState::Broken));
  CHECK(F.Body_ == (IsAnswered ? "done" : ""));
  // Bytes that belong to no request may follow on that connection.
  F.exchange("r1");
  CHECK(Connections == 2);
}

// Pattern: a target sends a second copy of an answer, late, on a connection
// that is in use again. Guards against a caller that gets an answer to another
// request.
TEST_CASE("target exchange: a late copy is not the next request's answer") {
  std::atomic<int> Requests = 0;
  Fixture F([&](PeerConnection &Connection) {
    std::string Copy;
    for (std::string Head = Connection.readHead(); !Head.empty();
         Head = Connection.readHead()) {
      std::string Id = Head.substr(Head.find("Request-Id: ") + 12, 2);
      std::string Own = answer(Id, "body of " + Id);
      ++Requests;
      Connection.write(Copy + Own);
      Copy = Own;
    }
  });
  for (const char *Id : {"r1", "r2", "r3"}) {
    F.exchange(Id);
    CHECK(F.State_ == ExchangeState::Complete);
    CHECK(F.Body_ == std::string("body of ") + Id);
  }
  CHECK(Requests == 3);
  F.Connections_.closeIdle("t");
}

// Guards against an answer without an id, or with an empty one, that is taken
// for the answer to the request on its connection.
TEST_CASE("target exchange: an answer without an id is nobody's") {
  std::string Answer = GENERATE(
      as<std::string>{}, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 200 OK\r\nRequest-Id:\r\nContent-Length: 1\r\n\r\nx",
      "HTTP/1.1 100 Continue\r\n\r\n");
  CAPTURE(Answer);
  Fixture F([&](PeerConnection &Connection) {
    Connection.readHead();
    while (Connection.write(Answer))
      std::this_thread::sleep_for(Milliseconds{1});
  });
  F.exchange("r1");
  CHECK(F.State_ == ExchangeState::Unusable);
}

// Rules MIXED, ORDER. Pattern: a target stops in the middle of its answer's
// head and closes the connection. Guards against a caller that gets an answer
// with an empty or short body that looks whole.
TEST_CASE("target exchange: an answer cut within its head is broken") {
  const std::string Framing =
      GENERATE("Content-Length: 4\r\n", "Transfer-Encoding: chunked\r\n", "");
  const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + Framing +
                           "Response-Signature: s\r\n\r\n";
  for (std::size_t Length = 0; Length < Head.size(); ++Length) {
    CAPTURE(Head.substr(0, Length));
    Fixture F([&](PeerConnection &Connection) {
      Connection.readHead();
      Connection.write(Head.substr(0, Length));
    });
    F.exchange("r1");
    CHECK(F.State_ == ExchangeState::Broken);
    CHECK(F.Body_.empty());
  }
}

// Rule MIXED. Pattern: a target answers a long upload before it has read it,
// without a length, and resets the connection while the upload is still being
// written. Guards against the part of the answer that counts as the whole.
TEST_CASE("target exchange: an answer reset during the upload is whole only by "
          "its length") {
  bool HasLength = GENERATE(false, true);
  CAPTURE(HasLength);
  const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
  const std::string Framing = HasLength ? "Content-Length: 4\r\n\r\n" : "\r\n";
  // Larger than the buffers of both sides.
  std::string Request = "POST / HTTP/1.1\r\nRequest-Id: r1\r\n\r\n" +
                        std::string(64 * 1024 * 1024, 'x');
  Fixture F([&](PeerConnection &Connection) {
    Connection.readHead();
    Connection.write(Head + Framing + "part");
    std::this_thread::sleep_for(Milliseconds{100});
  });
  transport::startTask(F.Loop_, F.run(Request, "r1", Seconds{20}));
  F.Loop_.run();
  CHECK(F.State_ ==
        (HasLength ? ExchangeState::Complete : ExchangeState::Broken));
}

// Rule MIXED. Guards against an interim answer (1xx), or one whose status does
// not exist, that a caller gets as the answer to its request.
TEST_CASE("target exchange: only a final answer answers a request") {
  const std::string Fields = " Status\r\nRequest-Id: r1\r\n";
  const std::string InterimAnswer = "HTTP/1.1 103" + Fields + "\r\n";
  Fixture F([&](PeerConnection &Connection) {
    Connection.readHead();
    Connection.write(InterimAnswer + answer("r1", "done"));
  });
  F.exchange("r1");
  CHECK(F.State_ == ExchangeState::Complete);
  CHECK(F.Body_ == "done");
  Fixture WithoutStatus([&](PeerConnection &Connection) {
    Connection.readHead();
    Connection.write("HTTP/1.1 000" + Fields + "Content-Length: 1\r\n\r\nx");
  });
  WithoutStatus.exchange("r1");
  CHECK(WithoutStatus.State_ == ExchangeState::Unusable);
}

// Pattern: servers in trouble send bytes without end, until the caller closes.
// Guards against exchanges that read on for ever and against memory that grows
// with what they read, also for many at once.
TEST_CASE("target exchange: bytes without end are given up") {
  struct Endless {
    std::string Begin_;
    std::string Filler_;
  };
  const std::string Own = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n";
  const std::string Chunked = Own + "Transfer-Encoding: chunked\r\n\r\n";
  const Endless Part = GENERATE_COPY(
      Endless{"", "x"}, Endless{"HTTP/1.1 200 O", "K"},
      Endless{Own + "X: ", "x"}, Endless{Own, "X: x\r\n"},
      Endless{Chunked + "3;x=", "x"}, Endless{Chunked + "0\r\nX: ", "x"},
      Endless{Own + "\r\n", "x"},
      Endless{Own + "Content-Length: 1000000000000000000\r\n\r\n", "x"},
      Endless{Chunked, "400\r\n" + std::string(1024, 'x') + "\r\n"},
      Endless{"HTTP/1.1 200 OK\r\nRequest-Id: r9\r\n\r\n", "x"});
  CAPTURE(Part.Begin_);
  constexpr int ExchangeCount = 24;
  std::string Filler;
  while (Filler.size() < 64 * 1024)
    Filler += Part.Filler_;
  Fixture F([&](PeerConnection &Connection) {
    Connection.readHead();
    Connection.write(Part.Begin_);
    while (Connection.write(Filler))
      ;
  });
  std::size_t BytesBefore = residentBytes();
  std::string Request = "GET / HTTP/1.1\r\nRequest-Id: r1\r\n\r\n";
  for (int I = 0; I < ExchangeCount; ++I)
    transport::startTask(F.Loop_, F.run(Request, "r1", Seconds{60}));
  SteadyTime StartTime = SteadyClock::now();
  std::size_t MostBytes = 0;
  while (F.Loop_.run_one_for(Seconds{1}) > 0)
    MostBytes = std::max(MostBytes, residentBytes());
  CHECK(SteadyClock::now() - StartTime < Seconds{30});
  CHECK(F.State_ == ExchangeState::Unusable);
  CHECK(F.Budget_.used() == 0);
  // Strings grow by doubling, and the buffers of each connection come on top.
  CHECK(MostBytes < BytesBefore + 4 * BudgetBytes);
}

// Guards against waiting until the deadline for an answer that will be too
// large to be used.
TEST_CASE(
    "target exchange: a stated length over the limit is refused at once") {
  Fixture F([&](PeerConnection &Connection) {
    Connection.readHead();
    Connection.write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
                     "Content-Length: 100000000\r\n\r\nx");
    Connection.readToEnd();
  });
  SteadyTime StartTime = SteadyClock::now();
  F.exchange("r1");
  CHECK(F.State_ == ExchangeState::Unusable);
  CHECK(SteadyClock::now() - StartTime < Seconds{3});
}

// Pattern: a target answers slowly but soundly, some bytes at a time. Guards
// against a stall limit that cuts it before its deadline.
TEST_CASE("target exchange: a slow answer is read to its end") {
  Fixture F([&](PeerConnection &Connection) {
    Connection.readHead();
    for (char Byte : answer("r1", std::string(40, 'x'))) {
      Connection.write(std::string(1, Byte));
      std::this_thread::sleep_for(Milliseconds{15});
    }
  });
  F.exchange("r1");
  CHECK(F.State_ == ExchangeState::Complete);
  CHECK(F.Body_ == std::string(40, 'x'));
}

// Pattern: a stalled target sends a byte now and then. Guards against an
// exchange that goes on after its deadline as long as bytes come.
TEST_CASE("target exchange: a byte now and then does not extend the deadline") {
  Fixture F([&](PeerConnection &Connection) {
    Connection.readHead();
    Connection.write("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\n");
    while (Connection.write("x"))
      std::this_thread::sleep_for(Milliseconds{20});
  });
  SteadyTime StartTime = SteadyClock::now();
  F.exchange("r1", Milliseconds{400});
  CHECK(F.State_ == ExchangeState::TimedOut);
  CHECK(SteadyClock::now() - StartTime < Seconds{3});
}
