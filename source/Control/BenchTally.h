/// \file
/// Counts and latencies of a set of requests.
#ifndef AMARANTH_CONTROL_BENCHTALLY_H
#define AMARANTH_CONTROL_BENCHTALLY_H

#include "Control/BenchCaller.h"

#include <map>
#include <optional>

namespace amaranth::control {

/// Collects the ends of requests. Latencies are kept exactly, because the goals
/// compare quantiles that differ by less than the bins of a histogram.
class BenchTally final {
public:
  void add(const BenchRequestKind &Kind, const BenchRecord &Record);
  void merge(const BenchTally &Other);

  std::size_t sent() const { return Sent_; }
  std::size_t count(BenchOutcome Outcome) const;
  /// All outcomes together; equal to sent() unless one is missing or double.
  std::size_t outcomes() const;

  /// Share of the accepted requests (all but not_run) with an answer in time;
  /// nothing if none was accepted.
  std::optional<double> attainment() const;
  /// Share of all requests with an answer in time; nothing if none was sent.
  std::optional<double> served() const;
  /// Latency that the share \p Rank (0 to 1) of the whole answers does not
  /// exceed, in milliseconds; \p Size empty for both.
  std::optional<double> quantile(double Rank,
                                 std::optional<BenchSize> Size) const;
  /// Extra attempts of stages for each stage that ran.
  std::optional<double> extraShare() const;

  const std::map<std::string, std::size_t> &refusals() const {
    return Refusals_;
  }
  /// Cost of one stage over all answers that report it.
  struct StageTotal {
    std::size_t Runs_ = 0;
    std::size_t Attempts_ = 0;
    std::size_t Hedges_ = 0;
    Microseconds Useful_{0};
    Microseconds Wasted_{0};
  };
  const std::map<std::string, StageTotal> &stages() const { return Stages_; }
  /// Output tokens of the answers in time.
  std::size_t tokensInTime() const { return TokensInTime_; }
  /// Attempts of callers beyond one for each request.
  std::size_t callerRepeats() const { return CallerRepeats_; }

private:
  std::size_t Sent_ = 0;
  std::size_t CallerRepeats_ = 0;
  std::size_t TokensInTime_ = 0;
  std::map<BenchOutcome, std::size_t> Outcomes_;
  std::map<std::string, std::size_t> Refusals_; ///< By outcome and type.
  std::map<std::string, StageTotal> Stages_;    ///< By "service/stage".
  std::vector<double> ShortMs_;
  std::vector<double> LongMs_;
};

/// The value that the share \p Rank (0 to 1) of \p Values does not exceed
/// (nearest rank); nothing if there is none.
std::optional<double> quantileOf(std::vector<double> Values, double Rank);

} // namespace amaranth::control

#endif
