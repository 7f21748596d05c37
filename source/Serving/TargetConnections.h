/// \file
/// Connections to targets, kept for further requests.
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
  /// A connection within a region takes a few milliseconds; a target that lets
  /// one wait longer is dark or has a full queue of new connections.
  Milliseconds ConnectTimeout_{250};
  /// Idle time for targets that state none; and what is left of a stated one
  /// when a connection is no longer used, as the target may be closing it.
  Milliseconds IdleTimeout_{4000};
  Milliseconds IdleMargin_{500};
  std::size_t MaxIdlePerTarget_ = 32;
};

/// Idle connections by target id. A connection is used again only if nothing
/// has arrived on it since its last answer.
class TargetConnections final {
public:
  TargetConnections(transport::Loop &Executor,
                    TargetConnectionsSettings Settings = {});

  /// An idle or a new connection; null if the target cannot be reached.
  transport::Awaitable<std::shared_ptr<transport::TcpLink>>
  take(state::TargetRecord Target, SteadyTime Deadline);
  /// Keeps a connection whose last answer was complete.
  void giveBack(const std::string &TargetId,
                std::shared_ptr<transport::TcpLink> Link,
                std::optional<Milliseconds> KeepAlive);
  /// Closes the idle connections to a target.
  void drop(const std::string &TargetId);
  /// Closes connections that were idle for too long. Call often.
  void expire(SteadyTime Now);

private:
  struct Idle {
    std::shared_ptr<transport::TcpLink> Link_;
    SteadyTime Until_;
  };

  std::shared_ptr<transport::TcpLink> takeIdle(const std::string &TargetId);

  transport::Loop &Loop_;
  TargetConnectionsSettings Settings_;
  std::map<std::string, std::deque<Idle>> Idle_;
};

} // namespace amaranth::serving

#endif
