#include "State/BurnReport.h"

#include "State/BurnSeries.h"

namespace amaranth::state {

namespace {

// Parentheses are not allowed in account names, so these cannot clash with one.
constexpr const char *AllAccounts = "(all)";
constexpr const char *OtherAccounts = "(other)";

} // namespace

BurnReport::BurnReport(const BurnReportSettings &Settings)
    : Settings_(Settings) {}

BurnReport::~BurnReport() = default;

void BurnReport::setObjective(const std::string &Service,
                              const Objective &Goal) {
  std::lock_guard Lock(Mutex_);
  Objectives_[Service] = Goal;
}

Objective BurnReport::objectiveOf(const std::string &Service) const {
  auto Found = Objectives_.find(Service);
  return Found == Objectives_.end() ? Objective{} : Found->second;
}

void BurnReport::record(const FinishedRequest &Request) {
  std::lock_guard Lock(Mutex_);
  Objective Goal = objectiveOf(Request.Service_);
  SteadyTime Now = Request.FinishedAt_;
  findOrAddSeries(Request.Service_, AllAccounts, Now).record(Request, Goal);
  findOrAddSeries(Request.Service_, Request.Account_, Now)
      .record(Request, Goal);
}

detail::BurnSeries &BurnReport::findOrAddSeries(const std::string &Service,
                                                const std::string &Account,
                                                SteadyTime Now) {
  SeriesKey Key{Service, Account};
  auto Found = Series_.find(Key);
  if (Found != Series_.end())
    return *Found->second;
  bool IsAggregate = Account == AllAccounts || Account == OtherAccounts;
  if (!IsAggregate && Series_.size() >= Settings_.MaxSeries_) {
    removeIdle(Now);
    if (Series_.size() >= Settings_.MaxSeries_)
      return findOrAddSeries(Service, OtherAccounts, Now);
  }
  auto Added = std::make_unique<detail::BurnSeries>(Settings_);
  return *Series_.emplace(std::move(Key), std::move(Added)).first->second;
}

void BurnReport::removeIdle(SteadyTime Now) {
  std::erase_if(Series_,
                [&](const auto &Entry) { return Entry.second->isIdle(Now); });
}

BurnSummary BurnReport::summary(SteadyTime Now) const {
  BurnSummary Summary;
  Summary.Host_ = Settings_.Host_;
  Summary.CreatedAt_ = unixTimeNow();
  Summary.ShortWindow_ = Settings_.ShortWindow_;
  Summary.LongWindow_ = Settings_.LongWindow_;
  Summary.SlotLength_ = Settings_.SlotLength_;
  std::lock_guard Lock(Mutex_);
  for (const auto &[Key, Series] : Series_) {
    if (Series->isIdle(Now))
      continue;
    BurnRow Row;
    Row.Service_ = Key.first;
    Row.Account_ = Key.second;
    Row.Objective_ = objectiveOf(Key.first);
    Series->summarize(Now, Row);
    Summary.Rows_.push_back(std::move(Row));
  }
  return Summary;
}

} // namespace amaranth::state
