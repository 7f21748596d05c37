/// \file
/// Request rate limits of client accounts.
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
  /// A peer whose last report is older than this counts as silent.
  Milliseconds ReportLifetime_{3000};
  /// Time constant of the moving average of demand.
  Milliseconds DemandWindow_{1000};
  /// Burst size: the requests that the account's rate allows in this time.
  Milliseconds Burst_{1000};
};

/// Enforces this host's share of each account's fleet-wide rate limit. The
/// share is proportional to the host's part of recent demand. An equal share is
/// reserved for each silent host, because a host that receives no reports uses
/// an equal share itself. Thread-safe.
class AccountLimiter final {
public:
  explicit AccountLimiter(AccountLimiterSettings Settings = {});

  /// Counts a request. Returns zero if it is within the share, otherwise the
  /// time after which a request will be. \p FleetLimit is in requests per
  /// second.
  Milliseconds acquire(const std::string &Service, const std::string &Account,
                       double FleetLimit);

  /// This host's share in requests per second.
  double share(const std::string &Service, const std::string &Account,
               double FleetLimit);

  /// Sets the other hosts of the fleet that serve requests.
  void setPeers(const std::vector<std::string> &Hosts);

  /// Replaces the demand known from \p Host by its report for all accounts.
  void onPeerUsage(const std::string &Host,
                   const std::vector<protocol::AccountUsage> &Usage);

  /// The \p Limit accounts with the largest demand at this host, for gossip.
  std::vector<protocol::AccountUsage> usage(std::size_t Limit = 64);

private:
  using Key = std::pair<std::string, std::string>; ///< Service and account.

  /// Token bucket of one account.
  struct AccountBucket {
    double Demand_ = 0; ///< Requests per second, moving average.
    SteadyTime DemandUpdatedAt_;
    double Tokens_ = 0;
    SteadyTime TokensUpdatedAt_;
    bool IsInitialized_ = false; ///< False until the first request.
  };

  /// Last usage report of a peer.
  struct PeerReport {
    SteadyTime ReceivedAt_;
    std::map<Key, double> Demand_;
  };

  double decayedDemand(const AccountBucket &Bucket, SteadyTime Now) const;
  double shareLocked(const Key &Account, double FleetLimit, SteadyTime Now);

  AccountLimiterSettings Settings_;
  std::mutex Mutex_;
  std::map<Key, AccountBucket> Buckets_;
  std::set<std::string> Peers_;
  std::map<std::string, PeerReport> Reports_;
};

} // namespace amaranth::coordination

#endif
