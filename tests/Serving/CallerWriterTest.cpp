#include "Serving/CallerWriter.h"

#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

#include <netinet/tcp.h>

#include <optional>

using namespace amaranth;
using namespace amaranth::serving;
using boost::asio::ip::tcp;
using transport::Awaitable;
using transport::LinkStatus;

namespace {

const SteadyTime Start{Seconds{1000}};
constexpr std::size_t MaxBuffered = 256 * 1024;

/// A connection whose caller's side has small buffers and is read by the test.
struct Connection {
  explicit Connection(std::size_t BudgetBytes = 1024 * 1024,
                      DeliveryLimitSettings Limit = {})
      : Budget_(BudgetBytes) {
    tcp::acceptor Acceptor(Loop_, {boost::asio::ip::address_v4::loopback(), 0});
    Caller_.open(tcp::v4());
    Caller_.set_option(boost::asio::socket_base::receive_buffer_size(4096));
    int SegmentSize = 1000;
    setsockopt(Caller_.native_handle(), IPPROTO_TCP, TCP_MAXSEG, &SegmentSize,
               sizeof SegmentSize);
    Caller_.connect(Acceptor.local_endpoint());
    auto Link = std::make_shared<transport::TcpLink>(Acceptor.accept());
    CallerWriterSettings Settings;
    Settings.CheckPeriod_ = Milliseconds{20};
    Writer_ = std::make_shared<CallerWriter>(
        std::move(Link), Budget_,
        DeliveryLimit(SteadyClock::now() + Seconds{60}, Limit), Settings);
  }

  Awaitable<void> writeAll(std::size_t Messages, std::string Message) {
    for (std::size_t I = 0; I < Messages; ++I) {
      std::string Copy = Message;
      Last_ = co_await Writer_->write(std::move(Copy));
      Accepted_ += Last_ == LinkStatus::Ok;
    }
    Last_ = co_await Writer_->finish();
    Finished_ = true;
  }

  void start(std::size_t Messages, const std::string &Message) {
    transport::startTask(Loop_, writeAll(Messages, Message));
    Loop_.run_for(Milliseconds{50});
  }

  transport::Loop Loop_;
  transport::ByteBudget Budget_;
  tcp::socket Caller_{Loop_};
  std::shared_ptr<CallerWriter> Writer_;
  std::size_t Accepted_ = 0;
  LinkStatus Last_ = LinkStatus::Ok;
  bool Finished_ = false;
};

} // namespace

// Requirement M1. Guards against cutting off a caller that keeps reading after
// the request's deadline, and against holding an answer without end.
TEST_CASE("delivery limit: a caller that accepts bytes is served until 30 s "
          "after the deadline") {
  DeliveryLimit Limit(Start + Seconds{5});
  Limit.onWaiting(Start);
  for (int Second = 0; Second < 35; Second += 9) {
    SteadyTime Now = Start + Seconds{Second};
    CHECK_FALSE(Limit.isExceeded(Now));
    Limit.onAccepted(static_cast<std::uint64_t>(Second) + 1, Now);
  }
  CHECK(Limit.isExceeded(Start + Seconds{35}));
}

// Requirement M1. Guards against a caller that holds a buffer without reading,
// and against taking the time between two events for a pause of the caller.
TEST_CASE("delivery limit: a caller that accepts nothing for 10 s is given "
          "up") {
  DeliveryLimit Limit(Start + Seconds{60});
  Limit.onWaiting(Start);
  Limit.onAccepted(100, Start + Seconds{1});
  Limit.onAccepted(100, Start + Seconds{5});
  CHECK_FALSE(Limit.isExceeded(Start + Milliseconds{10999}));
  CHECK(Limit.isExceeded(Start + Seconds{11}));
  Limit.onWaiting(Start + Seconds{20});
  CHECK_FALSE(Limit.isExceeded(Start + Seconds{21}));
}

// Requirement M1. Guards against an engine that is not read while its caller
// reads nothing, against a buffer without bound, and against lost or reordered
// bytes.
TEST_CASE("caller writer: events are buffered up to the bound while the caller "
          "does not read") {
  bool BudgetIsSmall = GENERATE(false, true);
  CAPTURE(BudgetIsSmall);
  std::size_t Bound = BudgetIsSmall ? 64 * 1024 : MaxBuffered;
  Connection C(BudgetIsSmall ? Bound : 1024 * 1024);
  std::string Message(1000, ' ');
  for (std::size_t I = 0; I < Message.size(); ++I)
    Message[I] = static_cast<char>('a' + I % 23);
  constexpr std::size_t Messages = 1000;
  C.start(Messages, Message);
  CHECK(C.Accepted_ >= Bound / Message.size());
  CHECK(C.Accepted_ < Messages / 2);
  CHECK(C.Budget_.used() <= Bound);
  CHECK(C.Budget_.used() > Bound - 2 * Message.size());
  std::string Received;
  char Chunk[4096];
  while (Received.size() < Messages * Message.size()) {
    C.Loop_.run_for(Milliseconds{1});
    Received.append(Chunk, C.Caller_.read_some(boost::asio::buffer(Chunk)));
  }
  C.Loop_.run_for(Milliseconds{50});
  CHECK(C.Finished_);
  CHECK(C.Last_ == LinkStatus::Ok);
  CHECK(C.Budget_.used() == 0);
  std::string Expected;
  for (std::size_t I = 0; I < Messages; ++I)
    Expected += Message;
  CHECK(Received == Expected);
}

// Requirement M1. Guards against a buffer that stays occupied by a caller that
// reads nothing, and against an orderly end that makes its answer look
// complete.
TEST_CASE("caller writer: a caller that reads nothing is given up with a "
          "reset") {
  DeliveryLimitSettings Limit;
  Limit.MaxPause_ = Milliseconds{300};
  Connection C(1024 * 1024, Limit);
  bool Failed = false;
  C.Writer_->onFailure([&Failed] { Failed = true; });
  C.start(1, std::string(200000, 'x'));
  CHECK_FALSE(C.Finished_);
  C.Loop_.run_for(Milliseconds{800});
  REQUIRE(C.Finished_);
  CHECK(C.Last_ == LinkStatus::TimedOut);
  CHECK(Failed);
  CHECK(C.Budget_.used() == 0);
  boost::system::error_code End;
  std::string Rest(200000, ' ');
  boost::asio::read(C.Caller_, boost::asio::buffer(Rest), End);
  CHECK(End == boost::asio::error::connection_reset);
}

// Requirement M1. Guards against giving up a caller that reads steadily while
// its socket's buffers are so full that none of the answer can be written.
TEST_CASE("caller writer: bytes that the caller reads from the socket's "
          "buffer count as progress") {
  DeliveryLimitSettings Limit;
  Limit.MaxPause_ = Milliseconds{300};
  Connection C(1024 * 1024, Limit);
  C.start(1, std::string(300000, 'x'));
  char Chunk[2000];
  for (int I = 0; I < 30; ++I) {
    C.Loop_.run_for(Milliseconds{50});
    boost::asio::read(C.Caller_, boost::asio::buffer(Chunk));
  }
  CHECK(C.Writer_->status() == LinkStatus::Ok);
}
