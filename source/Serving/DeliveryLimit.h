/// \file
/// Decides when a caller that reads slowly is given up.
#ifndef AMARANTH_SERVING_DELIVERYLIMIT_H
#define AMARANTH_SERVING_DELIVERYLIMIT_H

#include "Support/Time.h"

#include <cstdint>

namespace amaranth::serving {

/// Settings of DeliveryLimit.
struct DeliveryLimitSettings {
  /// A caller that accepts no byte for this long is given up. Sound callers
  /// pause for several seconds between reads.
  Milliseconds MaxPause_{10000};
  /// Time after the request's deadline in which the rest of an answer may
  /// still be delivered to a caller that keeps reading.
  Milliseconds MaxLateness_{30000};
};

/// Decides from the bytes that a caller has accepted whether its answer is
/// still worth holding. The time between two writes does not count as a pause.
class DeliveryLimit final {
public:
  explicit DeliveryLimit(SteadyTime RequestDeadline,
                         DeliveryLimitSettings Settings = {})
      : Settings_(Settings),
        DeliverBy_(RequestDeadline + Settings.MaxLateness_) {}

  /// Bytes wait for the caller since \p Now; none did before.
  void onWaiting(SteadyTime Now) { LastAccepted_ = Now; }
  /// The caller has accepted \p TotalBytes of the answer up to now.
  void onAccepted(std::uint64_t TotalBytes, SteadyTime Now);

  /// When the delivery ends, whatever the caller accepts.
  SteadyTime deliverBy() const { return DeliverBy_; }
  /// Whether a caller for which bytes wait is given up.
  bool isExceeded(SteadyTime Now) const;

private:
  DeliveryLimitSettings Settings_;
  SteadyTime DeliverBy_;
  SteadyTime LastAccepted_{};
  std::uint64_t AcceptedBytes_ = 0;
};

} // namespace amaranth::serving

#endif
