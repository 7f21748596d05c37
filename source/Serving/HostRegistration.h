/// \file
/// Registers this host in the platform's store.
#ifndef AMARANTH_SERVING_HOSTREGISTRATION_H
#define AMARANTH_SERVING_HOSTREGISTRATION_H

#include "Protocol/PlatformStore.h"

#include <string>

namespace amaranth::serving {

/// Settings of HostRegistration.
struct HostRegistrationSettings {
  /// A crashed host leaves the list of hosts after this time. Peers detect the
  /// crash sooner, by their own pings.
  Milliseconds LeaseTime_{20000};
  Milliseconds RenewPeriod_{5000};
  Milliseconds RetryPeriod_{500};
  /// After a restore of the store, hosts register again within this time; at
  /// once, they would exceed its limit for writes.
  Milliseconds RestoreSpread_{5000};
};

/// Keeps this host's key in the store under a lease, so that other hosts can
/// find it.
class HostRegistration final {
public:
  HostRegistration(transport::Loop &Executor, protocol::PlatformStore &Store,
                   std::string Key, std::string Value,
                   HostRegistrationSettings Settings = {});

  void start();
  /// The store was restored from an older copy: the lease may be unknown, or
  /// its id may be given out to another host.
  void onStoreRestored();

private:
  transport::Awaitable<void> keepRegistered();
  transport::Awaitable<bool> tryRegister();

  transport::Loop &Loop_;
  protocol::PlatformStore &Store_;
  std::string Key_;
  std::string Value_;
  HostRegistrationSettings Settings_;
  std::uint64_t Lease_ = 0;
  std::uint64_t Restores_ = 0; ///< Number of restores so far.
  SteadyTime RegisterAt_{};    ///< Not before.
  transport::Wakeup Changed_;
};

} // namespace amaranth::serving

#endif
