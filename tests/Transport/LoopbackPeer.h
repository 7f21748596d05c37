/// \file
/// A target on a loopback port whose bytes a test determines.
#ifndef AMARANTH_TESTS_TRANSPORT_LOOPBACKPEER_H
#define AMARANTH_TESTS_TRANSPORT_LOOPBACKPEER_H

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <exception>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace amaranth::testing {

/// A connection of a LoopbackPeer; used by one thread.
class PeerConnection final {
public:
  explicit PeerConnection(boost::asio::ip::tcp::socket Socket)
      : Socket_(std::move(Socket)) {}

  /// Reads the head of a request; empty if the connection has ended.
  std::string readHead() {
    boost::system::error_code Failure;
    std::size_t Length = boost::asio::read_until(
        Socket_, boost::asio::dynamic_buffer(Input_), "\r\n\r\n", Failure);
    if (Failure)
      return "";
    std::string Head = Input_.substr(0, Length);
    Input_.erase(0, Length);
    return Head;
  }

  /// False if the peer has closed the connection.
  bool write(const std::string &Bytes) {
    boost::system::error_code Failure;
    boost::asio::write(Socket_, boost::asio::buffer(Bytes), Failure);
    return !Failure;
  }

  /// Ends reads and writes in progress; may be called by another thread.
  void interrupt() {
    boost::system::error_code Ignored;
    std::lock_guard Lock(Mutex_);
    Socket_.shutdown(boost::asio::socket_base::shutdown_both, Ignored);
  }
  void close() {
    boost::system::error_code Ignored;
    std::lock_guard Lock(Mutex_);
    Socket_.close(Ignored);
  }

  /// Reads until the connection ends and returns how it ended.
  boost::system::error_code readToEnd() {
    boost::system::error_code Failure;
    char Buffer[4096];
    while (!Failure)
      Socket_.read_some(boost::asio::buffer(Buffer), Failure);
    return Failure;
  }

private:
  std::mutex Mutex_; ///< For the end of the connection.
  boost::asio::ip::tcp::socket Socket_;
  std::string Input_;
};

/// Runs a handler on a thread for each connection.
class LoopbackPeer final {
public:
  using Handler = std::function<void(PeerConnection &)>;

  explicit LoopbackPeer(Handler Handle)
      : Handle_(std::move(Handle)),
        Acceptor_(Executor_, {boost::asio::ip::address_v4::loopback(), 0}),
        Thread_([this] { accept(); }) {}
  ~LoopbackPeer() {
    boost::system::error_code Ignored;
    Stopping_ = true;
    // Ends the blocking accept().
    boost::asio::ip::tcp::socket Last(Executor_);
    Last.connect(Acceptor_.local_endpoint(), Ignored);
    Thread_.join();
    // An exception leaves the other side of the connections suspended, so that
    // handlers would wait for it without end.
    if (std::uncaught_exceptions() > 0)
      for (PeerConnection &Connection : Connections_)
        Connection.interrupt();
    for (std::thread &Running : Handlers_)
      Running.join();
  }
  LoopbackPeer(const LoopbackPeer &) = delete;
  LoopbackPeer &operator=(const LoopbackPeer &) = delete;

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor_.local_endpoint().port());
  }

private:
  void accept() {
    for (;;) {
      boost::system::error_code Failure;
      boost::asio::ip::tcp::socket Accepted(Executor_);
      Acceptor_.accept(Accepted, Failure);
      if (Failure || Stopping_)
        return;
      PeerConnection &Connection =
          Connections_.emplace_back(std::move(Accepted));
      Handlers_.emplace_back([this, &Connection] {
        Handle_(Connection);
        Connection.close();
      });
    }
  }

  Handler Handle_;
  boost::asio::io_context Executor_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  std::atomic<bool> Stopping_ = false;
  std::list<PeerConnection> Connections_;
  std::list<std::thread> Handlers_;
  std::thread Thread_;
};

} // namespace amaranth::testing

#endif
