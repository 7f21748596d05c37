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
    sigset_t None;
    sigset_t All;
    sigemptyset(&None);
    sigfillset(&All);
    posix_spawnattr_init(&Attributes_);
    posix_spawnattr_setsigmask(&Attributes_, &None);
    posix_spawnattr_setsigdefault(&Attributes_, &All);
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

bool readable(int Descriptor, Milliseconds Limit) {
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
    throw std::runtime_error("cannot create pipes");
  SpawnSetup Setup(Input[0], Output[1], Settings.ErrorFile_);
  int Fault = Setup.spawn(Id_, Settings);
  close(Input[0]);
  close(Output[1]);
  Input_ = Input[1];
  Output_ = Output[0];
  if (Fault != 0) {
    close(Input_);
    close(Output_);
    throw std::runtime_error("cannot start " + Settings.Program_);
  }
  Handle_ = pidfd_open(Id_, 0);
}

ChildProcess::~ChildProcess() {
  if (!Exit_) {
    signal(SIGKILL);
    int Status = 0;
    waitpid(Id_, &Status, 0);
  }
  close(Handle_);
  close(Input_);
  close(Output_);
}

std::optional<std::string> ChildProcess::readLine(Milliseconds Limit) {
  SteadyTime Deadline = SteadyClock::now() + Limit;
  while (true) {
    if (auto Line = takeLine())
      return Line;
    if (!fill(remaining(Deadline)))
      return std::nullopt;
  }
}

std::optional<std::string> ChildProcess::takeLine() {
  std::size_t End = Unread_.find('\n');
  if (End == std::string::npos)
    return std::nullopt;
  std::string Line = Unread_.substr(0, End);
  Unread_.erase(0, End + 1);
  return Line;
}

/// Reads what is there, waiting up to \p Limit; false if nothing came.
bool ChildProcess::fill(Milliseconds Limit) {
  if (!readable(Output_, Limit))
    return false;
  std::array<char, 4096> Buffer{};
  ssize_t Size = read(Output_, Buffer.data(), Buffer.size());
  if (Size <= 0)
    return false;
  Unread_.append(Buffer.data(), static_cast<std::size_t>(Size));
  return true;
}

void ChildProcess::terminate() { signal(SIGTERM); }
void ChildProcess::kill() { signal(SIGKILL); }
void ChildProcess::stop() { signal(SIGSTOP); }
void ChildProcess::resume() { signal(SIGCONT); }

void ChildProcess::signal(int Number) {
  // After reaping, the id may belong to another process.
  if (!Exit_)
    ::kill(Id_, Number);
}

std::optional<ExitStatus> ChildProcess::waitExit(Milliseconds Limit) {
  if (Exit_)
    return Exit_;
  if (!readable(Handle_, Limit))
    return std::nullopt;
  int Status = 0;
  waitpid(Id_, &Status, 0);
  Exit_ = toExitStatus(Status);
  return Exit_;
}

} // namespace amaranth::integration
