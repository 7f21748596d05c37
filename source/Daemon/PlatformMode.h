/// \file
/// Runs amaranthd as an entry host on the users' platform.
#ifndef AMARANTH_DAEMON_PLATFORMMODE_H
#define AMARANTH_DAEMON_PLATFORMMODE_H

namespace amaranth::daemon {

/// Serves until SIGTERM or SIGINT with the settings file that the platform
/// names in the environment. With \p CheckOnly, only checks the settings file.
/// Returns the exit status.
int runOnPlatform(bool CheckOnly);

} // namespace amaranth::daemon

#endif
