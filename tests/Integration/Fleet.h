/// \file
/// A fleet of daemons with a key-value stand-in.
#ifndef AMARANTH_TESTS_INTEGRATION_FLEET_H
#define AMARANTH_TESTS_INTEGRATION_FLEET_H

#include "Integration/DaemonProcess.h"
#include "Integration/StandinProcess.h"

#include <memory>
#include <string>
#include <vector>

namespace amaranth::integration {

/// Settings of Fleet.
struct FleetSettings {
  int Daemons_ = 3;
  /// Additional settings of every daemon, as TOML text.
  std::string ExtraDaemonSettings_ =
      "probe_period_ms = 100\nload_poll_period_ms = 200";
};

/// Document of a plain service with the call `place`.
struct PlainServiceSettings {
  std::string Name_ = "orders";
  std::vector<std::string> Targets_; ///< Addresses.
  Milliseconds Deadline_{30000};
  bool AllowVolatile_ = false;
  /// Declares `place` idempotent, which turns off at-most-once execution.
  bool Idempotent_ = false;
};

/// Document of a pipeline with a single generate stage.
struct PipelineSettings {
  std::string Name_ = "answers";
  std::vector<std::string> Engines_; ///< Addresses.
  Milliseconds Deadline_{30000};
};

/// Client accounts of the services that a Fleet applies. The key of an account
/// is its name with "-key" appended.
inline const std::vector<std::string> FleetAccounts{"alpha", "beta"};

/// Starts a key-value stand-in and daemons named "host-1", "host-2" and so on,
/// and applies service documents. Functions throw std::runtime_error on failure
/// or timeout.
class Fleet final {
public:
  /// Waits until all daemons are ready and list each other as alive.
  explicit Fleet(const FleetSettings &Settings = {});

  StandinProcess &keyValue() { return KeyValue_; }
  DaemonProcess &daemon(std::size_t Index) { return *Daemons_.at(Index); }
  std::size_t size() const { return Daemons_.size(); }
  static std::string hostName(std::size_t Index);

  /// Applies a document and waits until every daemon uses it.
  void apply(const PlainServiceSettings &Service);
  void apply(const PipelineSettings &Service);

  /// Kills a daemon and waits until its process has ended.
  void kill(std::size_t Index);

  /// Starts a new daemon under the name of one that has ended, and waits until
  /// the daemons \p Running list it as alive.
  void restart(std::size_t Index, const std::vector<std::size_t> &Running);

  /// Waits until every daemon of \p Observers lists \p Host with \p Status.
  void waitMemberStatus(const std::vector<std::size_t> &Observers,
                        std::size_t Host, const std::string &Status);

  /// Body of GET /v1/admin/status.
  nlohmann::json operatorStatus(std::size_t Index);

  /// Number of stored keys that start with \p Prefix.
  std::size_t countKeys(const std::string &Prefix);

private:
  void start(std::size_t Index);
  void waitReady(std::size_t Index);
  void applyDocument(const std::string &Name, const std::string &Text);

  FleetSettings Settings_;
  StandinProcess KeyValue_;
  std::vector<std::unique_ptr<DaemonProcess>> Daemons_;
};

} // namespace amaranth::integration

#endif
