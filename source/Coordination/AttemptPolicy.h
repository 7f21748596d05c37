/// \file
/// Classification of attempts, shared by the runners.
#ifndef AMARANTH_COORDINATION_ATTEMPTPOLICY_H
#define AMARANTH_COORDINATION_ATTEMPTPOLICY_H

#include "Coordination/TargetTable.h"
#include "Protocol/StageClient.h"

namespace amaranth::coordination {

/// What \p Reply tells about the target. An attempt that ran out of its own
/// \p Deadline is no failure of the target; counting it as one would make an
/// overload look like an outage of all targets.
AttemptEnd attemptEnd(const protocol::StageReply &Reply, SteadyTime Deadline);

/// True if the target certainly did not run the attempt.
bool certainlyNotRun(const protocol::StageReply &Reply);

/// True if the connection ended while the target ran the attempt.
bool wasReset(const protocol::StageReply &Reply);

} // namespace amaranth::coordination

#endif
