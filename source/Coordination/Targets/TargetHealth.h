/// \file
/// What results tell about each target.
#ifndef AMARANTH_COORDINATION_TARGETS_TARGETHEALTH_H
#define AMARANTH_COORDINATION_TARGETS_TARGETHEALTH_H

#include "Support/Time.h"

#include <map>
#include <string>

namespace amaranth::coordination {

/// Settings of TargetHealth.
struct TargetHealthSettings {
  /// Weight of the newest result in the moving averages.
  double Smoothing_ = 0.2;
  /// Half-life of what is known of a target: it is tried again as it fades, so
  /// that one that was slow or failing for a moment comes back by itself.
  Milliseconds Fading_{3000};
  /// First and longest time for which an unreachable or failing target gets no
  /// work.
  Milliseconds MinAvoidance_{300};
  Milliseconds MaxAvoidance_{3000};
  /// A target that shows no sign of life for this share of the expected time
  /// of its work is compared as if the work took this much longer.
  double FailureCost_ = 6;
};

/// How an attempt at a target ended, as far as it tells about the target.
enum class TargetResult {
  Good,
  Error,       ///< It answered with a failure of its own.
  Failing,     ///< The same, for work that no caller's request makes fail.
  Broken,      ///< Reset, corrupt or silent.
  Unreachable, ///< No connection.
  Full,        ///< It refused for lack of capacity.
};

/// Load and results of targets by id, from this host's own attempts. Cost()
/// compares the targets of one service.
class TargetHealth final {
public:
  explicit TargetHealth(TargetHealthSettings Settings = {});

  void begin(const std::string &Id);
  void end(const std::string &Id, TargetResult Result, Milliseconds Duration,
           SteadyTime Now);
  /// A task stopped an attempt; it tells nothing about the target.
  void cancelled(const std::string &Id);

  /// False while the target is avoided. Each time an avoidance ends, one
  /// attempt may try the target before it counts as usable again.
  bool usable(const std::string &Id, SteadyTime Now) const;
  /// Relative expected cost of one more request; lower is better.
  double cost(const std::string &Id, SteadyTime Now) const;
  std::size_t inFlight(const std::string &Id) const;
  /// Recent share of failures, faded by age.
  double failureShare(const std::string &Id, SteadyTime Now) const;
  /// Forgets targets without attempts that have not been used for long.
  void forget(SteadyTime Now);

private:
  struct Entry {
    std::size_t InFlight_ = 0;
    double Duration_ = 0; ///< Moving average, in milliseconds.
    double Failures_ = 0; ///< Moving average, 0 to 1.
    int Streak_ = 0;      ///< Unreachable or broken in a row.
    SteadyTime AvoidUntil_{};
    SteadyTime Updated_{};
  };

  double fading(const Entry &Of, SteadyTime Now) const;
  const Entry *find(const std::string &Id) const;
  double typicalDuration() const;

  TargetHealthSettings Settings_;
  std::map<std::string, Entry> Targets_;
};

} // namespace amaranth::coordination

#endif
