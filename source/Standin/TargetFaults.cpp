#include "Standin/TargetFaults.h"

namespace amaranth::standin {

TargetFaults::TargetFaults(StandinServer &Server)
    : StopSignal_(Server.stopSignal()) {
  Server.switches().add("leaving", Leaving_);
  Server.switches().add("slow_factor", SlowFactor_);
  Server.switches().add("silent", Silent_);
}

bool TargetFaults::intercept(StandinCall &Call, transport::HttpReply &Reply) {
  if (Leaving_) {
    Reply = errorReply(503, "target is leaving");
    Reply.Headers_.add("X-Leaving", "true");
    return true;
  }
  if (!consumeOne(Silent_))
    return false;
  withholdReply(Call.Connection_);
  Reply = errorReply(503, "connection was cut");
  return true;
}

void TargetFaults::withholdReply(Connection Client) {
  StopSignal_.waitFor([&] { return Client.closedByClient(); });
  Client.cut();
}

} // namespace amaranth::standin
