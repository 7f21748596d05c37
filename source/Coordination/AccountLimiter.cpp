#include "Coordination/AccountLimiter.h"

#include <algorithm>
#include <cmath>

namespace amaranth::coordination {

namespace {

/// Minimum demand counted for a host, as a fraction of the equal share, so that
/// a host without recent demand can serve the first requests of a new burst.
constexpr double MinDemandFraction = 0.1;

/// Minimum burst size of an account, in requests.
constexpr double MinBurst = 5;

/// Demand below which an account is not reported, in requests per second.
constexpr double MinReportedDemand = 0.01;

double seconds(SteadyClock::duration Time) {
  return std::chrono::duration<double>(Time).count();
}

} // namespace

AccountLimiter::AccountLimiter(AccountLimiterSettings Settings)
    : Settings_(std::move(Settings)) {}

Milliseconds AccountLimiter::acquire(const std::string &Service,
                                     const std::string &Account,
                                     double FleetLimit) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  Key BucketKey(Service, Account);
  AccountBucket &Bucket = Buckets_[BucketKey];
  Bucket.Demand_ =
      decayedDemand(Bucket, Now) + 1 / seconds(Settings_.DemandWindow_);
  Bucket.DemandUpdatedAt_ = Now;
  double Rate = std::max(shareLocked(BucketKey, FleetLimit, Now), 1e-3);
  double Capacity = std::max(MinBurst, Rate * seconds(Settings_.Burst_));
  if (!Bucket.IsInitialized_)
    Bucket.Tokens_ = Capacity;
  else
    Bucket.Tokens_ += Rate * seconds(Now - Bucket.TokensUpdatedAt_);
  Bucket.IsInitialized_ = true;
  Bucket.Tokens_ = std::min(Bucket.Tokens_, Capacity);
  Bucket.TokensUpdatedAt_ = Now;
  if (Bucket.Tokens_ >= 1) {
    Bucket.Tokens_ -= 1;
    return Milliseconds{0};
  }
  auto Wait = std::chrono::duration<double>((1 - Bucket.Tokens_) / Rate);
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
  Report.ReceivedAt_ = Settings_.Now_();
  for (const protocol::AccountUsage &Entry : Usage)
    if (std::isfinite(Entry.RequestsPerSecond_) && Entry.RequestsPerSecond_ > 0)
      Report.Demand_[{Entry.Service_, Entry.Account_}] =
          Entry.RequestsPerSecond_;
  Reports_[Host] = std::move(Report);
}

std::vector<protocol::AccountUsage> AccountLimiter::usage(std::size_t Limit) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = Settings_.Now_();
  std::vector<protocol::AccountUsage> Usage;
  std::erase_if(Buckets_, [&](const auto &Item) {
    return decayedDemand(Item.second, Now) < MinReportedDemand;
  });
  for (const auto &[BucketKey, Bucket] : Buckets_)
    Usage.push_back(
        {BucketKey.first, BucketKey.second, decayedDemand(Bucket, Now)});
  std::sort(Usage.begin(), Usage.end(),
            [](const auto &Left, const auto &Right) {
              return Left.RequestsPerSecond_ > Right.RequestsPerSecond_;
            });
  Usage.resize(std::min(Usage.size(), Limit));
  return Usage;
}

double AccountLimiter::decayedDemand(const AccountBucket &Bucket,
                                     SteadyTime Now) const {
  return Bucket.Demand_ * std::exp(-seconds(Now - Bucket.DemandUpdatedAt_) /
                                   seconds(Settings_.DemandWindow_));
}

double AccountLimiter::shareLocked(const Key &Account, double FleetLimit,
                                   SteadyTime Now) {
  double EqualShare = FleetLimit / static_cast<double>(Peers_.size() + 1);
  double MinDemand = EqualShare * MinDemandFraction;
  auto OwnBucket = Buckets_.find(Account);
  double OwnDemand = MinDemand;
  if (OwnBucket != Buckets_.end())
    OwnDemand = std::max(MinDemand, decayedDemand(OwnBucket->second, Now));
  double AllDemand = OwnDemand;
  double Available = FleetLimit;
  bool AnyReport = false;
  for (const std::string &Host : Peers_) {
    auto Report = Reports_.find(Host);
    if (Report == Reports_.end() ||
        Now - Report->second.ReceivedAt_ > Settings_.ReportLifetime_) {
      Available -= EqualShare;
      continue;
    }
    AnyReport = true;
    auto Demand = Report->second.Demand_.find(Account);
    AllDemand += Demand == Report->second.Demand_.end()
                     ? MinDemand
                     : std::max(MinDemand, Demand->second);
  }
  if (!AnyReport)
    return EqualShare;
  return Available * OwnDemand / AllDemand;
}

} // namespace amaranth::coordination
