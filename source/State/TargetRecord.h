/// \file
/// A target as it registers itself.
#ifndef AMARANTH_STATE_TARGETRECORD_H
#define AMARANTH_STATE_TARGETRECORD_H

#include "Support/Time.h"

#include <cstdint>
#include <string>

namespace amaranth::state {

/// One registered target. Each start of a target is a new incarnation.
struct TargetRecord {
  std::string Id_;
  std::string Service_;
  std::string Address_; ///< IP:PORT; used again by others after a target ended.
  std::string DataCentre_;
  std::size_t Slots_ = 1;
  bool Leaving_ = false;
  Milliseconds WarmUp_{0}; ///< How much longer it is slow after its start.
  std::int64_t Incarnation_ = 0; ///< Start of the process; 0 if unknown.
};

} // namespace amaranth::state

#endif
