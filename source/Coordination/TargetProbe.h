/// \file
/// Checks whether a target's process is alive.
#ifndef AMARANTH_COORDINATION_TARGETPROBE_H
#define AMARANTH_COORDINATION_TARGETPROBE_H

#include "State/ServiceDocument.h"
#include "Transport/HttpClient.h"

namespace amaranth::coordination {

/// True if \p Target accepts a new connection. Blocks for at most a few hundred
/// milliseconds. Used for PipelineRunnerSettings::Answers_.
bool acceptsConnections(transport::HttpClient &Client,
                        const state::Target &Target);

} // namespace amaranth::coordination

#endif
