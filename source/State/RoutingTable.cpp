#include "State/RoutingTable.h"

namespace amaranth::state {

const Route *RoutingTable::findRoute(std::string_view Host,
                                     std::string_view Path) const {
  const Route *LongestMatch = nullptr;
  for (const Route &Candidate : Routes_) {
    if (Candidate.Host_ != Host ||
        Path.substr(0, Candidate.Prefix_.size()) != Candidate.Prefix_)
      continue;
    if (!LongestMatch ||
        Candidate.Prefix_.size() > LongestMatch->Prefix_.size())
      LongestMatch = &Candidate;
  }
  return LongestMatch;
}

const Service *RoutingTable::findService(const std::string &Name) const {
  auto Found = Services_.find(Name);
  return Found == Services_.end() ? nullptr : &Found->second;
}

const RoutedAccount *RoutingTable::findAccount(std::string_view Key) const {
  auto Found = AccountsByKey_.find(Key);
  return Found == AccountsByKey_.end() ? nullptr : &Found->second;
}

} // namespace amaranth::state
