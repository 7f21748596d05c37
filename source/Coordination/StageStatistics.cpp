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
                                                      double Share) {
  assert(Share >= 0 && Share < 1);
  std::vector<Microseconds> Sorted;
  {
    std::lock_guard Lock(Mutex_);
    auto Found = Windows_.find(Key);
    if (Found == Windows_.end() || Found->second.Count_ < MinSamples)
      return std::nullopt;
    const Window &Recent = Found->second;
    auto Size =
        static_cast<std::ptrdiff_t>(std::min(Recent.Count_, WindowSize));
    Sorted.assign(Recent.Durations_.begin(), Recent.Durations_.begin() + Size);
  }
  auto Position = Sorted.begin() +
                  static_cast<std::ptrdiff_t>(Share * double(Sorted.size()));
  std::nth_element(Sorted.begin(), Position, Sorted.end());
  return *Position;
}

} // namespace amaranth::coordination
