/// \file
/// Routing by predicted completion.
#ifndef AMARANTH_COORDINATION_PREDICTEDROUTER_H
#define AMARANTH_COORDINATION_PREDICTEDROUTER_H

#include "Coordination/Router.h"

#include <mutex>
#include <random>

namespace amaranth::coordination {

/// Settings of PredictedRouter.
struct PredictedRouterSettings {
  /// A candidate is late if its predicted completion exceeds the median of the
  /// stage's targets by this factor, within the bounds below.
  double LateFactor_ = 1.2;
  /// Differences below this do not outweigh the prefix cache of the candidates.
  Microseconds LateFloor_{2000};
  /// Longer delays than this always count as late, also for long work, because
  /// long work on a loaded target delays the short work behind it.
  Microseconds LateCeiling_{20000};
  std::uint64_t Seed_ = std::random_device{}();
};

/// Sends an input to the better of its two candidates. When both are predicted
/// late, two random other targets are compared too, and not all of them,
/// because several daemons with the same load reports would all choose the same
/// best target. Thread-safe.
class PredictedRouter final : public Router {
public:
  PredictedRouter(TargetTable &Table, const PredictedRouterSettings &Settings);

  std::optional<Route> choose(const RouteQuery &Query) override;

private:
  struct Option {
    const state::Target *Target_ = nullptr;
    TargetEstimate Estimate_;
  };

  std::vector<Option> findUsableOptions(const RouteQuery &Query,
                                        Microseconds &Median);
  bool isLate(const Option &Candidate, const RouteQuery &Query,
              Microseconds Median) const;
  std::vector<Option> sampleTwo(std::vector<Option> Options);

  TargetTable &Table_;
  PredictedRouterSettings Settings_;
  std::mutex Mutex_;
  std::mt19937_64 Random_;
};

} // namespace amaranth::coordination

#endif
