/// \file
/// Choice of the entry host that does a piece of work for the whole fleet.
#ifndef AMARANTH_COORDINATION_HOSTELECTION_H
#define AMARANTH_COORDINATION_HOSTELECTION_H

#include <string>
#include <string_view>
#include <vector>

namespace amaranth::coordination {

/// A host that may be elected.
struct ElectionCandidate {
  std::string_view Host_;
  double LinkMegabits_ = 0; ///< Bandwidth of its network link; 0 if unknown.
};

/// Bandwidth from which a host counts as well connected: half of the widest
/// link. Work for the whole fleet goes to such hosts, because it can take up
/// all of a narrow link, and then delays everything else on that host.
double wideLinkThreshold(const std::vector<ElectionCandidate> &Candidates);

/// Returns the host that ranks first for \p Work by rendezvous hashing among
/// the well connected candidates; empty if there is no candidate. All hosts
/// that know the same candidates agree.
std::string electHost(const std::string &Work,
                      const std::vector<ElectionCandidate> &Candidates);

} // namespace amaranth::coordination

#endif
