#include "Integration/ChildProcess.h"

#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <stdexcept>

// glibc 2.36 declares these functions without C linkage for C++.
extern "C" {
#include <sys/pidfd.h>
}

extern char **environ;

namespace amaranth::integration {

namespace {

constexpr int CreateMode = 0600;

/// File actions and attributes of one spawn.
class SpawnSetup final {
public:
  SpawnSetup(int Input, int Output, const std::string &ErrorFile) {
    posix_spawn_file_actions_init(&Actions_);
    posix_spawn_file_actions_adddup2(&Actions_, Input, STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&Actions_, Output, STDOUT_FILENO);
    if (!ErrorFile.empty())
      posix_spawn_file_actions_addopen(
          &Actions_, STDERR_FILENO, ErrorFile.c_str(),
          O_WRONLY | O_CREAT | O_APPEND, CreateMode);
    sigset_t NoSignals;
    sigset_t AllSignals;
    sigemptyset(&NoSignals);
    sigfillset(&AllSignals);
    posix_spawnattr_init(&Attributes_);
    posix_spawnattr_setsigmask(&Attributes_, &NoSignals);
    posix_spawnattr_setsigdefault(&Attributes_, &AllSignals);
    posix_spawnattr_setflags(&Attributes_,
                             POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
  }
  ~SpawnSetup() {
    posix_spawn_file_actions_destroy(&Actions_);
    posix_spawnattr_destroy(&Attributes_);
  }
  SpawnSetup(const SpawnSetup &) = delete;
  SpawnSetup &operator=(const SpawnSetup &) = delete;

  int spawn(pid_t &Id, const ChildProcessSettings &Settings) {
    std::vector<char *> Arguments;
    Arguments.push_back(const_cast<char *>(Settings.Program_.c_str()));
    for (const std::string &Argument : Settings.Arguments_)
      Arguments.push_back(const_cast<char *>(Argument.c_str()));
    Arguments.push_back(nullptr);
    return posix_spawn(&Id, Settings.Program_.c_str(), &Actions_, &Attributes_,
                       Arguments.data(), environ);
  }

private:
  posix_spawn_file_actions_t Actions_;
  posix_spawnattr_t Attributes_;
};

bool waitReadable(int Descriptor, Milliseconds Limit) {
  pollfd Poll{Descriptor, POLLIN, 0};
  return poll(&Poll, 1, static_cast<int>(Limit.count())) > 0;
}

ExitStatus toExitStatus(int Status) {
  if (WIFSIGNALED(Status))
    return {0, WTERMSIG(Status)};
  return {WEXITSTATUS(Status), 0};
}

} // namespace

ChildProcess::ChildProcess(const ChildProcessSettings &Settings) {
  std::array<int, 2> Input{};
  std::array<int, 2> Output{};
  if (pipe2(Input.data(), O_CLOEXEC) != 0 ||
      pipe2(Output.data(), O_CLOEXEC) != 0)
    throw std::runtime_error("cannot create the pipes of a child process");
  SpawnSetup Setup(Input[0], Output[1], Settings.StandardErrorFile_);
  int SpawnError = Setup.spawn(Id_, Settings);
  close(Input[0]);
  close(Output[1]);
  StandardInput_ = Input[1];
  StandardOutput_ = Output[0];
  if (SpawnError != 0) {
    close(StandardInput_);
    close(StandardOutput_);
    throw std::runtime_error("posix_spawn failed for " + Settings.Program_);
  }
  ProcessDescriptor_ = pidfd_open(Id_, 0);
}

ChildProcess::~ChildProcess() {
  if (!Exit_) {
    sendSignal(SIGKILL);
    int Status = 0;
    waitpid(Id_, &Status, 0);
  }
  close(ProcessDescriptor_);
  close(StandardInput_);
  close(StandardOutput_);
}

std::optional<std::string> ChildProcess::readLine(Milliseconds Limit) {
  SteadyTime Deadline = SteadyClock::now() + Limit;
  while (true) {
    if (auto Line = takeLine())
      return Line;
    if (!readAvailable(remaining(Deadline)))
      return std::nullopt;
  }
}

std::optional<std::string> ChildProcess::takeLine() {
  std::size_t End = UnreadOutput_.find('\n');
  if (End == std::string::npos)
    return std::nullopt;
  std::string Line = UnreadOutput_.substr(0, End);
  UnreadOutput_.erase(0, End + 1);
  return Line;
}

/// Reads the available output, waiting up to \p Limit; false if there is none.
bool ChildProcess::readAvailable(Milliseconds Limit) {
  if (!waitReadable(StandardOutput_, Limit))
    return false;
  std::array<char, 4096> Buffer{};
  ssize_t Size = read(StandardOutput_, Buffer.data(), Buffer.size());
  if (Size <= 0)
    return false;
  UnreadOutput_.append(Buffer.data(), static_cast<std::size_t>(Size));
  return true;
}

void ChildProcess::terminate() { sendSignal(SIGTERM); }
void ChildProcess::kill() { sendSignal(SIGKILL); }
void ChildProcess::stop() { sendSignal(SIGSTOP); }
void ChildProcess::resume() { sendSignal(SIGCONT); }

void ChildProcess::sendSignal(int Number) {
  // After reaping, the id may belong to another process.
  if (!Exit_)
    ::kill(Id_, Number);
}

std::optional<ExitStatus> ChildProcess::waitExit(Milliseconds Limit) {
  if (Exit_)
    return Exit_;
  if (!waitReadable(ProcessDescriptor_, Limit))
    return std::nullopt;
  int Status = 0;
  waitpid(Id_, &Status, 0);
  Exit_ = toExitStatus(Status);
  return Exit_;
}

} // namespace amaranth::integration
