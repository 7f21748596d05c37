/// \file
/// Listens for callers and for the platform's checks.
#ifndef AMARANTH_SERVING_CALLERSERVER_H
#define AMARANTH_SERVING_CALLERSERVER_H

#include "Serving/RequestTask.h"
#include "Transport/HttpReader.h"

#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>
#include <string>

namespace amaranth::serving {

/// Answers what callers and the platform ask of a host itself.
class HostStatus {
public:
  virtual ~HostStatus() = default;
  virtual bool ready() const = 0;
  /// Entry hosts that callers should use.
  virtual std::vector<std::string> callerAddresses() const = 0;
};

/// Settings of CallerServer.
struct CallerServerSettings {
  /// Connections of callers at the same time; from the descriptor limit.
  std::size_t MaxConnections_ = 1000;
};

/// Accepts connections and runs one task for each.
class CallerServer final {
public:
  CallerServer(EntryContext &Context, StageClient &Stages, HostStatus &Status,
               CallerServerSettings Settings);

  /// Listens for the platform's checks and the directory; callers wait for
  /// acceptCallers(). False if one of the addresses cannot be used.
  bool start();
  /// Begins to accept callers. Until then their connections are refused, so
  /// that they go to other hosts at once.
  void acceptCallers();
  bool acceptsCallers() const { return Accepting_; }
  /// Stops accepting callers; requests on open connections are still served.
  void stopAccepting();
  /// Closes the connections without a request.
  void closeIdle();

private:
  using Acceptor = boost::asio::ip::tcp::acceptor;
  using Link = std::shared_ptr<transport::TcpLink>;
  enum class Port { Callers, Host };

  std::shared_ptr<Acceptor> bind(const std::string &Address);
  bool listen(Acceptor &At);
  transport::Awaitable<void> accept(std::shared_ptr<Acceptor> From, Port For);
  transport::Awaitable<void> serve(Link Caller, Port For);
  /// Reads one request; the reader's state tells how that ended.
  transport::Awaitable<bool>
  readRequest(Link Caller, transport::HttpReader &Reader, SteadyTime &Arrival);
  transport::Awaitable<void> refuseUnread(Link Caller, int Status,
                                          std::string Reason);
  transport::Awaitable<bool>
  answerHostCall(Link Caller, const transport::HttpReader &Reader);
  state::CallerLimits limits() const;

  EntryContext &Context_;
  StageClient &Stages_;
  HostStatus &Status_;
  CallerServerSettings Settings_;
  std::shared_ptr<Acceptor> Callers_;
  std::set<Link> Waiting_; ///< Connections between requests.
  std::size_t Connections_ = 0;
  bool Accepting_ = false;
};

} // namespace amaranth::serving

#endif
