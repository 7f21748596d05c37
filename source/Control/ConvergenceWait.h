/// \file
/// Waits until changes are in force on every host.
#ifndef AMARANTH_CONTROL_CONVERGENCEWAIT_H
#define AMARANTH_CONTROL_CONVERGENCEWAIT_H

#include "Control/AdminClient.h"
#include "Control/AdminReplies.h"

#include <cstdint>
#include <map>
#include <ostream>
#include <set>
#include <string>

namespace amaranth::control {

/// Polls every alive and draining host until each has at least the given
/// revisions in force. A host that has reported them is not polled again,
/// because revisions never decrease; a new incarnation (start of its daemon)
/// is.
class ConvergenceWait final {
public:
  /// Writes a line to \p Messages whenever the progress changes.
  ConvergenceWait(AdminClient &Client, std::ostream &Messages);

  /// Blocks until \p Revisions (by service) are in force. DeadlineExceeded,
  /// with the missing hosts, if the client's deadline passes first.
  Result<void> wait(const std::map<std::string, std::uint64_t> &Revisions);

private:
  void pollHosts(const std::map<std::string, std::uint64_t> &Revisions);
  bool hasRevisions(const MemberStatus &Member,
                    const std::map<std::string, std::uint64_t> &Revisions);
  void showProgress();

  AdminClient &Client_;
  std::ostream &Messages_;
  std::set<std::string> Confirmed_; ///< "host/incarnation".
  std::size_t HostCount_ = 0;
  std::string MissingHosts_; ///< Hosts that have not reported the revisions,
                             ///< or why the members are not known.
  std::string LastProgress_;
};

} // namespace amaranth::control

#endif
