/// \file
/// Listens for callers and for the platform's readiness checks.
#ifndef AMARANTH_SERVING_CALLERSERVER_H
#define AMARANTH_SERVING_CALLERSERVER_H

#include "Serving/RequestTask.h"
#include "Transport/HttpReader.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>
#include <string>

namespace amaranth::serving {

/// State of the host that the readiness check and the directory report.
class HostStatus {
public:
  virtual ~HostStatus() = default;
  virtual bool ready() const = 0;
  /// The host's metrics in the Prometheus text format.
  virtual std::string metricsText() = 0;
  /// Entry hosts that the asking caller should use.
  virtual std::vector<std::string>
  callerAddresses(const protocol::DirectoryQuery &Query) = 0;
};

/// Settings of CallerServer.
struct CallerServerSettings {
  /// Maximum number of open connections, from the descriptor limit.
  std::size_t MaxConnections_ = 1000;
};

/// Accepts connections and runs one task per connection.
class CallerServer final {
public:
  CallerServer(EntryContext &Context, StageClient &Stages, HostStatus &Status,
               CallerServerSettings Settings);

  /// Listens for readiness checks and directory requests, but not yet for
  /// callers. False if one of the addresses cannot be used.
  bool start();
  /// Starts accepting callers. Until then their connections are refused, so
  /// that they try other hosts at once.
  void acceptCallers();
  bool acceptsCallers() const { return AcceptsCallers_; }
  /// Stops accepting callers; requests on open connections are still served.
  void stopAccepting();
  /// Closes the connections that have no request in progress and on which none
  /// has arrived.
  void closeIdleConnections();
  /// Whether part of a request has arrived on a connection.
  bool isReadingRequests() const { return RequestsBeingRead_ > 0; }

private:
  using Acceptor = boost::asio::ip::tcp::acceptor;
  using Link = std::shared_ptr<transport::TcpLink>;
  enum class Port { Callers, Directory, Readiness };

  std::shared_ptr<Acceptor> bind(const std::string &Address);
  bool listen(Acceptor &Listener);
  transport::Awaitable<void> accept(std::shared_ptr<Acceptor> Listener,
                                    Port ListeningPort);
  transport::Awaitable<void> serve(Link Caller, Port ListeningPort);
  /// Reads one request into \p Reader, whose bytes count as \p Held. False if
  /// the connection ended or the request was refused.
  transport::Awaitable<bool> readRequest(Link Caller,
                                         transport::HttpReader &Reader,
                                         transport::ByteReservation &Held,
                                         SteadyTime &Arrival);
  transport::Awaitable<void>
  refuseUnread(Link Caller, int Status, std::string Reason,
               std::optional<Milliseconds> RetryAfter = std::nullopt);
  transport::Awaitable<bool>
  answerHostCall(Link Caller, Port ListeningPort,
                 const transport::HttpReader &Reader);
  state::CallerLimits callerLimits() const;

  EntryContext &Context_;
  StageClient &Stages_;
  HostStatus &Status_;
  CallerServerSettings Settings_;
  std::shared_ptr<Acceptor> CallerAcceptor_;
  std::set<Link> IdleConnections_; ///< Connections between requests.
  std::size_t OpenConnections_ = 0;
  std::size_t RequestsBeingRead_ = 0;
  bool AcceptsCallers_ = false;
};

} // namespace amaranth::serving

#endif
