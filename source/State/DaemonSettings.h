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

/// Everything that a daemon learns from its settings file.
struct DaemonSettings {
  std::string Host_;       ///< Name of this host, unique in the fleet.
  std::string DataCentre_; ///< Data centre of this host.
  std::string CallerAddress_ = "127.0.0.1:0"; ///< HTTP listener.
  std::string PeerAddress_ = "127.0.0.1:0";   ///< RPC listener.
  /// RPC addresses of other daemons to join through.
  std::vector<std::string> Seeds_;
  std::vector<std::string> KeyValueEndpoints_; ///< "ip:port".
  std::string HostListAddress_;   ///< "ip:port" of the host list, or empty.
  std::string FleetSecret_;       ///< Authenticates peers and tickets.
  std::string OperatorKeyDigest_; ///< SHA-256 of the operator key, in hex.
  LogLevel LogLevel_ = LogLevel::Info;

  Milliseconds EntryHostKeep_{5000}; ///< How long callers keep an answer.
  Milliseconds TicketLifetime_{600000};
  Milliseconds Retention_{600000};
  /// Between two probes of peers. Five daemons exchange 12 to 14 KB/s each at
  /// 200 ms, above the 10 KB/s that control may use.
  Milliseconds ProbePeriod_{400};
  Milliseconds IsolationLimit_{5000};
  Milliseconds LoadPollPeriod_{1000};
  Milliseconds HostListPeriod_{1000};
  Milliseconds ProgressTimeout_{2000}; ///< Towards targets.
  int MaxConnections_ = 512;
  int MaxInFlight_ = 256;
  bool BaselinePolicy_ = false; ///< Random target, no admission (comparison).
};

/// Settings, or every fault found in the file.
struct SettingsReading {
  std::optional<DaemonSettings> Settings_;
  std::vector<DocumentFault> Faults_;
};

/// Reads and checks the TOML \p Text. All faults are reported at once.
SettingsReading readDaemonSettings(std::string_view Text);

} // namespace amaranth::state

#endif
