/// \file
/// Read access to recent contact with peers, for the isolation check.
#ifndef AMARANTH_COORDINATION_CONTACTVIEW_H
#define AMARANTH_COORDINATION_CONTACTVIEW_H

#include "Support/Time.h"

namespace amaranth::coordination {

/// Reports whether this host can reach its peers. An interface, so that the
/// isolation check is tested without a running membership protocol.
/// Thread-safe.
class ContactView {
public:
  virtual ~ContactView() = default;

  /// True if this host had contact with more than half of its peers within the
  /// last \p Window, or knows no peers. Dead peers count as peers unless they
  /// left by draining.
  virtual bool contactedMajorityWithin(Milliseconds Window) const = 0;
};

} // namespace amaranth::coordination

#endif
