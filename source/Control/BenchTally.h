/// \file
/// Counts and latencies of a set of requests.
#ifndef AMARANTH_CONTROL_BENCHTALLY_H
#define AMARANTH_CONTROL_BENCHTALLY_H

#include "Control/BenchCaller.h"

#include <map>
#include <optional>

namespace amaranth::control {

/// Counts outcomes and collects latencies. Keeps each latency instead of a
/// histogram, because goals compare quantiles that differ by less than a bin.
class BenchTally final {
public:
  void add(const BenchRequestKind &Kind, const BenchRecord &Record);
  void merge(const BenchTally &Other);

  std::size_t sent() const { return Sent_; }
  std::size_t count(BenchOutcome Outcome) const;
  /// Sum of all outcomes; differs from sent() if a request has none or several.
  std::size_t outcomes() const;

  /// Share of the accepted requests (all but not_run) with an answer in time;
  /// nothing if none was accepted.
  std::optional<double> attainment() const;
  /// Share of all requests with an answer in time; nothing if none was sent.
  std::optional<double> served() const;
  /// Latency quantile of the complete answers at \p Fraction (0 to 1), in
  /// milliseconds; of both sizes if \p Size is empty.
  std::optional<double> quantile(double Fraction,
                                 std::optional<BenchSize> Size) const;
  /// Extra attempts per stage run; nothing if no answer reported a stage.
  std::optional<double> extraShare() const;

  /// Requests without a complete answer, by outcome and problem type.
  const std::map<std::string, std::size_t> &refusals() const {
    return Refusals_;
  }
  /// Cost of one stage over all answers that report it.
  struct StageTotal {
    std::size_t Runs_ = 0; ///< Answers that report the stage.
    std::size_t Attempts_ = 0;
    std::size_t Hedges_ = 0;
    Microseconds Useful_{0};
    Microseconds Wasted_{0};
  };
  const std::map<std::string, StageTotal> &stages() const { return Stages_; }
  /// Output tokens of the answers in time.
  std::size_t tokensInTime() const { return TokensInTime_; }
  /// Attempts by callers beyond the first of each request.
  std::size_t callerRepeats() const { return CallerRepeats_; }

private:
  std::size_t Sent_ = 0;
  std::size_t CallerRepeats_ = 0;
  std::size_t TokensInTime_ = 0;
  std::map<BenchOutcome, std::size_t> Outcomes_;
  /// By outcome and problem type.
  std::map<std::string, std::size_t> Refusals_;
  std::map<std::string, StageTotal> Stages_; ///< By "service/stage".
  std::vector<double> ShortMs_;
  std::vector<double> LongMs_;
};

/// The quantile of \p Values at \p Fraction (0 to 1) by nearest rank; nothing
/// if there are no values.
std::optional<double> computeQuantile(std::vector<double> Values,
                                      double Fraction);

} // namespace amaranth::control

#endif
