/// \file
/// Settings of amaranthd.
#ifndef AMARANTH_STATE_DAEMONSETTINGS_H
#define AMARANTH_STATE_DAEMONSETTINGS_H

#include "State/ServiceDocument.h"
#include "Support/Log.h"
#include "Support/Time.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::state {

/// Contents of the settings file of a daemon.
struct DaemonSettings {
  std::string Host_;       ///< Name of this host, unique in the fleet.
  std::string DataCentre_; ///< Data centre of this host.
  std::string CallerAddress_ = "127.0.0.1:0"; ///< HTTP listener.
  std::string PeerAddress_ = "127.0.0.1:0";   ///< RPC listener.
  /// RPC addresses of daemons to contact when joining the fleet.
  std::vector<std::string> Seeds_;
  std::vector<std::string> KeyValueEndpoints_; ///< "ip:port".
  std::string HostListAddress_; ///< "ip:port" of the host list, or empty.
  /// Authenticates peers and tickets (which bind idempotency keys to a daemon).
  std::string FleetSecret_;
  std::string OperatorKeyDigest_; ///< SHA-256 of the operator key, in hex.
  LogLevel LogLevel_ = LogLevel::Info;

  /// How long callers may cache the list of entry hosts.
  Milliseconds EntryHostCacheTime_{5000};
  Milliseconds TicketLifetime_{600000};
  Milliseconds Retention_{600000}; ///< Of request keys, after their expiry.
  /// Time between two probes of peers. At 200 ms, each of five daemons
  /// exchanges 12 to 14 KB/s, more than the 10 KB/s that control traffic may
  /// use.
  Milliseconds ProbePeriod_{400};
  Milliseconds IsolationLimit_{5000};
  Milliseconds LoadPollPeriod_{1000};
  Milliseconds HostListPeriod_{1000};
  Milliseconds ProgressTimeout_{2000}; ///< Longest wait for data of a target.
  int MaxConnections_ = 512;
  int MaxInFlight_ = 256;
  /// Chooses targets at random and without admission control, for comparisons.
  bool BaselinePolicy_ = false;
};

/// The settings, or all faults of the file.
struct SettingsReadResult {
  std::optional<DaemonSettings> Settings_;
  std::vector<DocumentFault> Faults_;
};

/// Parses and validates the TOML \p Text. Reports all faults at once.
SettingsReadResult readDaemonSettings(std::string_view Text);

} // namespace amaranth::state

#endif
