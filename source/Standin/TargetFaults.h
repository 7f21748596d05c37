/// \file
/// Fault switches that engines, pools and plain services share.
#ifndef AMARANTH_STANDIN_TARGETFAULTS_H
#define AMARANTH_STANDIN_TARGETFAULTS_H

#include "Standin/StandinServer.h"

namespace amaranth::standin {

/// The shared switches: "slow_factor" multiplies every service time, "leaving"
/// refuses new work with 503 and X-Leaving, and "silent" (a CallCount) accepts
/// calls but neither executes nor answers them.
class TargetFaults final {
public:
  explicit TargetFaults(StandinServer &Server);

  bool leaving() const { return Leaving_; }
  double slowFactor() const { return SlowFactor_; }

  /// True if a fault applies to \p Call: it must not be executed and is
  /// answered with \p Reply.
  bool intercept(StandinCall &Call, transport::HttpReply &Reply);

  /// Sends nothing to \p Client until it closes the connection or the process
  /// stops, then cuts the connection.
  void withholdReply(Connection Client);

private:
  StopSignal &StopSignal_;
  std::atomic<bool> Leaving_ = false;
  std::atomic<double> SlowFactor_ = 1.0;
  CallCount Silent_ = 0;
};

} // namespace amaranth::standin

#endif
