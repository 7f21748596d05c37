#include "Control/ControlProgram.h"

#include <cstdlib>
#include <iostream>

int main(int Count, char **Arguments) {
  using namespace amaranth::control;
  const char *Key = std::getenv("AMARANTH_OPERATOR_KEY");
  ControlProgram Program({AMARANTH_VERSION, Key ? Key : ""}, std::cout,
                         std::cerr);
  ExitCode Code = Program.run({Arguments + 1, Arguments + Count});
  // Output that could not be written must not look like success.
  if (!std::cout.flush() && Code == ExitCode::Done)
    Code = ExitCode::Failed;
  return static_cast<int>(Code);
}
