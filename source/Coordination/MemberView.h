/// \file
/// Read access to the membership view.
#ifndef AMARANTH_COORDINATION_MEMBERVIEW_H
#define AMARANTH_COORDINATION_MEMBERVIEW_H

#include "Protocol/PeerMessages.h"

#include <optional>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// The hosts of the fleet as this host knows them. An interface, so that
/// components are tested without a running membership protocol.
/// Thread-safe.
class MemberView {
public:
  virtual ~MemberView() = default;

  /// This host.
  virtual protocol::Member self() const = 0;
  /// All known hosts, including this one and dead ones.
  virtual std::vector<protocol::Member> members() const = 0;
  /// The newest known incarnation of \p Host.
  virtual std::optional<protocol::Member>
  find(const std::string &Host) const = 0;
};

} // namespace amaranth::coordination

#endif
