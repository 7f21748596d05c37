/// \file
/// The HTTP server that all stand-ins share.
#ifndef AMARANTH_STANDIN_STANDINSERVER_H
#define AMARANTH_STANDIN_STANDINSERVER_H

#include "Standin/Connection.h"
#include "Standin/Interruption.h"
#include "Standin/SwitchBoard.h"
#include "Transport/HttpServer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>

namespace amaranth::standin {

/// Settings of StandinServer.
struct StandinServerSettings {
  int Port_ = 0; ///< 0 lets the system choose a free port.
  int MaxConnections_ = 512;
};

/// A request with its parsed body and its connection.
struct StandinCall {
  const transport::HttpRequest &Request_;
  nlohmann::json Body_; ///< An empty object if the request has no body.
  Connection Connection_;
};

/// A reply with \p Body as JSON.
transport::HttpReply jsonReply(int Status, const nlohmann::json &Body);

/// A reply {"error": Message}.
transport::HttpReply errorReply(int Status, const std::string &Message);

/// Serves JSON with call counters and fault switches, echoes X-Request-Id, and
/// stops at once even while handlers wait. Control routes are under /standin.
class StandinServer final {
public:
  using Handler = std::function<transport::HttpReply(StandinCall &)>;

  explicit StandinServer(const StandinServerSettings &Settings);
  ~StandinServer();
  StandinServer(const StandinServer &) = delete;
  StandinServer &operator=(const StandinServer &) = delete;

  /// Adds a route whose calls are counted under \p Kind unless it is empty. A
  /// body that is not JSON, or not of the expected types, is answered 400.
  void route(const std::string &Method, const std::string &Pattern,
             const std::string &Kind, Handler Handle);

  SwitchBoard &switches() { return Switches_; }
  /// Calls \p Callback after each change of switches, before it is answered.
  void onSwitchChange(std::function<void()> Callback);
  Interruption &interruption() { return Interruption_; }

  Result<void> start();
  int port() const { return Server_.port(); }

  /// Ends all waits, cuts all connections and stops the server.
  void stop();

private:
  transport::HttpReply handle(const std::string &Kind, const Handler &Handle,
                              const transport::HttpRequest &Request);
  void count(const std::string &Kind);
  void addControlRoutes();

  Interruption Interruption_;
  SwitchBoard Switches_;
  std::function<void()> SwitchCallback_;
  std::mutex Mutex_;
  std::map<std::string, std::int64_t> Counters_;
  bool Running_ = false;
  transport::HttpServer Server_;
};

} // namespace amaranth::standin

#endif
