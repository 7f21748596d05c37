#include "Coordination/EntryHostRanking.h"

#include <algorithm>
#include <random>

namespace amaranth::coordination {

namespace {

using protocol::Member;
using protocol::MemberStatus;

/// Weight of a host that reports full load. Not zero, because load reports are
/// late.
constexpr double MinWeight = 0.05;

struct RankedHost {
  bool Suspect_;
  double SortKey_; ///< Lower comes first.
  const Member *Member_;
};

/// Draws an exponentially distributed key whose rate is the host's weight.
/// Sorting by such keys is weighted random sampling without replacement.
double drawSortKey(const Member &Host, std::mt19937_64 &Random) {
  double Weight = std::clamp(1 - Host.Load_, MinWeight, 1.0);
  return std::exponential_distribution<double>(Weight)(Random);
}

bool precedes(const RankedHost &Left, const RankedHost &Right) {
  if (Left.Suspect_ != Right.Suspect_)
    return Right.Suspect_;
  return Left.SortKey_ < Right.SortKey_;
}

} // namespace

std::vector<Member> rankEntryHosts(const std::vector<Member> &Members,
                                   const EntryHostRankingSettings &Settings,
                                   std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::vector<RankedHost> Ranking;
  for (const Member &Host : Members) {
    if (Host.Status_ != MemberStatus::Alive &&
        Host.Status_ != MemberStatus::Suspect)
      continue;
    bool Suspect = Host.Status_ == MemberStatus::Suspect;
    Ranking.push_back({Suspect, drawSortKey(Host, Random), &Host});
  }
  std::sort(Ranking.begin(), Ranking.end(), precedes);
  if (Ranking.size() > Settings.MaxEntries_)
    Ranking.resize(Settings.MaxEntries_);
  std::vector<Member> Result;
  for (const RankedHost &Ranked : Ranking)
    Result.push_back(*Ranked.Member_);
  return Result;
}

} // namespace amaranth::coordination
