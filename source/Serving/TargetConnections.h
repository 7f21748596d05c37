/// \file
/// Connections to targets, kept open for reuse.
#ifndef AMARANTH_SERVING_TARGETCONNECTIONS_H
#define AMARANTH_SERVING_TARGETCONNECTIONS_H

#include "State/TargetRecord.h"
#include "Transport/TcpLink.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace amaranth::serving {

/// Settings of TargetConnections.
struct TargetConnectionsSettings {
  /// Connecting within a region takes a few milliseconds. A target that takes
  /// longer is unreachable or has a full accept queue.
  Milliseconds ConnectTimeout_{250};
  /// Keep-alive time assumed for targets that state none. A connection is not
  /// reused within the margin before its end, as the target may be closing it.
  Milliseconds IdleTimeout_{4000};
  Milliseconds IdleMargin_{500};
  std::size_t MaxIdlePerTarget_ = 32;
};

/// Idle connections by target id. A connection is reused only if nothing has
/// arrived on it since its last answer.
class TargetConnections final {
public:
  TargetConnections(transport::Loop &Executor,
                    TargetConnectionsSettings Settings = {});

  /// Returns an idle or a new connection; null if the target cannot be reached.
  transport::Awaitable<std::shared_ptr<transport::TcpLink>>
  acquire(state::TargetRecord Target, SteadyTime Deadline);
  /// Takes back a connection whose last answer was complete, for reuse.
  void release(const std::string &TargetId,
               std::shared_ptr<transport::TcpLink> Link,
               std::optional<Milliseconds> KeepAlive);
  /// Closes the idle connections to a target.
  void closeIdle(const std::string &TargetId);
  /// Closes connections whose idle time has ended. Call often.
  void closeExpired(SteadyTime Now);

private:
  struct IdleConnection {
    std::shared_ptr<transport::TcpLink> Link_;
    SteadyTime UsableUntil_;
  };

  std::shared_ptr<transport::TcpLink> acquireIdle(const std::string &TargetId);

  transport::Loop &Loop_;
  TargetConnectionsSettings Settings_;
  std::map<std::string, std::deque<IdleConnection>> IdleConnections_;
};

} // namespace amaranth::serving

#endif
