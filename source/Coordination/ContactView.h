/// \file
/// What the isolation rule needs to know.
#ifndef AMARANTH_COORDINATION_CONTACTVIEW_H
#define AMARANTH_COORDINATION_CONTACTVIEW_H

#include "Support/Time.h"

namespace amaranth::coordination {

/// Whether this host can reach its peers. Thread-safe.
class ContactView {
public:
  virtual ~ContactView() = default;

  /// This host was in contact with more than half of its peers within
  /// \p Window, or knows none. Dead peers count unless they left by draining.
  virtual bool contactedMajorityWithin(Milliseconds Window) const = 0;
};

} // namespace amaranth::coordination

#endif
