#include "Coordination/StageStatistics.h"

#include <algorithm>
#include <cassert>
#include <vector>

namespace amaranth::coordination {

void StageStatistics::record(const std::string &Key, Microseconds Duration) {
  std::lock_guard Lock(Mutex_);
  Window &Recent = Windows_[Key];
  Recent.Durations_[Recent.Count_ % WindowSize] = Duration;
  ++Recent.Count_;
}

std::optional<Microseconds> StageStatistics::quantile(const std::string &Key,
                                                      double Fraction) {
  assert(Fraction >= 0 && Fraction < 1);
  std::vector<Microseconds> Durations;
  {
    std::lock_guard Lock(Mutex_);
    auto Found = Windows_.find(Key);
    if (Found == Windows_.end() || Found->second.Count_ < MinSamples)
      return std::nullopt;
    const Window &Recent = Found->second;
    auto Size =
        static_cast<std::ptrdiff_t>(std::min(Recent.Count_, WindowSize));
    Durations.assign(Recent.Durations_.begin(),
                     Recent.Durations_.begin() + Size);
  }
  auto Position = Durations.begin() + static_cast<std::ptrdiff_t>(
                                          Fraction * double(Durations.size()));
  std::nth_element(Durations.begin(), Position, Durations.end());
  return *Position;
}

} // namespace amaranth::coordination
