/// \file
/// Fault switches that engines, pools and plain services share.
#ifndef AMARANTH_STANDIN_TARGETFAULTS_H
#define AMARANTH_STANDIN_TARGETFAULTS_H

#include "Standin/StandinServer.h"

namespace amaranth::standin {

/// The shared switches: "slow_factor" multiplies every service time, "leaving"
/// refuses new work with 503 and X-Leaving, "silent" swallows calls without
/// running them (a CallCount).
class TargetFaults final {
public:
  explicit TargetFaults(StandinServer &Server);

  bool leaving() const { return Leaving_; }
  double slowFactor() const { return SlowFactor_; }

  /// True if \p Call was refused or swallowed and ends with \p Reply.
  bool intercept(StandinCall &Call, transport::HttpReply &Reply);

  /// Holds \p Client without a byte until it closes or the process stops, then
  /// cuts the connection.
  void staySilent(Connection Client);

private:
  Interruption &Interruption_;
  std::atomic<bool> Leaving_ = false;
  std::atomic<double> SlowFactor_ = 1.0;
  CallCount Silent_ = 0;
};

} // namespace amaranth::standin

#endif
