/// \file
/// Runs amaranthd as an entry host on the users' platform.
#ifndef AMARANTH_DAEMON_PLATFORMMODE_H
#define AMARANTH_DAEMON_PLATFORMMODE_H

namespace amaranth::daemon {

/// Serves with the settings file that the platform names in the environment,
/// until a signal to stop. Returns the exit status.
int runOnPlatform(bool CheckOnly);

} // namespace amaranth::daemon

#endif
