/// \file
/// Command line of amaranthd.
#ifndef AMARANTH_DAEMON_OPTIONS_H
#define AMARANTH_DAEMON_OPTIONS_H

#include <optional>
#include <string>

namespace amaranth::daemon {

/// Options given on the command line.
struct Options {
  std::string SettingsFile_;
  bool Platform_ = false;  ///< Serve on the users' platform.
  bool CheckOnly_ = false; ///< Check the settings file and exit.
};

/// Result of parsing the command line: the options, or, if the help text, the
/// version or a usage error was printed, the exit status.
struct OptionsResult {
  std::optional<Options> Options_;
  int ExitStatus_ = 0;
};

/// Parses the command line; prints help text, version and usage errors.
OptionsResult parseOptions(int ArgumentCount, const char **Arguments);

} // namespace amaranth::daemon

#endif
