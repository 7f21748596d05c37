#include "Coordination/ProcessorMeter.h"

#include <algorithm>

namespace amaranth::coordination {

ProcessorMeter::ProcessorMeter(double Cores, ProcessorMeterSettings Settings)
    : Cores_(Cores > 0 ? Cores : 1), Settings_(Settings) {}

void ProcessorMeter::sample(Microseconds Used, SteadyTime Now) {
  if (!Samples_.empty() &&
      Now - Samples_.back().Time_ < Settings_.SamplePeriod_)
    return;
  Samples_.push_back({Now, Used});
  // Keeps one sample that is at least as old as the window.
  while (Samples_.size() > 2 && Now - Samples_[1].Time_ >= Settings_.Window_)
    Samples_.pop_front();
  const Sample &First = Samples_.front();
  if (Samples_.size() < 2)
    return;
  std::chrono::duration<double> Elapsed = Now - First.Time_;
  std::chrono::duration<double> Busy = Used - First.Used_;
  BusyShare_ = std::clamp(Busy / Elapsed / Cores_, 0.0, 1.0);
}

} // namespace amaranth::coordination
