/// \file
/// Request rates of client accounts.
#ifndef AMARANTH_COORDINATION_ACCOUNTLIMITER_H
#define AMARANTH_COORDINATION_ACCOUNTLIMITER_H

#include "Protocol/PeerMessages.h"
#include "Support/Time.h"

#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace amaranth::coordination {

/// Settings of AccountLimiter.
struct AccountLimiterSettings {
  /// Time source; a simulation replaces it.
  std::function<SteadyTime()> Now_ = [] { return SteadyClock::now(); };
  /// A peer that has not reported for this time counts as silent.
  Milliseconds ReportLifetime_{3000};
  /// Time over which demand is averaged.
  Milliseconds DemandWindow_{1000};
  /// Requests that an account may send at once, in time at its rate.
  Milliseconds Burst_{1000};
};

/// Gives this host a share of each account's fleet limit. The share follows the
/// host's part of recent demand; for each silent host an equal share is set
/// aside, which is what a host that hears no peer takes for itself.
/// Thread-safe.
class AccountLimiter final {
public:
  explicit AccountLimiter(AccountLimiterSettings Settings = {});

  /// Counts a request; zero if it is within the share, otherwise the time until
  /// the next one will be. \p FleetLimit is in requests per second.
  Milliseconds take(const std::string &Service, const std::string &Account,
                    double FleetLimit);

  /// This host's share in requests per second.
  double share(const std::string &Service, const std::string &Account,
               double FleetLimit);

  /// The other hosts of the fleet that serve.
  void setPeers(const std::vector<std::string> &Hosts);

  /// Takes the demand that \p Host reported for all its accounts.
  void onPeerUsage(const std::string &Host,
                   const std::vector<protocol::AccountUsage> &Usage);

  /// Demand at this host, for peers: the \p Limit largest.
  std::vector<protocol::AccountUsage> usage(std::size_t Limit = 64);

private:
  using Key = std::pair<std::string, std::string>; ///< Service and account.

  struct Bucket {
    double Demand_ = 0; ///< Requests per second, moving average.
    SteadyTime DemandTime_;
    double Tokens_ = 0;
    SteadyTime TokenTime_;
    bool Filled_ = false;
  };

  struct PeerReport {
    SteadyTime Time_;
    std::map<Key, double> Demand_;
  };

  double demandNow(const Bucket &Known, SteadyTime Now) const;
  double shareLocked(const Key &Account, double FleetLimit, SteadyTime Now);

  AccountLimiterSettings Settings_;
  std::mutex Mutex_;
  std::map<Key, Bucket> Buckets_;
  std::set<std::string> Peers_;
  std::map<std::string, PeerReport> Reports_;
};

} // namespace amaranth::coordination

#endif
