/// \file
/// The HTTP server that all stand-ins share.
#ifndef AMARANTH_STANDIN_STANDINSERVER_H
#define AMARANTH_STANDIN_STANDINSERVER_H

#include "Standin/Connection.h"
#include "Standin/FaultSwitches.h"
#include "Standin/StopSignal.h"
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

/// Serves JSON, counts calls, holds the fault switches, echoes X-Request-Id,
/// and stops at once even while handlers wait. The control routes are under
/// /standin.
class StandinServer final {
public:
  using Handler = std::function<transport::HttpReply(StandinCall &)>;

  explicit StandinServer(const StandinServerSettings &Settings);
  ~StandinServer();
  StandinServer(const StandinServer &) = delete;
  StandinServer &operator=(const StandinServer &) = delete;

  /// Adds a route. Its calls are counted under \p CounterName unless that is
  /// empty. A body that is not JSON, or has values of unexpected types, is
  /// answered with 400.
  void addRoute(const std::string &Method, const std::string &Pattern,
                const std::string &CounterName, Handler HandleCall);

  FaultSwitches &switches() { return Switches_; }
  /// Calls \p Callback after each change of switches, before the change is
  /// acknowledged.
  void onSwitchChange(std::function<void()> Callback);
  StopSignal &stopSignal() { return StopSignal_; }

  Result<void> start();
  int port() const { return Server_.port(); }

  /// Ends the waits of all handlers, cuts all connections and stops the
  /// server.
  void stop();

private:
  transport::HttpReply handle(const std::string &CounterName,
                              const Handler &HandleCall,
                              const transport::HttpRequest &Request);
  void countCall(const std::string &CounterName);
  void addControlRoutes();

  StopSignal StopSignal_;
  FaultSwitches Switches_;
  std::function<void()> SwitchCallback_;
  std::mutex CountersMutex_;
  std::map<std::string, std::int64_t> CallCounts_;
  bool Running_ = false;
  transport::HttpServer Server_;
};

} // namespace amaranth::standin

#endif
