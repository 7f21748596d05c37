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

/// One finished request as the caller interface saw it.
struct RequestRecord {
  std::string RequestId_;
  std::string Service_;
  std::string Account_;
  protocol::OutcomeKind Outcome_ = protocol::OutcomeKind::Failed;
  std::string Detail_; ///< Why it was refused or failed.
  SteadyTime Start_;
  Milliseconds Deadline_{0}; ///< Of the service, or shorter by request.
  bool Short_ = false;
  std::vector<coordination::StageCost> Stages_;
};

/// One place for everything that is counted about requests, so that log,
/// metrics and burn report cannot disagree. Thread-safe.
class RequestRecorder final {
public:
  RequestRecorder(state::Metrics &Metrics, state::BurnReport &Burn);

  void record(const RequestRecord &Record);

private:
  void count(const RequestRecord &Record, Microseconds Taken);
  void countStages(const RequestRecord &Record);
  void log(const RequestRecord &Record, Microseconds Taken) const;

  state::Metrics &Metrics_;
  state::BurnReport &Burn_;
};

} // namespace amaranth::daemon

#endif
