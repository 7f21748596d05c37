#include "Daemon/PlatformMode.h"

#include "Serving/EntryHost.h"
#include "Support/Log.h"
#include "platform/EdgeCodec.h"
#include "platform/RecordCodec.h"
#include "platform/SettingsFile.h"
#include "platform/StoreClient.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>

namespace amaranth::daemon {

namespace {

constexpr int ExitFailure = 1;

std::optional<state::HostSettings> loadSettings() {
  const char *Path = std::getenv(platform::SettingsVariable);
  if (!Path) {
    std::fprintf(
        stderr,
        "amaranthd: environment variable %s is not set; expected the path of "
        "the settings file\n",
        platform::SettingsVariable);
    return std::nullopt;
  }
  std::ifstream File(Path, std::ios::binary);
  if (!File) {
    std::fprintf(stderr, "amaranthd: cannot read settings file %s\n", Path);
    return std::nullopt;
  }
  std::string Text(std::istreambuf_iterator<char>(File), {});
  platform::SettingsFileReadResult ParseResult =
      platform::readSettingsFile(Text);
  for (const std::string &Fault : ParseResult.Faults_)
    std::fprintf(stderr, "amaranthd: %s: %s\n", Path, Fault.c_str());
  return ParseResult.Settings_;
}

/// Handles the next signal and waits again: SIGHUP is logged, SIGTERM and
/// SIGINT drain the host.
void waitForSignals(boost::asio::signal_set &Signals,
                    serving::EntryHost &Host) {
  Signals.async_wait([&](const boost::system::error_code &Failure, int Signal) {
    if (Failure)
      return;
    if (Signal == SIGHUP)
      LogEvent(LogLevel::Info, "settings_file_changed");
    else
      Host.drain();
    waitForSignals(Signals, Host);
  });
}

} // namespace

int runOnPlatform(bool CheckOnly) {
  std::optional<state::HostSettings> Settings = loadSettings();
  if (!Settings)
    return ExitFailure;
  if (CheckOnly) {
    std::puts("settings: ok");
    return 0;
  }
  std::signal(SIGPIPE, SIG_IGN);
  initializeLog(LogLevel::Info);
  transport::Loop Loop(1);
  platform::EdgeCodec Edge;
  platform::RecordCodec Codec;
  platform::StoreClientSettings StoreSettings;
  StoreSettings.Address_ = Settings->StoreAddress_;
  StoreSettings.WatchSlack_ = Settings->watchSlack();
  StoreSettings.MaxIdleTime_ = Settings->maxStoreIdleTime();
  platform::StoreClient Store(Loop, StoreSettings);
  serving::EntryHost Host(Loop, *Settings, Edge, Codec, Store);
  if (!Host.start()) {
    LogEvent(LogLevel::Error, "cannot_start").field("host", Settings->Host_);
    return ExitFailure;
  }
  boost::asio::signal_set Signals(Loop, SIGTERM, SIGINT, SIGHUP);
  waitForSignals(Signals, Host);
  LogEvent(LogLevel::Info, "started")
      .field("host", Settings->Host_)
      .field("data_centre", Settings->DataCentre_)
      .field("callers", Settings->CallerAddress_);
  Loop.run();
  // Suspended tasks still refer to the host and the loop, so the process ends
  // without running destructors.
  std::fflush(nullptr);
  std::_Exit(0);
}

} // namespace amaranth::daemon
