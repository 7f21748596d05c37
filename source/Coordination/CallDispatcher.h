/// \file
/// Dispatch of one non-idempotent call to a target.
#ifndef AMARANTH_COORDINATION_CALLDISPATCHER_H
#define AMARANTH_COORDINATION_CALLDISPATCHER_H

#include "Protocol/PeerMessages.h"
#include "Support/Time.h"

namespace amaranth::coordination {

/// Sends a call of a plain service to one target, once. NotRun is returned only
/// if nothing was sent or the target said that it did not run the call; such an
/// attempt may be repeated at another target by the dispatcher itself. A lost
/// or late reply is Unknown. Blocks. Thread-safe.
class CallDispatcher {
public:
  virtual ~CallDispatcher() = default;
  virtual protocol::RequestOutcome
  dispatch(const protocol::ForwardedRequest &Request, SteadyTime Deadline) = 0;
};

} // namespace amaranth::coordination

#endif
