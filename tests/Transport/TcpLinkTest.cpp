#include "Transport/TcpLink.h"
#include "Transport/LoopbackPeer.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <stdexcept>
#include <thread>

using namespace amaranth;
using namespace amaranth::transport;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

/// Accepts one connection and writes to it.
Awaitable<void> acceptAndWrite(Loop &Executor, tcp::acceptor &Acceptor,
                               const std::string &Bytes,
                               std::optional<LinkStatus> &Status) {
  tcp::socket Accepted(Executor);
  boost::system::error_code Failure;
  auto Token = asio::redirect_error(asio::use_awaitable, Failure);
  co_await Acceptor.async_accept(Accepted, Token);
  auto Link = std::make_shared<TcpLink>(std::move(Accepted));
  Status = co_await Link->write(Bytes);
}

/// Reads until \p End and spends \p Work on each read.
Awaitable<void> readUntil(Loop &Executor, tcp::endpoint Peer, SteadyTime End,
                          Milliseconds Work) {
  auto Link = std::make_shared<TcpLink>(Executor);
  bool Connected = co_await Link->connect(Peer);
  LinkStatus Status = Connected ? LinkStatus::Ok : LinkStatus::Reset;
  while (Status == LinkStatus::Ok && SteadyClock::now() < End) {
    Status = co_await Link->readSome();
    Link->input().clear();
    std::this_thread::sleep_for(Work);
  }
}

Awaitable<void> failAfter(Loop &Executor, Milliseconds Delay) {
  co_await pause(Executor, Delay);
  throw std::runtime_error("not foreseen");
}

Awaitable<void> finishAfter(Loop &Executor, Milliseconds Delay,
                            bool &Finished) {
  co_await pause(Executor, Delay);
  Finished = true;
}

} // namespace

// Pattern: slow but sound streams. Guards against cutting off a caller that
// pauses between two reads for longer than a stalled connection is kept.
TEST_CASE("tcp link: a caller may pause for seconds between reads") {
  constexpr Seconds Pause{5};
  const std::string Bytes(32 * 1024 * 1024, 'x');
  Loop Executor;
  tcp::acceptor Acceptor(Executor, {asio::ip::address_v4::loopback(), 0});
  std::size_t Read = 0;
  std::thread Caller([&, Peer = Acceptor.local_endpoint()] {
    asio::io_context Own;
    tcp::socket Socket(Own);
    boost::system::error_code Failure;
    Socket.connect(Peer, Failure);
    std::this_thread::sleep_for(Pause);
    std::string Buffer(Bytes.size(), ' ');
    Read = asio::read(Socket, asio::buffer(Buffer), Failure);
  });
  std::optional<LinkStatus> Status;
  startTask(Executor, acceptAndWrite(Executor, Acceptor, Bytes, Status));
  Executor.run();
  Caller.join();
  CHECK(Status == LinkStatus::Ok);
  CHECK(Read == Bytes.size());
}

// Pattern: a server in trouble sends bytes without end. Guards against a task
// that reads them without a pause, so that no timer and no other task runs.
TEST_CASE("tcp link: a peer that sends without end leaves room for others") {
  constexpr Milliseconds ReadTime{1000};
  Loop Executor;
  testing::LoopbackPeer Peer([](testing::PeerConnection &Connection) {
    const std::string Block(256 * 1024, 'x');
    while (Connection.write(Block)) {
    }
  });
  std::optional<SteadyTime> TimerFiredAt;
  auto WaitForTimer = [&]() -> Awaitable<void> {
    co_await pause(Executor, Milliseconds{50});
    TimerFiredAt = SteadyClock::now();
  };
  SteadyTime End = SteadyClock::now() + ReadTime;
  startTask(Executor, readUntil(Executor, *parseEndpoint(Peer.address()), End,
                                Milliseconds{1}));
  startTask(Executor, WaitForTimer());
  Executor.run();
  REQUIRE(TimerFiredAt);
  CHECK(*TimerFiredAt < End - ReadTime / 2);
}

// Pattern: an unexpected error while one connection is served. Guards against
// an error that ends the process, and with it all other connections.
TEST_CASE("loop: a connection's task that fails ends alone") {
  Loop Executor;
  bool Finished = false;
  startConnectionTask(Executor, failAfter(Executor, Milliseconds{1}));
  startConnectionTask(Executor,
                      finishAfter(Executor, Milliseconds{20}, Finished));
  CHECK_NOTHROW(Executor.run());
  CHECK(Finished);
  // Other tasks have no one to go on without them.
  startTask(Executor, failAfter(Executor, Milliseconds{1}));
  Executor.restart();
  CHECK_THROWS_AS(Executor.run(), std::runtime_error);
}
