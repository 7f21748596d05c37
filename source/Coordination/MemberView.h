/// \file
/// Read access to the membership view.
#ifndef AMARANTH_COORDINATION_MEMBERVIEW_H
#define AMARANTH_COORDINATION_MEMBERVIEW_H

#include "Protocol/PeerMessages.h"

#include <optional>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// What the rest of the daemon needs to know about the fleet. An interface, so
/// that components are tested without a running membership protocol.
/// Thread-safe.
class MemberView {
public:
  virtual ~MemberView() = default;

  /// This host.
  virtual protocol::Member self() const = 0;
  /// Every known host, this one and dead ones included.
  virtual std::vector<protocol::Member> members() const = 0;
  /// The newest known incarnation of \p Host.
  virtual std::optional<protocol::Member>
  find(const std::string &Host) const = 0;
};

} // namespace amaranth::coordination

#endif
