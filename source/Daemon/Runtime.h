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

/// Builds the components in the order of their dependencies, starts them, and
/// takes them down again in the order that loses no request.
class Runtime final {
public:
  explicit Runtime(const state::DaemonSettings &Settings);
  ~Runtime();
  Runtime(const Runtime &) = delete;
  Runtime &operator=(const Runtime &) = delete;

  /// Binds both listeners and starts every component; Unavailable if an address
  /// cannot be bound. The host accepts requests when it has its documents.
  Result<void> start();

  /// "ip:port" in use, after start().
  std::string callerAddress() const;
  std::string peerAddress() const;

  /// Begins to drain; returns at once. Thread-safe.
  void requestDrain();

  /// Serves until requestDrain(), drains, and stops.
  void runUntilDrained();

private:
  struct Components;

  protocol::Member makeSelf() const;
  void connectFleet();
  void installHandlers();
  void startBackgroundWork();
  /// Accepts requests once the documents are there; drains when a newer process
  /// runs under this host's name.
  void checkState();
  bool isDraining();
  /// Finds peers by their sessions in the key-value service.
  void learnSessions();
  void startJanitorPass();
  void drain();

  state::DaemonSettings Settings_;
  std::unique_ptr<Components> Components_;
  std::mutex Mutex_;
  std::condition_variable DrainRequested_;
  bool Draining_ = false;
};

} // namespace amaranth::daemon

#endif
