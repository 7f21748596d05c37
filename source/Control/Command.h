/// \file
/// Interface of the commands of amaranthctl.
#ifndef AMARANTH_CONTROL_COMMAND_H
#define AMARANTH_CONTROL_COMMAND_H

#include "Control/OptionParser.h"
#include "Support/Error.h"

#include <ostream>
#include <string>

namespace amaranth::control {

/// Exit codes of the program.
enum class ExitCode {
  Done = 0,
  Failed = 1,
  UsageError = 2,
  Conflict = 3, ///< Another change to the document was stored first.
  TimedOut = 4, ///< Stored, but not in force on every host in time.
};

/// Command line, output streams and key for one run of a command.
struct CommandContext {
  const Options &Options_;
  std::ostream &Output_;   ///< Results.
  std::ostream &Messages_; ///< Progress and errors.
  /// The operator key from the environment, or empty.
  std::string OperatorKey_;
};

/// One command. run() either reports a failure on Messages_ itself or returns
/// an error, whose code determines the exit code.
class Command {
public:
  virtual ~Command() = default;

  virtual const char *name() const = 0;
  /// One line for the list of commands in the help.
  virtual const char *summary() const = 0;
  /// Positional arguments, as in "FILE|DIR".
  virtual const char *arguments() const { return ""; }
  virtual int argumentCount() const { return 0; }
  /// Lines of examples, without the program name.
  virtual const char *examples() const = 0;

  virtual void declareOptions(OptionParser &Parser) const = 0;
  virtual Result<ExitCode> run(const CommandContext &Context) = 0;
};

} // namespace amaranth::control

#endif
