#include "Coordination/Stages/CallStatistics.h"

#include <algorithm>

namespace amaranth::coordination {

Milliseconds configuredCallTime(const state::StageCapacity &Capacity,
                                std::size_t Pieces) {
  auto Work = Capacity.PieceTime_ * static_cast<std::int64_t>(Pieces);
  return Capacity.CallOverhead_ + std::chrono::ceil<Milliseconds>(Work);
}

CallStatistics::CallStatistics(CallStatisticsSettings Settings)
    : Settings_(Settings) {}

void CallStatistics::add(const state::StageCapacity &Capacity,
                         std::size_t Pieces, bool Saturated,
                         Milliseconds Elapsed) {
  if (Elapsed <= Milliseconds(0))
    return;
  std::size_t Batch = Capacity.MaxBatchPieces_;
  Milliseconds FullCall = configuredCallTime(Capacity, Batch);
  auto Counted = static_cast<double>(
      std::min(Elapsed, Settings_.MaxFullCalls_ * FullCall).count());
  CallTimeMs_ +=
      (CallTimeMs_ == 0 ? 1 : Settings_.CallWeight_) * (Counted - CallTimeMs_);
  if (!Saturated)
    return;
  double Yield = static_cast<double>(Pieces) / static_cast<double>(Batch) *
                 static_cast<double>(FullCall.count()) /
                 static_cast<double>(Elapsed.count());
  Yield_ += Settings_.CallWeight_ * (Yield - Yield_);
}

Milliseconds CallStatistics::callTime() const {
  return Milliseconds(static_cast<std::int64_t>(CallTimeMs_));
}

} // namespace amaranth::coordination
