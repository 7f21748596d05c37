/// \file
/// A server whose handlers decide every byte.
#ifndef AMARANTH_TESTS_INTEGRATION_PLATFORM_RAWSERVER_H
#define AMARANTH_TESTS_INTEGRATION_PLATFORM_RAWSERVER_H

#include "Transport/HttpReader.h"

#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace amaranth::integration {

/// One request as it arrived.
struct RawRequest {
  transport::HttpHead Head_;
  std::string Body_;

  std::string field(const std::string &Name) const;
  std::string path() const;
  /// A parameter of the query, or an empty text.
  std::string queryParameter(const std::string &Name) const;
};

/// A connection of a RawServer; used by one thread.
class RawServerConnection final {
public:
  explicit RawServerConnection(int Socket) : Socket_(Socket) {}

  std::optional<RawRequest> read();
  void write(const std::string &Bytes);
  /// Ends the connection with a reset.
  void resetOnClose();
  /// True when the other side has closed.
  bool waitForClose(int TimeoutMs);

private:
  int Socket_;
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

/// A whole answer with a length.
std::string rawAnswer(int Status, const std::string &Fields,
                      const std::string &Body);

/// A loopback port that nothing listens on.
int freePort();

} // namespace amaranth::integration

#endif
