/// \file
/// amaranthd: serves callers on one entry host.

#include "Daemon/Options.h"
#include "Daemon/PlatformMode.h"
#include "Daemon/Runtime.h"
#include "State/DaemonSettings.h"
#include "Support/Allocator.h"
#include "Support/Log.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <iterator>
#include <thread>

namespace {

using namespace amaranth;

constexpr int ExitFailure = 1;

std::optional<std::string> readFile(const std::string &Path) {
  std::ifstream File(Path, std::ios::binary);
  if (!File)
    return std::nullopt;
  return std::string(std::istreambuf_iterator<char>(File), {});
}

std::optional<state::DaemonSettings> loadSettings(const std::string &Path) {
  std::optional<std::string> Text = readFile(Path);
  if (!Text) {
    std::fprintf(stderr, "amaranthd: cannot read settings file %s\n",
                 Path.c_str());
    return std::nullopt;
  }
  state::SettingsReadResult ParseResult = state::readDaemonSettings(*Text);
  for (const state::DocumentFault &Fault : ParseResult.Faults_)
    std::fprintf(stderr, "amaranthd: %s\n", toString(Path, Fault).c_str());
  return ParseResult.Settings_;
}

sigset_t shutdownSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

/// Serves until a shutdown signal or a drain requested by an operator, then
/// drains the host and returns. A second signal ends the process at once.
int serve(const state::DaemonSettings &Settings, const sigset_t &Signals) {
  daemon::Runtime Runtime(Settings);
  auto Started = capture([&] { return Runtime.start(); });
  if (!Started) {
    std::fprintf(stderr, "amaranthd: %s\n", Started.error().Message_.c_str());
    return ExitFailure;
  }
  std::printf("listening caller=%s peer=%s\n", Runtime.callerAddress().c_str(),
              Runtime.peerAddress().c_str());
  std::fflush(stdout);
  std::thread SignalThread([&] {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    Runtime.requestDrain();
    sigwait(&Signals, &Signal);
    std::_Exit(ExitFailure);
  });
  SignalThread.detach();
  Runtime.runUntilDrained();
  return 0;
}

} // namespace

int main(int ArgumentCount, char **Arguments) {
  releaseFreedBlocks();
  daemon::OptionsResult Parsed =
      daemon::parseOptions(ArgumentCount, const_cast<const char **>(Arguments));
  if (!Parsed.Options_)
    return Parsed.ExitStatus_;
  if (Parsed.Options_->Platform_)
    return daemon::runOnPlatform(Parsed.Options_->CheckOnly_);
  std::optional<state::DaemonSettings> Settings =
      loadSettings(Parsed.Options_->SettingsFile_);
  if (!Settings)
    return ExitFailure;
  if (Parsed.Options_->CheckOnly_) {
    std::puts("settings: ok");
    return 0;
  }
  // All threads inherit the blocked signals; one thread waits for them.
  sigset_t Signals = shutdownSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  initializeLog(Settings->LogLevel_);
  return serve(*Settings, Signals);
}
