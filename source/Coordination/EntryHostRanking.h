/// \file
/// Ranks the entry hosts for a caller.
#ifndef AMARANTH_COORDINATION_ENTRYHOSTRANKING_H
#define AMARANTH_COORDINATION_ENTRYHOSTRANKING_H

#include "Protocol/PeerMessages.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace amaranth::coordination {

/// Settings of rankEntryHosts().
struct EntryHostRankingSettings {
  /// Entries of an answer; bounded so that it does not grow with the fleet.
  std::size_t MaxEntries_ = 5;
};

/// Orders the alive hosts for one caller: a random order weighted by spare
/// capacity, so that callers who keep their answers spread over the fleet
/// instead of following the least loaded host together. Suspect hosts come
/// last; draining and dead ones are left out.
std::vector<protocol::Member>
rankEntryHosts(const std::vector<protocol::Member> &Members,
               const EntryHostRankingSettings &Settings, std::uint64_t Seed);

} // namespace amaranth::coordination

#endif
