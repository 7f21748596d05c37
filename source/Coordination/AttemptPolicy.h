/// \file
/// Classification of attempts, shared by PipelineRunner and PlainCallRunner.
#ifndef AMARANTH_COORDINATION_ATTEMPTPOLICY_H
#define AMARANTH_COORDINATION_ATTEMPTPOLICY_H

#include "Coordination/TargetTable.h"
#include "Protocol/StageClient.h"

namespace amaranth::coordination {

/// Classifies \p Reply for the health of the target. An attempt that exceeded
/// its own \p Deadline is not a failure of the target: counting it as one would
/// make an overload look like an outage of all targets.
AttemptEnd attemptEnd(const protocol::StageReply &Reply, SteadyTime Deadline);

/// True if the reply proves that the target did not run the attempt.
bool isKnownNotRun(const protocol::StageReply &Reply);

/// True if the connection was reset after the attempt was sent.
bool wasReset(const protocol::StageReply &Reply);

} // namespace amaranth::coordination

#endif
