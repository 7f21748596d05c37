/// \file
/// The program amaranthctl.
#ifndef AMARANTH_CONTROL_CONTROLPROGRAM_H
#define AMARANTH_CONTROL_CONTROLPROGRAM_H

#include "Control/Command.h"

#include <memory>
#include <ostream>
#include <string>
#include <vector>

namespace amaranth::control {

/// Settings of ControlProgram.
struct ControlProgramSettings {
  std::string Version_;
  std::string OperatorKey_; ///< From the environment, or empty.
};

/// Selects the command, checks its command line and maps its result to an exit
/// code.
class ControlProgram final {
public:
  ControlProgram(ControlProgramSettings Settings, std::ostream &Output,
                 std::ostream &Messages);

  /// Runs the command line \p Arguments, which excludes the program name.
  ExitCode run(const std::vector<std::string> &Arguments);

private:
  Result<ExitCode> runArguments(const std::vector<std::string> &Arguments);
  Result<ExitCode> runCommand(Command &Selected,
                              const std::vector<std::string> &Arguments);
  std::string help() const;

  ControlProgramSettings Settings_;
  std::ostream &Output_;
  std::ostream &Messages_;
  std::vector<std::unique_ptr<Command>> Commands_;
};

} // namespace amaranth::control

#endif
