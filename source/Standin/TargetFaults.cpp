#include "Standin/TargetFaults.h"

namespace amaranth::standin {

TargetFaults::TargetFaults(StandinServer &Server)
    : Interruption_(Server.interruption()) {
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
  if (!takeOne(Silent_))
    return false;
  staySilent(Call.Connection_);
  Reply = errorReply(503, "connection was cut");
  return true;
}

void TargetFaults::staySilent(Connection Client) {
  Interruption_.waitFor([&] { return Client.closed(); });
  Client.cut();
}

} // namespace amaranth::standin
