/// \file
/// Daemons in several data centres with a key-value stand-in.
#ifndef AMARANTH_TESTS_INTEGRATION_FLEETHARNESS_H
#define AMARANTH_TESTS_INTEGRATION_FLEETHARNESS_H

#include "Integration/DaemonProcess.h"
#include "Integration/Eventually.h"
#include "Integration/StandinProcess.h"

#include <cstdint>

namespace amaranth::integration {

/// Settings of FleetHarness.
struct FleetHarnessSettings {
  int Daemons_ = 5;
  int DataCentres_ = 2;
  /// Puts a separate proxy between each daemon and the key-value service.
  bool ProxyKeyValue_ = false;
  /// Daemons read the host list, which has the state of each target.
  bool HostList_ = false;
  Milliseconds HostListLag_{0}; ///< Delay of changes in the host list.
  std::string ExtraSettings_;   ///< Additional settings of every daemon.
};

/// A fleet with one client account and one operator. Daemon I has the host name
/// "host-I" and is in data centre I modulo the number of data centres.
class FleetHarness final {
public:
  static constexpr const char *CallerKey = "caller-key-of-the-fleet";
  static constexpr const char *OperatorKey = "operator-key-of-the-fleet";

  /// Returns once every daemon is ready and lists all others as alive; throws
  /// std::runtime_error if that takes longer than 30 s.
  explicit FleetHarness(const FleetHarnessSettings &Settings);

  StandinProcess &keyValue() { return KeyValue_; }
  StandinProcess &keyValueProxy(std::size_t I) { return *Proxies_.at(I); }
  DaemonProcess &daemon(std::size_t I) { return *Daemons_.at(I); }
  std::size_t size() const { return Daemons_.size(); }

  /// Default settings of daemon \p I.
  DaemonProcessSettings daemonSettings(std::size_t I) const;

  /// Starts a daemon and appends it, or puts it in place of daemon \p I.
  std::size_t addDaemon(const DaemonProcessSettings &Settings);
  void replaceDaemon(std::size_t I, const DaemonProcessSettings &Settings);

  transport::HttpOutcome call(std::size_t I, const std::string &Method,
                              const std::string &Path, const std::string &Key,
                              const std::string &Body = "",
                              const transport::HttpHeaders &ExtraHeaders = {},
                              Milliseconds Timeout = Seconds{15}) const;

  /// GET with the operator key; null unless the answer is 200.
  nlohmann::json operatorGet(std::size_t I, const std::string &Path) const;

  transport::HttpOutcome apply(std::size_t I, const std::string &Service,
                               std::uint64_t Revision,
                               const std::string &Document,
                               const std::string &ChangeId) const;
  transport::HttpOutcome remove(std::size_t I, const std::string &Service,
                                std::uint64_t Revision,
                                const std::string &ChangeId) const;

  /// Applies a document through daemon \p I and returns the new revision;
  /// throws std::runtime_error if the daemon refuses it.
  std::uint64_t applyOrThrow(std::size_t I, const std::string &Service,
                             std::uint64_t Revision,
                             const std::string &Document) const;

  /// Revision that daemon \p I uses; 0 if it has none.
  std::uint64_t revisionAt(std::size_t I, const std::string &Service) const;

  /// Waits until the daemons \p DaemonIndices (all if empty) use revision
  /// \p ExpectedRevision; false after \p Timeout, by default the time within
  /// which a change is promised to reach every daemon.
  bool waitInForce(const std::string &Service, std::uint64_t ExpectedRevision,
                   std::vector<std::size_t> DaemonIndices = {},
                   Milliseconds Timeout = Seconds{12}) const;

  /// Sends a request of the client account.
  transport::HttpOutcome submit(std::size_t I, const std::string &Service,
                                const nlohmann::json &Body,
                                const transport::HttpHeaders &ExtraHeaders = {},
                                Milliseconds Timeout = Seconds{15}) const;

  bool isReady(std::size_t I) const;

  /// Status of \p Host in the member list of daemon \p I; empty if not listed.
  std::string memberStatus(std::size_t I, const std::string &Host) const;

  /// Document of a plain service with the idempotent call "look-up" and the
  /// non-idempotent call "place" on all \p Targets.
  static std::string
  plainServiceDocument(const std::string &Name,
                       const std::vector<std::string> &Targets,
                       bool ReportsLoad = true);

  /// Document of a pipeline with one generate stage on all \p Engines.
  static std::string pipelineDocument(const std::string &Name,
                                      const std::vector<std::string> &Engines);

  /// Caller addresses of all daemons.
  std::vector<std::string> addresses() const;

private:
  bool allJoined() const;

  FleetHarnessSettings Settings_;
  StandinProcess KeyValue_;
  std::vector<std::unique_ptr<StandinProcess>> Proxies_;
  std::vector<std::unique_ptr<DaemonProcess>> Daemons_;
};

} // namespace amaranth::integration

#endif
