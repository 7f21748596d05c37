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
std::string showExamples(const Command &Chosen) {
  std::istringstream Lines(Chosen.examples());
  std::string Text = "\nExamples:\n";
  for (std::string Line; std::getline(Lines, Line);)
    Text += std::string("  ") + ProgramName + Line.substr(1) + "\n";
  return Text;
}

OptionParser makeParser(const Command &Chosen) {
  std::string Usage = Chosen.name();
  Usage += " [OPTION...]";
  if (Chosen.argumentCount() > 0)
    Usage += std::string(" ") + Chosen.arguments();
  OptionParser Parser(Usage);
  Chosen.declare(Parser);
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
  Expected<ExitCode> Code = capture([&] { return dispatch(Arguments); });
  if (Code)
    return *Code;
  Messages_ << ProgramName << ": " << Code.error().Message_ << "\n";
  ExitCode Exit = exitCodeFor(Code.error().Code_);
  if (Exit == ExitCode::UsageError)
    Messages_ << "Try \"" << ProgramName << " --help\".\n";
  return Exit;
}

Result<ExitCode>
ControlProgram::dispatch(const std::vector<std::string> &Arguments) {
  if (Arguments.empty())
    return fail(ErrorCode::InvalidArgument,
                "no command; expected one of\n" + help());
  const std::string &First = Arguments[0];
  if (First == "--help") {
    Output_ << help();
    return ExitCode::Done;
  }
  if (First == "--version") {
    Output_ << ProgramName << " " << Settings_.Version_ << "\n";
    return ExitCode::Done;
  }
  for (const auto &Each : Commands_)
    if (First == Each->name())
      return runCommand(*Each, {Arguments.begin() + 1, Arguments.end()});
  std::string Names;
  for (const auto &Each : Commands_)
    Names += std::string(Names.empty() ? "" : ", ") + Each->name();
  return fail(ErrorCode::InvalidArgument,
              "found \"" + First + "\"; expected a command first: " + Names);
}

Result<ExitCode>
ControlProgram::runCommand(Command &Chosen,
                           const std::vector<std::string> &Arguments) {
  OptionParser Parser = makeParser(Chosen);
  BOOST_LEAF_AUTO(Given, Parser.parse(Arguments));
  if (Given.has("help")) {
    Output_ << Chosen.summary() << ".\n\n"
            << Parser.help() << showExamples(Chosen) << ExitCodeHelp;
    return ExitCode::Done;
  }
  auto Wanted = static_cast<std::size_t>(Chosen.argumentCount());
  std::size_t Found = Given.arguments().size();
  if (Found != Wanted)
    return fail(ErrorCode::InvalidArgument,
                std::string(Chosen.name()) + ": found " +
                    std::to_string(Found) + " arguments; expected " +
                    (Wanted == 0 ? "none" : Chosen.arguments()));
  return Chosen.run({Given, Output_, Messages_, Settings_.OperatorKey_});
}

std::string ControlProgram::help() const {
  constexpr std::size_t Column = 12;
  std::string Text = std::string("Usage: ") + ProgramName +
                     " COMMAND [OPTION...] [ARGUMENT]\n\nCommands:\n";
  for (const auto &Each : Commands_) {
    std::string Name = Each->name();
    Name.resize(Column, ' ');
    Text += "  " + Name + Each->summary() + "\n";
  }
  Text += "\n  --help, --version; COMMAND --help shows options and examples.\n";
  return Text + ExitCodeHelp;
}

} // namespace amaranth::control
