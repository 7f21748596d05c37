/// \file
/// Requests of a load scenario, with the times at which they are sent.
#ifndef AMARANTH_CONTROL_BENCHPLAN_H
#define AMARANTH_CONTROL_BENCHPLAN_H

#include "Control/BenchScenario.h"

namespace amaranth::control {

/// One request, planned before the run.
struct PlannedRequest {
  Microseconds Offset_{0}; ///< Planned send time, from the start of the run.
  std::size_t PhaseIndex_ = 0;
  std::size_t KindIndex_ = 0;
  std::string Account_;
  int CallerIndex_ = 0; ///< Which of the account's callers sends it.
  int Number_ = 0;      ///< Position in the plan.
  std::string Input_;   ///< Of a pipeline; unique within the plan.
  int MaxTokens_ = 0;   ///< Length of the output that it asks for.
};

/// Mean demand of one kind of request.
struct KindDemand {
  std::size_t KindIndex_ = 0;
  double Share_ = 0; ///< Of all requests; the shares add up to 1.
  double MeanWords_ = 0;
  double MeanTokens_ = 0;
};

/// Draws the arrivals of each kind as a separate Poisson process with its own
/// random generator, so that a change of one kind does not change the others.
/// The same scenario and \p Seed give the same plan on every machine.
std::vector<PlannedRequest> planRequests(const BenchScenario &Scenario,
                                         double Capacity, std::uint64_t Seed);

/// Computes the request mix of \p Scenario, from which scripts compute the
/// capacity of the targets.
std::vector<KindDemand> computeDemand(const BenchScenario &Scenario);

/// The mean of a length that is drawn log-uniformly.
double meanLength(const BenchLength &Length);

} // namespace amaranth::control

#endif
