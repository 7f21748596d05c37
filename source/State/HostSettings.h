/// \file
/// Settings of an entry host on the platform.
#ifndef AMARANTH_STATE_HOSTSETTINGS_H
#define AMARANTH_STATE_HOSTSETTINGS_H

#include "Support/Time.h"

#include <string>

namespace amaranth::state {

/// What the platform tells a process about its host. All addresses are IP:PORT.
struct HostSettings {
  std::string Host_;
  std::string DataCentre_;
  std::string Region_;
  std::string CallerAddress_;    ///< Where callers send requests.
  std::string ReadinessAddress_; ///< Where the platform checks readiness.
  std::string DirectoryAddress_; ///< Where callers ask for entry hosts.
  std::string PeerAddress_;      ///< Where the other entry hosts connect.
  std::string StoreAddress_;     ///< The platform's store.
  /// Time from the signal to stop until the process is killed.
  Milliseconds Grace_{8000};
  /// Longest time callers may keep an answer of the directory.
  Milliseconds DirectoryLifetime_{2000};
  /// Extra attempts at a service, of all hosts together and in any window of
  /// RetryWindow_: RetryRatio_ x its requests + RetryExtra_.
  double RetryRatio_ = 0.2;
  double RetryExtra_ = 56;
  Milliseconds RetryWindow_{10000};
  /// How long targets report themselves apart, and three of which without a
  /// sign of life remove their record.
  Milliseconds Heartbeat_{1200};
  std::size_t MemoryMegabytes_ = 256;
  std::size_t MaxDescriptors_ = 4096;
};

} // namespace amaranth::state

#endif
