/// \file
/// Several daemons with their key-value service, for tests of the fleet.
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
  /// Puts a proxy of its own between each daemon and the key-value service.
  bool ProxyKeyValue_ = false;
  bool HostList_ = false;       ///< Daemons read the host list.
  Milliseconds HostListLag_{0}; ///< Age of the host list.
  std::string ExtraSettings_;   ///< Further settings of every daemon.
};

/// One client account, one operator and daemons that know each other. Daemons
/// are named by their index; daemon I is in data centre I modulo their number.
class FleetHarness final {
public:
  static constexpr const char *CallerKey = "caller-key-of-the-fleet";
  static constexpr const char *OperatorKey = "operator-key-of-the-fleet";

  /// Returns once every daemon is ready and sees all others alive; throws
  /// std::runtime_error if that does not happen.
  explicit FleetHarness(const FleetHarnessSettings &Settings);

  StandinProcess &keyValue() { return KeyValue_; }
  StandinProcess &keyValueProxy(std::size_t I) { return *Proxies_.at(I); }
  DaemonProcess &daemon(std::size_t I) { return *Daemons_.at(I); }
  std::size_t size() const { return Daemons_.size(); }

  /// Settings with which daemon \p I is started.
  DaemonProcessSettings daemonSettings(std::size_t I) const;

  /// Starts a daemon at the end of the list, or in place of daemon \p I.
  std::size_t addDaemon(const DaemonProcessSettings &Settings);
  void replaceDaemon(std::size_t I, const DaemonProcessSettings &Settings);

  transport::HttpOutcome call(std::size_t I, const std::string &Method,
                              const std::string &Path, const std::string &Key,
                              const std::string &Body = "",
                              const transport::HttpHeaders &ExtraHeaders = {},
                              Milliseconds Timeout = Seconds{15}) const;

  /// An operator's GET; null unless the answer is 200.
  nlohmann::json operatorGet(std::size_t I, const std::string &Path) const;

  transport::HttpOutcome apply(std::size_t I, const std::string &Service,
                               std::uint64_t Revision,
                               const std::string &Document,
                               const std::string &ChangeId) const;
  transport::HttpOutcome remove(std::size_t I, const std::string &Service,
                                std::uint64_t Revision,
                                const std::string &ChangeId) const;

  /// Applies through daemon \p I and returns the new revision; throws on a
  /// refusal.
  std::uint64_t applyOrThrow(std::size_t I, const std::string &Service,
                             std::uint64_t Revision,
                             const std::string &Document) const;

  /// Revision in force at daemon \p I; 0 if there is none.
  std::uint64_t revisionAt(std::size_t I, const std::string &Service) const;

  /// Revision \p ExpectedRevision is in force at all daemons of \p
  /// DaemonIndices (all if empty) within \p Timeout; the default is the
  /// promised bound.
  bool waitInForce(const std::string &Service, std::uint64_t ExpectedRevision,
                   std::vector<std::size_t> DaemonIndices = {},
                   Milliseconds Timeout = Seconds{12}) const;

  /// A request of the client account.
  transport::HttpOutcome submit(std::size_t I, const std::string &Service,
                                const nlohmann::json &Body,
                                const transport::HttpHeaders &ExtraHeaders = {},
                                Milliseconds Timeout = Seconds{15}) const;

  bool isReady(std::size_t I) const;

  /// Status of \p Host as daemon \p I sees it; empty if it knows none.
  std::string memberStatus(std::size_t I, const std::string &Host) const;

  /// A plain service with the idempotent call "look-up" and the non-idempotent
  /// call "place" on all \p Targets.
  static std::string
  plainServiceDocument(const std::string &Name,
                       const std::vector<std::string> &Targets,
                       bool ReportsLoad = true);

  /// A pipeline that only generates, on all \p Engines.
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
