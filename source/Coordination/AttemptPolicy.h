/// \file
/// Classification of attempts, shared by the runners.
#ifndef AMARANTH_COORDINATION_ATTEMPTPOLICY_H
#define AMARANTH_COORDINATION_ATTEMPTPOLICY_H

#include "Coordination/TargetTable.h"
#include "Protocol/StageClient.h"

namespace amaranth::coordination {

/// What \p Reply tells about the target.
AttemptEnd attemptEnd(const protocol::StageReply &Reply);

/// True if the target certainly did not run the attempt.
bool certainlyNotRun(const protocol::StageReply &Reply);

/// True if the connection ended while the target ran the attempt.
bool wasReset(const protocol::StageReply &Reply);

} // namespace amaranth::coordination

#endif
