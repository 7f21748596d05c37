#include "Coordination/AccountLimiter.h"

#include <algorithm>
#include <cmath>

namespace amaranth::coordination {

namespace {

/// Part of the equal share below which a host's demand is not counted, so that
/// a host without recent demand can serve the first requests of a new burst.
constexpr double IdleShare = 0.1;

/// Requests that any account may send at once.
constexpr double MinBurst = 5;

/// Demand below which an account is not reported, in requests per second.
constexpr double MinReportedDemand = 0.01;

double seconds(SteadyClock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

AccountLimiter::AccountLimiter(AccountLimiterSettings Settings)
    : Settings_(std::move(Settings)) {}

Milliseconds AccountLimiter::take(const std::string &Service,
                                  const std::string &Account,
                                  double FleetLimit) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  Key Name(Service, Account);
  Bucket &Known = Buckets_[Name];
  Known.Demand_ = demandNow(Known, Now) + 1 / seconds(Settings_.DemandWindow_);
  Known.DemandTime_ = Now;
  double Rate = std::max(shareLocked(Name, FleetLimit, Now), 1e-3);
  double Capacity = std::max(MinBurst, Rate * seconds(Settings_.Burst_));
  if (!Known.Filled_)
    Known.Tokens_ = Capacity;
  else
    Known.Tokens_ += Rate * seconds(Now - Known.TokenTime_);
  Known.Filled_ = true;
  Known.Tokens_ = std::min(Known.Tokens_, Capacity);
  Known.TokenTime_ = Now;
  if (Known.Tokens_ >= 1) {
    Known.Tokens_ -= 1;
    return Milliseconds{0};
  }
  auto Wait = std::chrono::duration<double>((1 - Known.Tokens_) / Rate);
  return std::max(Milliseconds{1}, std::chrono::ceil<Milliseconds>(Wait));
}

double AccountLimiter::share(const std::string &Service,
                             const std::string &Account, double FleetLimit) {
  std::lock_guard Lock(Mutex_);
  return shareLocked({Service, Account}, FleetLimit, Settings_.Now_());
}

void AccountLimiter::setPeers(const std::vector<std::string> &Hosts) {
  std::lock_guard Lock(Mutex_);
  Peers_ = {Hosts.begin(), Hosts.end()};
  std::erase_if(Reports_, [this](const auto &Item) {
    return !Peers_.contains(Item.first);
  });
}

void AccountLimiter::onPeerUsage(
    const std::string &Host, const std::vector<protocol::AccountUsage> &Usage) {
  std::lock_guard Lock(Mutex_);
  if (!Peers_.contains(Host))
    return;
  PeerReport Report;
  Report.Time_ = Settings_.Now_();
  for (const protocol::AccountUsage &One : Usage)
    if (std::isfinite(One.RequestsPerSecond_) && One.RequestsPerSecond_ > 0)
      Report.Demand_[{One.Service_, One.Account_}] = One.RequestsPerSecond_;
  Reports_[Host] = std::move(Report);
}

std::vector<protocol::AccountUsage> AccountLimiter::usage(std::size_t Limit) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  std::vector<protocol::AccountUsage> Usage;
  std::erase_if(Buckets_, [&](const auto &Item) {
    return demandNow(Item.second, Now) < MinReportedDemand;
  });
  for (const auto &[Name, Known] : Buckets_)
    Usage.push_back({Name.first, Name.second, demandNow(Known, Now)});
  std::sort(Usage.begin(), Usage.end(),
            [](const auto &Left, const auto &Right) {
              return Left.RequestsPerSecond_ > Right.RequestsPerSecond_;
            });
  Usage.resize(std::min(Usage.size(), Limit));
  return Usage;
}

double AccountLimiter::demandNow(const Bucket &Known, SteadyTime Now) const {
  return Known.Demand_ * std::exp(-seconds(Now - Known.DemandTime_) /
                                  seconds(Settings_.DemandWindow_));
}

double AccountLimiter::shareLocked(const Key &Account, double FleetLimit,
                                   SteadyTime Now) {
  double Equal = FleetLimit / static_cast<double>(Peers_.size() + 1);
  double Floor = Equal * IdleShare;
  auto Own = Buckets_.find(Account);
  double OwnDemand = Floor;
  if (Own != Buckets_.end())
    OwnDemand = std::max(Floor, demandNow(Own->second, Now));
  double AllDemand = OwnDemand;
  double Available = FleetLimit;
  bool AnyReport = false;
  for (const std::string &Host : Peers_) {
    auto Report = Reports_.find(Host);
    if (Report == Reports_.end() ||
        Now - Report->second.Time_ > Settings_.ReportLifetime_) {
      Available -= Equal;
      continue;
    }
    AnyReport = true;
    auto Demand = Report->second.Demand_.find(Account);
    AllDemand += Demand == Report->second.Demand_.end()
                     ? Floor
                     : std::max(Floor, Demand->second);
  }
  if (!AnyReport)
    return Equal;
  return Available * OwnDemand / AllDemand;
}

} // namespace amaranth::coordination
