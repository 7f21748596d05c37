/// \file
/// Measurement of the processor time that this process uses.
#ifndef AMARANTH_COORDINATION_PROCESSORMETER_H
#define AMARANTH_COORDINATION_PROCESSORMETER_H

#include "Support/Time.h"

#include <deque>

namespace amaranth::coordination {

/// Settings of ProcessorMeter.
struct ProcessorMeterSettings {
  /// The share is averaged over this time.
  Milliseconds Window_{1000};
  /// Minimum time between two samples.
  Milliseconds SamplePeriod_{100};
};

/// Computes the share of a host's processor that its process has used lately.
class ProcessorMeter final {
public:
  /// \p Cores is what the host may use; 0 if unknown, which counts as one core,
  /// because requests are served by one thread.
  explicit ProcessorMeter(double Cores, ProcessorMeterSettings Settings = {});

  /// Records the processor time that the process has used since its start.
  void sample(Microseconds Used, SteadyTime Now);
  /// From 0 to 1; 0 before two samples have been taken.
  double busyShare() const { return BusyShare_; }

private:
  struct Sample {
    SteadyTime Time_;
    Microseconds Used_;
  };

  double Cores_;
  ProcessorMeterSettings Settings_;
  std::deque<Sample> Samples_;
  double BusyShare_ = 0;
};

} // namespace amaranth::coordination

#endif
