/// \file
/// Ranking of the entry hosts for a caller.
#ifndef AMARANTH_COORDINATION_ENTRYHOSTRANKING_H
#define AMARANTH_COORDINATION_ENTRYHOSTRANKING_H

#include "Protocol/PeerMessages.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace amaranth::coordination {

/// Settings of rankEntryHosts().
struct EntryHostRankingSettings {
  /// Maximum number of hosts in a ranking, so that replies do not grow with the
  /// fleet.
  std::size_t MaxEntries_ = 5;
};

/// Orders the live hosts for one caller. The order is random and weighted by
/// spare capacity, so that callers that keep using the ranking they received
/// spread over the fleet instead of all choosing the least loaded host. Suspect
/// hosts come last; draining and dead ones are left out.
std::vector<protocol::Member>
rankEntryHosts(const std::vector<protocol::Member> &Members,
               const EntryHostRankingSettings &Settings, std::uint64_t Seed);

} // namespace amaranth::coordination

#endif
