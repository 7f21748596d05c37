/// \file
/// Command line of amaranthd.
#ifndef AMARANTH_DAEMON_OPTIONS_H
#define AMARANTH_DAEMON_OPTIONS_H

#include <optional>
#include <string>

namespace amaranth::daemon {

/// What the command line asks for.
struct Options {
  std::string SettingsFile_;
  bool Platform_ = false;  ///< Serve on the users' platform.
  bool CheckOnly_ = false; ///< Check the settings file and exit.
};

/// What reading the command line led to: options, or the exit status after
/// help, version or a usage error was printed.
struct OptionsReading {
  std::optional<Options> Options_;
  int ExitStatus_ = 0;
};

OptionsReading readOptions(int ArgumentCount, const char **Arguments);

} // namespace amaranth::daemon

#endif
