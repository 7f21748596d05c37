/// \file
/// Dispatch of one non-idempotent call to a target.
#ifndef AMARANTH_COORDINATION_CALLDISPATCHER_H
#define AMARANTH_COORDINATION_CALLDISPATCHER_H

#include "Protocol/PeerMessages.h"
#include "Support/Time.h"

namespace amaranth::coordination {

/// Sends a call of a plain service to one target, once. Returns NotRun only if
/// nothing was sent or the target reported that it did not run the call; the
/// dispatcher itself may repeat such an attempt at another target. Returns
/// Unknown if the reply is lost or late. Blocks. Thread-safe.
class CallDispatcher {
public:
  virtual ~CallDispatcher() = default;
  virtual protocol::RequestOutcome
  dispatch(const protocol::ForwardedRequest &Request, SteadyTime Deadline) = 0;
};

} // namespace amaranth::coordination

#endif
