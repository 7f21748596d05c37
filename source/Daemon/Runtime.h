/// \file
/// Assembles and runs a daemon.
#ifndef AMARANTH_DAEMON_RUNTIME_H
#define AMARANTH_DAEMON_RUNTIME_H

#include "Protocol/PeerMessages.h"
#include "State/DaemonSettings.h"
#include "Support/Error.h"

#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>

namespace amaranth::daemon {

/// Builds the components in the order of their dependencies and starts them. On
/// a drain, stops them in an order in which no request is lost.
class Runtime final {
public:
  explicit Runtime(const state::DaemonSettings &Settings);
  ~Runtime();
  Runtime(const Runtime &) = delete;
  Runtime &operator=(const Runtime &) = delete;

  /// Binds both listeners and starts every component; Unavailable if an address
  /// cannot be bound. The host accepts requests once it has loaded the
  /// documents.
  Result<void> start();

  /// The bound addresses as "ip:port"; valid after start().
  std::string callerAddress() const;
  std::string peerAddress() const;

  /// Begins to drain; returns at once. Thread-safe.
  void requestDrain();

  /// Serves until requestDrain(), drains, and stops.
  void runUntilDrained();

private:
  struct Components;

  protocol::Member makeSelf() const;
  void createFleetComponents();
  void installHandlers();
  void startBackgroundWork();
  /// Lets the host accept requests once the documents are loaded, and drains it
  /// if a newer process runs under the same host name.
  void updateServingPhase();
  bool isDrainRequested();
  /// Adds the peers that have a session in the key-value service as seeds of
  /// the membership.
  void addSeedsFromSessions();
  /// Maintains the janitor's lease and, while this host holds it, runs a pass.
  void startJanitorPass();
  void drain();

  state::DaemonSettings Settings_;
  std::unique_ptr<Components> Components_;
  std::mutex Mutex_;
  std::condition_variable DrainRequested_;
  bool IsDrainRequested_ = false;
};

} // namespace amaranth::daemon

#endif
