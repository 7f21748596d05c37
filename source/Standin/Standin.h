/// \file
/// Interface of all stand-ins. A stand-in simulates a target, the key-value
/// service or a faulty network in tests and in the demo.
#ifndef AMARANTH_STANDIN_STANDIN_H
#define AMARANTH_STANDIN_STANDIN_H

#include "Support/Error.h"

#include <string>
#include <vector>

namespace amaranth::standin {

/// A port that a stand-in listens on, as the program prints it at start.
struct Announcement {
  std::string Name_; ///< Such as "engine" or "proxy-control".
  int Port_ = 0;
};

/// One instance of a stand-in.
class Standin {
public:
  virtual ~Standin() = default;
  /// Binds the ports and starts serving; Unavailable if a port cannot be
  /// bound.
  virtual Result<void> start() = 0;
  virtual std::vector<Announcement> announcements() const = 0;
  virtual void stop() = 0;
};

} // namespace amaranth::standin

#endif
