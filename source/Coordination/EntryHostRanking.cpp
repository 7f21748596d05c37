#include "Coordination/EntryHostRanking.h"

#include <algorithm>
#include <random>

namespace amaranth::coordination {

namespace {

using protocol::Member;
using protocol::MemberStatus;

/// Weight of a host that reports itself full; not zero, since reports are late.
constexpr double MinWeight = 0.05;

struct Ranked {
  bool Suspect_;
  double Order_; ///< Lower comes first.
  const Member *Member_;
};

/// Exponentially distributed with rate = weight: sorting by it draws a
/// weighted random order without replacement.
double drawOrder(const Member &Host, std::mt19937_64 &Random) {
  double Weight = std::clamp(1 - Host.Load_, MinWeight, 1.0);
  return std::exponential_distribution<double>(Weight)(Random);
}

bool precedes(const Ranked &Left, const Ranked &Right) {
  if (Left.Suspect_ != Right.Suspect_)
    return Right.Suspect_;
  return Left.Order_ < Right.Order_;
}

} // namespace

std::vector<Member> rankEntryHosts(const std::vector<Member> &Members,
                                   const EntryHostRankingSettings &Settings,
                                   std::uint64_t Seed) {
  std::mt19937_64 Random(Seed);
  std::vector<Ranked> Order;
  for (const Member &Host : Members) {
    if (Host.Status_ != MemberStatus::Alive &&
        Host.Status_ != MemberStatus::Suspect)
      continue;
    bool Suspect = Host.Status_ == MemberStatus::Suspect;
    Order.push_back({Suspect, drawOrder(Host, Random), &Host});
  }
  std::sort(Order.begin(), Order.end(), precedes);
  if (Order.size() > Settings.MaxEntries_)
    Order.resize(Settings.MaxEntries_);
  std::vector<Member> Result;
  for (const Ranked &Entry : Order)
    Result.push_back(*Entry.Member_);
  return Result;
}

} // namespace amaranth::coordination
