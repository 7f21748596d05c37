/// \file
/// Runs amaranthd as a child process.
#ifndef AMARANTH_TESTS_INTEGRATION_DAEMONPROCESS_H
#define AMARANTH_TESTS_INTEGRATION_DAEMONPROCESS_H

#include "Integration/ChildProcess.h"

#include <memory>

namespace amaranth::integration {

/// Values of the settings file of a daemon under test.
struct DaemonProcessSettings {
  std::string Host_ = "host-1";
  std::string DataCentre_ = "dc-1";
  std::string CallerAddress_ = "127.0.0.1:0";
  std::string PeerAddress_ = "127.0.0.1:0";
  std::vector<std::string> Seeds_;
  std::vector<std::string> KeyValueEndpoints_;
  std::string HostListAddress_;
  std::string FleetSecret_ = "test-fleet-secret";
  std::string OperatorKeyDigest_;
  std::string LogLevel_ = "info";
  /// Additional settings as TOML text, for example "max_in_flight = 8".
  std::string ExtraSettings_;
};

/// Starts amaranthd with a settings file and waits until it listens. The log
/// and the settings file are kept, and their paths printed, if the test case
/// fails.
class DaemonProcess final {
public:
  /// Throws std::runtime_error if the daemon does not print its addresses
  /// within 30 s.
  explicit DaemonProcess(const DaemonProcessSettings &Settings);
  ~DaemonProcess();
  DaemonProcess(const DaemonProcess &) = delete;
  DaemonProcess &operator=(const DaemonProcess &) = delete;

  const std::string &callerAddress() const { return CallerAddress_; }
  const std::string &peerAddress() const { return PeerAddress_; }
  const std::string &logFile() const { return LogFile_; }
  ChildProcess &process() { return *Process_; }

private:
  void readAddresses();

  std::string SettingsFile_;
  std::string LogFile_;
  std::string CallerAddress_;
  std::string PeerAddress_;
  std::unique_ptr<ChildProcess> Process_;
};

} // namespace amaranth::integration

#endif
