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
  /// A candidate is late if its predicted completion exceeds this multiple of
  /// the stage's median.
  double LateFactor_ = 1.2;
  /// Differences below this are not worth leaving the candidates, which hold
  /// the prefix cache.
  Microseconds LateFloor_{2000};
  /// A longer delay than this is worth it even if it is a small part of long
  /// work: long work on a crowded target delays the short work behind it.
  Microseconds LateCeiling_{20000};
  std::uint64_t Seed_ = std::random_device{}();
};

/// Sends an input to the better of its two candidates, and to the better of two
/// random other targets when both candidates are predicted late. Two random
/// ones, not the best of all, because several daemons with the same reports
/// would all choose the same best target. Thread-safe.
class PredictedRouter final : public Router {
public:
  PredictedRouter(TargetTable &Table, const PredictedRouterSettings &Settings);

  std::optional<Route> choose(const RouteQuery &Query) override;

private:
  struct Option {
    const state::Target *Target_ = nullptr;
    TargetEstimate Estimate_;
  };

  std::vector<Option> usableOptions(const RouteQuery &Query,
                                    Microseconds &Median);
  bool late(const Option &Candidate, const RouteQuery &Query,
            Microseconds Median) const;
  std::vector<Option> takeTwoRandom(std::vector<Option> Others);

  TargetTable &Table_;
  PredictedRouterSettings Settings_;
  std::mutex Mutex_;
  std::mt19937_64 Random_;
};

} // namespace amaranth::coordination

#endif
