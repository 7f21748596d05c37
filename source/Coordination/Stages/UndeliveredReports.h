/// \file
/// Reports on pieces that could not be sent to the entry host that ordered
/// them.
#ifndef AMARANTH_COORDINATION_STAGES_UNDELIVEREDREPORTS_H
#define AMARANTH_COORDINATION_STAGES_UNDELIVEREDREPORTS_H

#include "Protocol/FleetMessages.h"
#include "Support/Time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>

namespace amaranth::coordination {

/// Settings of UndeliveredReports.
struct UndeliveredReportsSettings {
  /// How long reports are kept: longer than a connection between hosts is
  /// usually interrupted, and about as long as requests wait for their pieces.
  Milliseconds Lifetime_{10000};
  std::size_t MaxReportsPerHost_ = 4096;
};

/// Keeps the reports for entry hosts that a dispatcher cannot reach. A host
/// that was only silent still waits for its pieces, often without having
/// noticed the interruption: without these reports it would wait until its
/// requests have expired, and results that were computed would be computed
/// again. Not thread-safe.
class UndeliveredReports final {
public:
  explicit UndeliveredReports(UndeliveredReportsSettings Settings = {});

  /// Keeps \p Reports for \p Host; the oldest are dropped beyond the limit.
  void add(const std::string &Host, const protocol::PieceReports &Reports,
           SteadyTime Now);
  /// Removes and returns the reports for \p Host that have not expired.
  protocol::PieceReports take(const std::string &Host, SteadyTime Now);
  /// Removes the reports that have expired.
  void expire(SteadyTime Now);
  bool empty() const { return ReportsByHost_.empty(); }

private:
  struct KeptReport {
    SteadyTime ExpiresAt_;
    protocol::PieceReport Report_;
  };

  UndeliveredReportsSettings Settings_;
  std::map<std::string, std::deque<KeptReport>> ReportsByHost_;
};

} // namespace amaranth::coordination

#endif
