/// \file
/// Settings of an entry host on the platform.
#ifndef AMARANTH_STATE_HOSTSETTINGS_H
#define AMARANTH_STATE_HOSTSETTINGS_H

#include "Support/Time.h"

#include <string>

namespace amaranth::state {

/// Settings that the platform gives to an entry host process. All addresses are
/// IP:PORT.
struct HostSettings {
  std::string Host_;
  std::string DataCentre_;
  std::string Region_;
  std::string CallerAddress_;    ///< Listens for requests of callers.
  std::string ReadinessAddress_; ///< Listens for readiness probes.
  std::string DirectoryAddress_; ///< Listens for entry host queries.
  std::string PeerAddress_;      ///< Listens for other entry hosts.
  std::string StoreAddress_;     ///< The platform's store.
  /// Time from the termination signal until the process is killed.
  Milliseconds ShutdownGrace_{8000};
  /// Maximum time for which callers may cache a list of entry hosts.
  Milliseconds MaxDirectoryCacheTime_{2000};
  /// All hosts together may make at most RetryRatio_ x requests + RetryExtra_
  /// additional attempts for a service in any window of RetryWindow_.
  double RetryRatio_ = 0.2;
  double RetryExtra_ = 56;
  Milliseconds RetryWindow_{10000};
  /// Interval of the heartbeats of targets. The record of a target is removed
  /// after three intervals without a heartbeat.
  Milliseconds HeartbeatPeriod_{1200};
  /// Time within which every host must follow a change in the store: of the
  /// configuration, or of a target that leaves.
  Milliseconds ChangeTimeLimit_{2000};
  /// A watch of records that change within ChangeTimeLimit_ lasts this long,
  /// and one without an answer is given up this much later. Together they leave
  /// time for other hosts to take over.
  Milliseconds shortWatchTime() const { return ChangeTimeLimit_ * 2 / 5; }
  Milliseconds watchSlack() const { return ChangeTimeLimit_ / 4; }
  /// How long an idle connection to the store is kept for another call. Shorter
  /// than the time in which a silent watch is noticed, so that the read that
  /// follows does not use a connection that went silent together with it.
  Milliseconds maxStoreIdleTime() const { return shortWatchTime(); }
  /// Calls a second that the store allows all hosts together, and the largest
  /// value that it takes.
  double StoreWritesPerSecond_ = 400;
  double StoreReadsPerSecond_ = 2000;
  std::size_t MaxStoreValueBytes_ = 1024 * 1024;
  std::size_t MemoryMegabytes_ = 256;
  std::size_t MaxDescriptors_ = 4096;
  double LinkMegabits_ = 0; ///< Bandwidth of the host's link; 0 if unknown.
  /// Processor time that the host may use, in cores; 0 if unknown.
  double ProcessorShare_ = 0;
};

} // namespace amaranth::state

#endif
