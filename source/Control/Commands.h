/// \file
/// The commands of amaranthctl, each in its own source file.
#ifndef AMARANTH_CONTROL_COMMANDS_H
#define AMARANTH_CONTROL_COMMANDS_H

#include "Control/Command.h"

#include <memory>

namespace amaranth::control {

std::unique_ptr<Command> makeValidateCommand();
std::unique_ptr<Command> makeDiffCommand();
std::unique_ptr<Command> makeApplyCommand();
std::unique_ptr<Command> makeGetCommand();
std::unique_ptr<Command> makeDeleteCommand();
std::unique_ptr<Command> makeStatusCommand();
std::unique_ptr<Command> makeTargetsCommand();
std::unique_ptr<Command> makeDrainCommand();
std::unique_ptr<Command> makeBurnCommand();
std::unique_ptr<Command> makeLogLevelCommand();
std::unique_ptr<Command> makeBenchCommand();

} // namespace amaranth::control

#endif
