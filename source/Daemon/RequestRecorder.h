/// \file
/// Records each finished request in the metrics, the burn report and the log.
#ifndef AMARANTH_DAEMON_REQUESTRECORDER_H
#define AMARANTH_DAEMON_REQUESTRECORDER_H

#include "Coordination/PipelineRunner.h"
#include "Protocol/PeerMessages.h"
#include "State/BurnReport.h"
#include "State/Metrics.h"
#include "Support/Time.h"

#include <string>
#include <vector>

namespace amaranth::daemon {

/// Result of one finished request, filled in by CallerHandlers.
struct RequestRecord {
  std::string RequestId_;
  std::string Service_;
  std::string Account_;
  protocol::OutcomeKind Outcome_ = protocol::OutcomeKind::Failed;
  std::string Detail_; ///< Reason of a refusal or failure.
  SteadyTime Start_;
  /// The service's deadline, or the caller's if that is shorter.
  Milliseconds Timeout_{0};
  bool IsShort_ = false; ///< A plain call, or predicted to be short.
  std::vector<coordination::StageCost> StageCosts_;
};

/// Records each request once in the metrics, the burn report (burn: speed at
/// which a service uses up its error budget) and the log, so that the three
/// agree. Thread-safe.
class RequestRecorder final {
public:
  RequestRecorder(state::Metrics &Metrics, state::BurnReport &Report);

  void record(const RequestRecord &Record);

private:
  void countRequest(const RequestRecord &Record, Microseconds Elapsed);
  void countStages(const RequestRecord &Record);
  void logRequest(const RequestRecord &Record, Microseconds Elapsed) const;

  state::Metrics &Metrics_;
  state::BurnReport &BurnReport_;
};

} // namespace amaranth::daemon

#endif
