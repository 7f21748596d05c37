/// \file
/// Baseline routing.
#ifndef AMARANTH_COORDINATION_RANDOMROUTER_H
#define AMARANTH_COORDINATION_RANDOMROUTER_H

#include "Coordination/Router.h"

#include <mutex>
#include <random>

namespace amaranth::coordination {

/// Chooses a random target that is not leaving; the baseline that
/// PredictedRouter is compared with. Thread-safe.
class RandomRouter final : public Router {
public:
  RandomRouter(TargetTable &Table, std::uint64_t Seed);

  std::optional<Route> choose(const RouteQuery &Query) override;

private:
  TargetTable &Table_;
  std::mutex Mutex_;
  std::mt19937_64 Random_;
};

} // namespace amaranth::coordination

#endif
