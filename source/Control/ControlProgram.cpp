#include "Control/ControlProgram.h"

#include "Control/Commands.h"

#include <sstream>

namespace amaranth::control {

namespace {

constexpr const char *ProgramName = "amaranthctl";

constexpr const char *ExitCodeHelp =
    "\nExit codes: 0 done, 1 failed, 2 usage error, 3 revision conflict, "
    "4 timed out waiting.\n";

ExitCode exitCodeFor(ErrorCode Code) {
  switch (Code) {
  case ErrorCode::InvalidArgument:
    return ExitCode::UsageError;
  case ErrorCode::Conflict:
    return ExitCode::Conflict;
  case ErrorCode::DeadlineExceeded:
    return ExitCode::TimedOut;
  default:
    return ExitCode::Failed;
  }
}

/// Puts the program name before each example.
std::string formatExamples(const Command &Selected) {
  std::istringstream Lines(Selected.examples());
  std::string Text = "\nExamples:\n";
  for (std::string Line; std::getline(Lines, Line);)
    Text += std::string("  ") + ProgramName + Line.substr(1) + "\n";
  return Text;
}

OptionParser makeParser(const Command &Selected) {
  std::string Usage = Selected.name();
  Usage += " [OPTION...]";
  if (Selected.argumentCount() > 0)
    Usage += std::string(" ") + Selected.arguments();
  OptionParser Parser(Usage);
  Selected.declareOptions(Parser);
  return Parser;
}

} // namespace

ControlProgram::ControlProgram(ControlProgramSettings Settings,
                               std::ostream &Output, std::ostream &Messages)
    : Settings_(std::move(Settings)), Output_(Output), Messages_(Messages) {
  Commands_.push_back(makeValidateCommand());
  Commands_.push_back(makeDiffCommand());
  Commands_.push_back(makeApplyCommand());
  Commands_.push_back(makeGetCommand());
  Commands_.push_back(makeDeleteCommand());
  Commands_.push_back(makeStatusCommand());
  Commands_.push_back(makeTargetsCommand());
  Commands_.push_back(makeDrainCommand());
  Commands_.push_back(makeBurnCommand());
  Commands_.push_back(makeLogLevelCommand());
  Commands_.push_back(makeBenchCommand());
}

ExitCode ControlProgram::run(const std::vector<std::string> &Arguments) {
  Expected<ExitCode> Code = capture([&] { return runArguments(Arguments); });
  if (Code)
    return *Code;
  Messages_ << ProgramName << ": " << Code.error().Message_ << "\n";
  ExitCode Exit = exitCodeFor(Code.error().Code_);
  if (Exit == ExitCode::UsageError)
    Messages_ << "Try \"" << ProgramName << " --help\".\n";
  return Exit;
}

Result<ExitCode>
ControlProgram::runArguments(const std::vector<std::string> &Arguments) {
  if (Arguments.empty())
    return fail(ErrorCode::InvalidArgument,
                "no command; expected one of\n" + help());
  const std::string &CommandName = Arguments[0];
  if (CommandName == "--help") {
    Output_ << help();
    return ExitCode::Done;
  }
  if (CommandName == "--version") {
    Output_ << ProgramName << " " << Settings_.Version_ << "\n";
    return ExitCode::Done;
  }
  for (const auto &Entry : Commands_)
    if (CommandName == Entry->name())
      return runCommand(*Entry, {Arguments.begin() + 1, Arguments.end()});
  std::string Names;
  for (const auto &Entry : Commands_)
    Names += std::string(Names.empty() ? "" : ", ") + Entry->name();
  return fail(ErrorCode::InvalidArgument,
              "found \"" + CommandName +
                  "\"; expected a command first: " + Names);
}

Result<ExitCode>
ControlProgram::runCommand(Command &Selected,
                           const std::vector<std::string> &Arguments) {
  OptionParser Parser = makeParser(Selected);
  BOOST_LEAF_AUTO(CommandLine, Parser.parse(Arguments));
  if (CommandLine.has("help")) {
    Output_ << Selected.summary() << ".\n\n"
            << Parser.help() << formatExamples(Selected) << ExitCodeHelp;
    return ExitCode::Done;
  }
  auto ExpectedCount = static_cast<std::size_t>(Selected.argumentCount());
  std::size_t ActualCount = CommandLine.arguments().size();
  if (ActualCount != ExpectedCount)
    return fail(ErrorCode::InvalidArgument,
                std::string(Selected.name()) + ": found " +
                    std::to_string(ActualCount) + " arguments; expected " +
                    (ExpectedCount == 0 ? "none" : Selected.arguments()));
  return Selected.run(
      {CommandLine, Output_, Messages_, Settings_.OperatorKey_});
}

std::string ControlProgram::help() const {
  constexpr std::size_t NameWidth = 12;
  std::string Text = std::string("Usage: ") + ProgramName +
                     " COMMAND [OPTION...] [ARGUMENT]\n\nCommands:\n";
  for (const auto &Entry : Commands_) {
    std::string Name = Entry->name();
    Name.resize(NameWidth, ' ');
    Text += "  " + Name + Entry->summary() + "\n";
  }
  Text += "\n  --help, --version; COMMAND --help shows options and examples.\n";
  return Text + ExitCodeHelp;
}

} // namespace amaranth::control
