#include "Coordination/Stages/CallStatistics.h"

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
  if (!Saturated || Elapsed <= Milliseconds(0))
    return;
  std::size_t Batch = Capacity.MaxBatchPieces_;
  Milliseconds FullCall = configuredCallTime(Capacity, Batch);
  double Yield = static_cast<double>(Pieces) / static_cast<double>(Batch) *
                 static_cast<double>(FullCall.count()) /
                 static_cast<double>(Elapsed.count());
  Yield_ += Settings_.CallWeight_ * (Yield - Yield_);
}

} // namespace amaranth::coordination
