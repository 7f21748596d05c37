/// \file
/// Error-budget accounting for each service and client account.
#ifndef AMARANTH_STATE_BURNREPORT_H
#define AMARANTH_STATE_BURNREPORT_H

#include "State/BurnSummary.h"
#include "Support/Time.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace amaranth::state {

namespace detail {
class BurnSeries;
}

/// Result of a request as its caller saw it.
enum class RequestResult {
  InTime,  ///< Complete answer within the deadline.
  Late,    ///< Complete answer after the deadline, or aborted by it.
  Failed,  ///< Accepted, then failed or ended with an unknown outcome.
  Refused, ///< Refused without being run; not counted in the objective.
};

/// Time that a request spent in one stage, including all attempts.
struct StageSpan {
  std::string Stage_;
  Microseconds Elapsed_{};
};

/// One finished request.
struct FinishedRequest {
  std::string Service_;
  std::string Account_;
  RequestResult Result_ = RequestResult::InTime;
  bool Short_ = false; ///< In the short size class.
  Milliseconds Deadline_{};
  Microseconds Elapsed_{}; ///< From acceptance to the end of the answer.
  std::vector<StageSpan> Stages_;
  /// Set only if Result_ is Failed and a stage failed.
  std::string FailedStage_;
  SteadyTime FinishedAt_;
};

/// Settings of BurnReport.
struct BurnReportSettings {
  std::string Host_ = {}; ///< Name of this host.
  Seconds SlotLength_{30};
  Seconds ShortWindow_{300};
  Seconds LongWindow_{3600};
  /// Maximum number of series, one for each pair of service and account. When
  /// it is reached, series that were idle for the long window are removed; if
  /// there are none, a new pair is counted under the account "(other)".
  std::size_t MaxSeries_ = 1024;
};

/// Counts finished requests in a ring of time slots for each service and
/// account, and for each service over all accounts ("(all)"). A missed request
/// spends one unit of error budget. The unit is charged to the stage that
/// failed, or else divided among the stages in proportion to the time by which
/// each exceeded its share of the deadline. The shares follow the average time
/// of each stage in requests answered in time; time outside all stages counts
/// as the stage "(outside stages)". Thread-safe; memory is bounded.
class BurnReport final {
public:
  explicit BurnReport(const BurnReportSettings &Settings);
  ~BurnReport();
  BurnReport(const BurnReport &) = delete;
  BurnReport &operator=(const BurnReport &) = delete;

  /// Sets the objective of \p Service. Called whenever its document comes into
  /// force.
  void setObjective(const std::string &Service, const Objective &Goal);

  void record(const FinishedRequest &Request);

  /// Summarises the windows that end at \p Now, sorted by service and account.
  BurnSummary summary(SteadyTime Now) const;

private:
  using SeriesKey = std::pair<std::string, std::string>;

  detail::BurnSeries &findOrAddSeries(const std::string &Service,
                                      const std::string &Account,
                                      SteadyTime Now);
  void removeIdle(SteadyTime Now);
  Objective objectiveOf(const std::string &Service) const;

  BurnReportSettings Settings_;
  mutable std::mutex Mutex_;
  std::map<std::string, Objective> Objectives_;
  std::map<SeriesKey, std::unique_ptr<detail::BurnSeries>> Series_;
};

} // namespace amaranth::state

#endif
