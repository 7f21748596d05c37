/// \file
/// Waiting until changes are in force on every host.
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

/// Asks every alive and draining host for its revisions until each has at least
/// the wanted ones. A host that has shown them is not asked again, because
/// revisions never go back; a new incarnation is.
class ConvergenceWait final {
public:
  /// Progress is written to \p Messages, one line for each change of it.
  ConvergenceWait(AdminClient &Client, std::ostream &Messages);

  /// DeadlineExceeded, with the hosts that are missing, if the client's
  /// deadline passes first.
  Result<void> wait(const std::map<std::string, std::uint64_t> &Revisions);

private:
  void askOnce(const std::map<std::string, std::uint64_t> &Revisions);
  bool hasAll(const MemberStatus &Member,
              const std::map<std::string, std::uint64_t> &Revisions);
  void showProgress();

  AdminClient &Client_;
  std::ostream &Messages_;
  std::set<std::string> Confirmed_; ///< Host and incarnation.
  std::size_t Members_ = 0;
  std::string Missing_; ///< Hosts that have not shown the revisions, or why
                        ///< the members are not known.
  std::string LastProgress_;
};

} // namespace amaranth::control

#endif
