/// \file
/// A child process that a test starts, signals and ends.
#ifndef AMARANTH_TESTS_INTEGRATION_CHILDPROCESS_H
#define AMARANTH_TESTS_INTEGRATION_CHILDPROCESS_H

#include "Support/Time.h"

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace amaranth::integration {

/// How to start a ChildProcess.
struct ChildProcessSettings {
  std::string Program_; ///< Path of the executable.
  std::vector<std::string> Arguments_;
  /// File for standard error; empty to inherit it.
  std::string StandardErrorFile_;
};

/// How a process ended.
struct ExitStatus {
  int Code_ = 0;   ///< Exit code, if it exited.
  int Signal_ = 0; ///< Signal that terminated it, or 0.
};

/// Starts a program by posix_spawn and signals it by its id. Standard input is
/// a pipe that closes when the test process ends for any reason. The destructor
/// kills and reaps the process.
class ChildProcess final {
public:
  /// Throws std::runtime_error if the program cannot be started.
  explicit ChildProcess(const ChildProcessSettings &Settings);
  ~ChildProcess();
  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  pid_t id() const { return Id_; }

  /// Returns the next line of standard output without its newline, or
  /// std::nullopt at the end of the output or after \p Limit.
  std::optional<std::string> readLine(Milliseconds Limit);

  void terminate(); ///< SIGTERM
  void kill();      ///< SIGKILL
  void stop();      ///< SIGSTOP
  void resume();    ///< SIGCONT

  /// Waits for the process to end; std::nullopt if it still runs after
  /// \p Limit.
  std::optional<ExitStatus> waitExit(Milliseconds Limit);

private:
  void sendSignal(int Number);
  std::optional<std::string> takeLine();
  bool readAvailable(Milliseconds Limit);

  pid_t Id_ = -1;
  int ProcessDescriptor_ = -1; ///< Pidfd, readable once the process ended.
  int StandardInput_ = -1;     ///< Write end of its standard input.
  int StandardOutput_ = -1;    ///< Read end of its standard output.
  std::string UnreadOutput_;
  std::optional<ExitStatus> Exit_;
};

} // namespace amaranth::integration

#endif
