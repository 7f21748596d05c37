/// \file
/// The record by which a target registers itself.
#ifndef AMARANTH_STATE_TARGETRECORD_H
#define AMARANTH_STATE_TARGETRECORD_H

#include "Support/Time.h"

#include <cstdint>
#include <string>

namespace amaranth::state {

/// One registered target. Each start of its process is a new incarnation.
struct TargetRecord {
  std::string Id_;
  std::string Service_;
  /// IP:PORT. Another target may reuse the address after this one has ended.
  std::string Address_;
  std::string DataCentre_;
  /// Version of its software; empty if not stated. What two versions write
  /// does not fit together in one stream.
  std::string Version_;
  std::size_t Slots_ = 1;
  bool IsDraining_ = false; ///< It is draining.
  Milliseconds WarmUpRemaining_{
      0}; ///< Remaining time of slow operation after start.
  std::int64_t Incarnation_ = 0; ///< Start time of the process; 0 if unknown.
  /// Name of a field whose value is invalid and ignored; empty if none is.
  std::string InvalidField_;
};

} // namespace amaranth::state

#endif
