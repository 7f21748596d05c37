/// \file
/// Limits that targets state in their answers.
#ifndef AMARANTH_COORDINATION_TARGETS_TARGETLIMITS_H
#define AMARANTH_COORDINATION_TARGETS_TARGETLIMITS_H

#include "Support/Time.h"

#include <map>
#include <optional>
#include <string>

namespace amaranth::coordination {

/// The requests a second that targets accept from all hosts together. A target
/// that is overloaded states its limit in each answer; the limit ends with the
/// first answer without one.
class TargetLimits final {
public:
  /// Records what a target stated; empty if it stated no limit. True if that
  /// differs from what was known.
  bool set(const std::string &Id, std::optional<double> PerSecond,
           SteadyTime Now);
  std::optional<double> find(const std::string &Id) const;
  /// The target accepts no further request before \p Until.
  void setFullUntil(const std::string &Id, SteadyTime Until);
  /// Time from which the target may accept a request; in the past if it states
  /// no limit.
  SteadyTime opensAt(const std::string &Id) const;
  /// Forgets the limits of targets that have not answered for long. Call often.
  void forgetOld(SteadyTime Now);

private:
  struct Limit {
    double PerSecond_ = 0;
    SteadyTime StatedAt_{};
    SteadyTime FullUntil_{};
  };

  std::map<std::string, Limit> Limits_;
};

} // namespace amaranth::coordination

#endif
