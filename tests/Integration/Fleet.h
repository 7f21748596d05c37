/// \file
/// A fleet of daemons with its key-value service.
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
  /// Further keys of each daemon's settings, as TOML text.
  std::string ExtraDaemonSettings_ =
      "probe_period_ms = 100\nload_poll_period_ms = 200";
};

/// A plain service with the call `place`, as a test applies it.
struct PlainServiceSettings {
  std::string Name_ = "orders";
  std::vector<std::string> Targets_; ///< Addresses.
  Milliseconds Deadline_{30000};
  bool AllowVolatile_ = false;
  /// True declares `place` repeatable, which turns off at-most-once.
  bool Idempotent_ = false;
};

/// A pipeline with a single generate stage, as a test applies it.
struct PipelineSettings {
  std::string Name_ = "answers";
  std::vector<std::string> Engines_; ///< Addresses.
  Milliseconds Deadline_{30000};
};

/// Accounts of the services that a Fleet applies; each key is the name with
/// "-key" appended.
inline const std::vector<std::string> FleetAccounts{"alpha", "beta"};

/// Starts a key-value stand-in and daemons "host-1" and so on, and applies
/// documents. Functions that cannot do their work throw std::runtime_error.
class Fleet final {
public:
  /// Waits until every daemon accepts requests and lists every other as alive.
  explicit Fleet(const FleetSettings &Settings = {});

  StandinProcess &keyValue() { return KeyValue_; }
  DaemonProcess &daemon(std::size_t Index) { return *Daemons_.at(Index); }
  std::size_t size() const { return Daemons_.size(); }
  static std::string hostName(std::size_t Index);

  /// Applies a document and waits until it is in force on every daemon.
  void apply(const PlainServiceSettings &Service);
  void apply(const PipelineSettings &Service);

  /// Kills a daemon and waits for its end.
  void kill(std::size_t Index);

  /// Starts a new daemon under the name of an ended one and waits until the
  /// others of \p Running list it as alive.
  void restart(std::size_t Index, const std::vector<std::size_t> &Running);

  /// Waits until every daemon of \p Observers gives \p Host that status.
  void waitMemberStatus(const std::vector<std::size_t> &Observers,
                        std::size_t Host, const std::string &Status);

  /// Body of GET /v1/admin/status.
  nlohmann::json operatorStatus(std::size_t Index);

  /// Pairs of the key-value service whose keys start with \p Prefix.
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
