#include "Serving/DeliveryLimit.h"

namespace amaranth::serving {

void DeliveryLimit::onAccepted(std::uint64_t TotalBytes, SteadyTime Now) {
  if (TotalBytes <= AcceptedBytes_)
    return;
  AcceptedBytes_ = TotalBytes;
  LastAccepted_ = Now;
}

bool DeliveryLimit::isExceeded(SteadyTime Now) const {
  return Now >= DeliverBy_ || Now - LastAccepted_ >= Settings_.MaxPause_;
}

} // namespace amaranth::serving
