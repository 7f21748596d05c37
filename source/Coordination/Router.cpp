#include "Coordination/Router.h"

#include "Support/Digest.h"

#include <algorithm>
#include <utility>

namespace amaranth::coordination {

std::vector<const state::Target *>
rankedCandidates(const std::vector<const state::Target *> &Targets,
                 const std::string &InputDigest, std::size_t Count) {
  std::vector<std::pair<std::uint64_t, const state::Target *>> Ranked;
  Ranked.reserve(Targets.size());
  for (const state::Target *Target : Targets)
    Ranked.emplace_back(sha256Prefix(InputDigest + "/" + Target->Name_),
                        Target);
  auto CandidateCount =
      static_cast<std::ptrdiff_t>(std::min(Count, Ranked.size()));
  std::partial_sort(Ranked.begin(), Ranked.begin() + CandidateCount,
                    Ranked.end(), [](const auto &Left, const auto &Right) {
                      if (Left.first != Right.first)
                        return Left.first > Right.first;
                      return Left.second->Name_ < Right.second->Name_;
                    });
  std::vector<const state::Target *> Candidates;
  for (auto It = Ranked.begin(); It != Ranked.begin() + CandidateCount; ++It)
    Candidates.push_back(It->second);
  return Candidates;
}

} // namespace amaranth::coordination
