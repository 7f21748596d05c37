#include "Coordination/RandomRouter.h"

#include <algorithm>

namespace amaranth::coordination {

RandomRouter::RandomRouter(TargetTable &Table, std::uint64_t Seed)
    : Table_(Table), Random_(Seed) {}

std::optional<Route> RandomRouter::choose(const RouteQuery &Query) {
  auto Usable = Query.Targets_;
  if (Query.Suspect_)
    Usable = rankedCandidates(Query.Targets_, Query.InputDigest_, 2);
  std::erase_if(Usable, [&](const state::Target *Target) {
    bool WasTried =
        std::find(Query.TriedTargets_.begin(), Query.TriedTargets_.end(),
                  Target->Name_) != Query.TriedTargets_.end();
    return WasTried || Table_.isLeaving(Target->Address_);
  });
  if (Usable.empty())
    return std::nullopt;
  std::lock_guard Lock(Mutex_);
  std::uniform_int_distribution<std::size_t> IndexDistribution(
      0, Usable.size() - 1);
  return Route{Usable[IndexDistribution(Random_)], Microseconds{0}};
}

} // namespace amaranth::coordination
