/// \file
/// What every stand-in offers the program.
#ifndef AMARANTH_STANDIN_STANDIN_H
#define AMARANTH_STANDIN_STANDIN_H

#include "Support/Error.h"

#include <string>
#include <vector>

namespace amaranth::standin {

/// An address that a running stand-in announces.
struct Announcement {
  std::string Name_; ///< Name of the subcommand.
  int Port_ = 0;
};

/// One instance of a stand-in.
class Standin {
public:
  virtual ~Standin() = default;
  /// Binds and serves; Unavailable if the address cannot be bound.
  virtual Result<void> start() = 0;
  virtual std::vector<Announcement> announcements() const = 0;
  virtual void stop() = 0;
};

} // namespace amaranth::standin

#endif
