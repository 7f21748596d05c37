#include "Coordination/HostElection.h"

#include "Coordination/Engines/EngineChooser.h"

#include <algorithm>

namespace amaranth::coordination {

double wideLinkThreshold(const std::vector<ElectionCandidate> &Candidates) {
  double Widest = 0;
  for (const ElectionCandidate &Candidate : Candidates)
    Widest = std::max(Widest, Candidate.LinkMegabits_);
  return Widest / 2;
}

std::string electHost(const std::string &Work,
                      const std::vector<ElectionCandidate> &Candidates) {
  double Threshold = wideLinkThreshold(Candidates);
  std::string_view Elected;
  std::uint64_t BestRank = 0;
  for (const ElectionCandidate &Candidate : Candidates) {
    if (Candidate.LinkMegabits_ < Threshold)
      continue;
    std::uint64_t Rank = rendezvousRank(Work, std::string(Candidate.Host_));
    if (Elected.empty() || Rank > BestRank) {
      Elected = Candidate.Host_;
      BestRank = Rank;
    }
  }
  return std::string(Elected);
}

} // namespace amaranth::coordination
