/// \file
/// HTTP server on cpp-httplib.
#ifndef AMARANTH_TRANSPORT_HTTPSERVER_H
#define AMARANTH_TRANSPORT_HTTPSERVER_H

#include "Support/Error.h"
#include "Transport/HttpMessage.h"

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace amaranth::transport {

/// Settings of HttpServer.
struct HttpServerSettings {
  std::string Address_ = "127.0.0.1";
  int Port_ = 0; ///< 0 lets the system choose a free port.
  /// Connections served at once; further ones wait for a free worker.
  int MaxConnections_ = 512;
  std::size_t MaxBodyBytes_ = 8 * 1024 * 1024;
  Seconds KeepAliveTimeout_{15};
  Seconds ReadTimeout_{15};
  Seconds WriteTimeout_{15};
};

/// Serves HTTP with one WorkArena task for each connection. It replaces the
/// library's listen backlog of 5, which drops connection attempts in a burst.
class HttpServer final {
public:
  using Handler = std::function<HttpReply(const HttpRequest &)>;

  explicit HttpServer(const HttpServerSettings &Settings);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Adds a route; \p Pattern is a regular expression over the whole path, and
  /// its groups become HttpRequest::PathParameters_. Call before serve().
  void route(std::string_view Method, const std::string &Pattern,
             Handler Handle);

  /// Binds the address; Unavailable if that fails. Connections wait until
  /// serve(), so that the port is known before routes are added.
  Result<void> bind();

  /// Starts to accept connections; call after bind() and the last route().
  void serve();

  /// bind() and serve().
  Result<void> start();

  /// The port in use, after bind().
  int port() const { return Port_; }

  /// Stops accepting connections, and waits for the requests being served.
  void stop();

private:
  struct Implementation;

  HttpServerSettings Settings_;
  std::unique_ptr<Implementation> Implementation_;
  std::thread Thread_;
  int Port_ = 0;
};

} // namespace amaranth::transport

#endif
