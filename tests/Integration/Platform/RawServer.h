/// \file
/// An HTTP server whose handlers write every byte of their answers.
#ifndef AMARANTH_TESTS_INTEGRATION_PLATFORM_RAWSERVER_H
#define AMARANTH_TESTS_INTEGRATION_PLATFORM_RAWSERVER_H

#include "Support/Time.h"
#include "Transport/HttpReader.h"

#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace amaranth::integration {

/// One request that a RawServer received.
struct RawRequest {
  transport::HttpHead Head_;
  std::string Body_;

  std::string field(const std::string &Name) const;
  std::string path() const;
  /// A parameter of the query string, or an empty string.
  std::string queryParameter(const std::string &Name) const;
};

/// A connection of a RawServer; used by one thread.
class RawServerConnection final {
public:
  explicit RawServerConnection(int Socket)
      : Socket_(Socket), OpenedAt_(SteadyClock::now()) {}

  std::optional<RawRequest> read();
  void write(const std::string &Bytes);
  /// Bounds the bytes that the kernel holds, so that write() waits until the
  /// peer reads.
  void setSendBuffer(int Bytes);
  /// Makes the close of the connection send a reset.
  void resetOnClose();
  /// Waits until the peer closes the connection; false after \p TimeoutMs.
  bool waitForClose(int TimeoutMs);
  SteadyTime openedAt() const { return OpenedAt_; }

private:
  int Socket_;
  SteadyTime OpenedAt_;
  std::string Input_;
};

/// Listens on a loopback port and runs a thread for each connection. A handler
/// returns false to end its connection.
class RawServer {
public:
  using Handler =
      std::function<bool(RawServerConnection &, const RawRequest &)>;

  explicit RawServer(Handler Handle);
  ~RawServer();
  RawServer(const RawServer &) = delete;
  RawServer &operator=(const RawServer &) = delete;

  /// "127.0.0.1:PORT"
  std::string address() const;

private:
  void accept();
  void serve(int Socket);

  Handler Handle_;
  int Listener_ = -1;
  int Port_ = 0;
  std::mutex Mutex_;
  bool Stopping_ = false;
  std::list<int> OpenSockets_;
  std::list<std::thread> Threads_;
  std::thread Acceptor_;
};

/// A complete answer with a Content-Length.
std::string rawAnswer(int Status, const std::string &Fields,
                      const std::string &Body);

/// Returns a loopback port that no socket is bound to.
int freePort();

} // namespace amaranth::integration

#endif
