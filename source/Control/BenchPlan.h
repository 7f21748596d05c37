/// \file
/// Requests of a load scenario, with the times at which they are sent.
#ifndef AMARANTH_CONTROL_BENCHPLAN_H
#define AMARANTH_CONTROL_BENCHPLAN_H

#include "Control/BenchScenario.h"

namespace amaranth::control {

/// One request, planned before the run.
struct PlannedRequest {
  Microseconds Offset_{0}; ///< Intended send time after the start.
  std::size_t Phase_ = 0;
  std::size_t Kind_ = 0;
  std::string Account_;
  int Caller_ = 0;   ///< Which of the account's callers sends it.
  int Number_ = 0;   ///< Position in the plan.
  std::string Text_; ///< Input of a pipeline; unique within the plan.
  int Tokens_ = 0;
};

/// Mean demand of one kind of request.
struct KindDemand {
  std::size_t Kind_ = 0;
  double Share_ = 0; ///< Of all requests; the shares add up to 1.
  double MeanWords_ = 0;
  double MeanTokens_ = 0;
};

/// Draws the arrivals of every kind as a Poisson process of its own with a
/// generator of its own, so that a change of one kind leaves the others as they
/// were. The same scenario and \p Seed give the same plan on every machine.
std::vector<PlannedRequest> planRequests(const BenchScenario &Scenario,
                                         double Capacity, std::uint64_t Seed);

/// The mix of \p Scenario, from which a capacity is computed.
std::vector<KindDemand> demandOf(const BenchScenario &Scenario);

/// The mean of a log-uniform length.
double meanOf(const BenchLength &Length);

} // namespace amaranth::control

#endif
