#include "Coordination/Stages/UndeliveredReports.h"

#include <iterator>

namespace amaranth::coordination {

UndeliveredReports::UndeliveredReports(UndeliveredReportsSettings Settings)
    : Settings_(Settings) {}

void UndeliveredReports::add(const std::string &Host,
                             const protocol::PieceReports &Reports,
                             SteadyTime Now) {
  if (Reports.Reports_.empty())
    return;
  std::deque<KeptReport> &Kept = ReportsByHost_[Host];
  for (const protocol::PieceReport &Report : Reports.Reports_)
    Kept.push_back({Now + Settings_.Lifetime_, Report});
  while (Kept.size() > Settings_.MaxReportsPerHost_)
    Kept.pop_front();
}

protocol::PieceReports UndeliveredReports::take(const std::string &Host,
                                                SteadyTime Now) {
  protocol::PieceReports Reports;
  auto Found = ReportsByHost_.find(Host);
  if (Found == ReportsByHost_.end())
    return Reports;
  for (KeptReport &Kept : Found->second)
    if (Now < Kept.ExpiresAt_)
      Reports.Reports_.push_back(std::move(Kept.Report_));
  ReportsByHost_.erase(Found);
  return Reports;
}

void UndeliveredReports::expire(SteadyTime Now) {
  for (auto Item = ReportsByHost_.begin(); Item != ReportsByHost_.end();) {
    std::deque<KeptReport> &Kept = Item->second;
    while (!Kept.empty() && Now >= Kept.front().ExpiresAt_)
      Kept.pop_front();
    Item = Kept.empty() ? ReportsByHost_.erase(Item) : std::next(Item);
  }
}

} // namespace amaranth::coordination
