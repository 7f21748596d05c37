/// \file
/// Health of each target, derived from the results of its attempts.
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
  /// Half-life of the recorded results, so that a target that was slow or
  /// failing for a short time is tried again and recovers without intervention.
  Milliseconds HalfLife_{3000};
  /// First and longest time for which an unreachable or failing target is
  /// avoided, that is, gets no work.
  Milliseconds MinAvoidance_{300};
  Milliseconds MaxAvoidance_{3000};
  /// Weight of the failure share in cost(): a target that fails all attempts
  /// costs 1 plus this many times as much as one that fails none.
  double FailureCostFactor_ = 6;
};

/// How an attempt at a target ended, as far as it concerns the target's health.
enum class TargetResult {
  Success,
  ErrorReply,  ///< An error reply, which the request may have caused.
  TargetFault, ///< A failure that the request cannot have caused.
  Broken,      ///< Connection reset, corrupt reply or no reply.
  Unreachable, ///< No connection.
  Overloaded,  ///< Refused for lack of capacity.
};

/// Load and results of targets by id, from this host's own attempts. cost()
/// compares the targets of one service.
class TargetHealth final {
public:
  explicit TargetHealth(TargetHealthSettings Settings = {});

  void begin(const std::string &Id);
  void end(const std::string &Id, TargetResult Result, Milliseconds Duration,
           SteadyTime Now);
  /// Ends an attempt that this host cancelled. Its result is not counted.
  void cancel(const std::string &Id);

  /// False while the target is avoided. After the avoidance of a target with
  /// several consecutive failures, one attempt at a time is allowed until one
  /// of them succeeds.
  bool isUsable(const std::string &Id, SteadyTime Now) const;
  /// Relative expected cost of one more request; lower is better.
  double cost(const std::string &Id, SteadyTime Now) const;
  std::size_t inFlight(const std::string &Id) const;
  /// Recent share of failures, decayed by age.
  double failureShare(const std::string &Id, SteadyTime Now) const;
  /// Forgets targets without attempts in flight that have not been used for
  /// long.
  void forgetUnused(SteadyTime Now);

private:
  struct Entry {
    std::size_t InFlight_ = 0;
    double Duration_ = 0; ///< Moving average, in milliseconds.
    double Failures_ = 0; ///< Moving average, 0 to 1.
    /// Number of consecutive failures. A success, an error reply or a refusal
    /// for lack of capacity resets it.
    int FailureStreak_ = 0;
    SteadyTime AvoidUntil_{};
    SteadyTime Updated_{};
  };

  double decayFactor(const Entry &Target, SteadyTime Now) const;
  const Entry *find(const std::string &Id) const;
  double typicalDuration() const;

  TargetHealthSettings Settings_;
  std::map<std::string, Entry> Targets_;
};

} // namespace amaranth::coordination

#endif
