#include "Serving/HostRegistration.h"

#include "Support/Log.h"

#include <cstdint>
#include <random>

namespace amaranth::serving {

using protocol::StoreLease;
using protocol::StoreStatus;
using transport::Awaitable;

HostRegistration::HostRegistration(transport::Loop &Executor,
                                   protocol::PlatformStore &Store,
                                   std::string Key, std::string Value,
                                   HostRegistrationSettings Settings)
    : Loop_(Executor), Store_(Store), Key_(std::move(Key)),
      Value_(std::move(Value)), Settings_(Settings), Changed_(Executor) {}

void HostRegistration::start() {
  transport::startTask(Loop_, keepRegistered());
}

void HostRegistration::onStoreRestored() {
  Lease_ = 0;
  ++Restores_;
  std::uniform_int_distribution<std::int64_t> Spread(
      0, Settings_.RestoreSpread_.count());
  std::random_device Random;
  RegisterAt_ = SteadyClock::now() + Milliseconds(Spread(Random));
  Changed_.notify();
}

Awaitable<bool> HostRegistration::tryRegister() {
  std::uint64_t RestoresBefore = Restores_;
  StoreLease NewLease = co_await Store_.grantLease(Settings_.LeaseTime_);
  if (NewLease.Status_ != StoreStatus::Ok)
    co_return false;
  std::string Key = Key_;
  std::string Value = Value_;
  // If the answer is lost, the next attempt writes the same value again.
  StoreStatus PutStatus = co_await Store_.put(Key, Value, NewLease.Id_);
  if (PutStatus != StoreStatus::Ok || Restores_ != RestoresBefore)
    co_return false;
  Lease_ = NewLease.Id_;
  LogEvent(LogLevel::Info, "host_registered").field("lease", Lease_);
  co_return true;
}

Awaitable<void> HostRegistration::keepRegistered() {
  for (;;) {
    if (SteadyClock::now() < RegisterAt_) {
      co_await transport::pause(Loop_, Settings_.RetryPeriod_);
      continue;
    }
    if (Lease_ == 0) {
      bool IsRegistered = co_await tryRegister();
      if (!IsRegistered)
        co_await transport::pause(Loop_, Settings_.RetryPeriod_);
      continue;
    }
    SteadyTime RenewAt = SteadyClock::now() + Settings_.RenewPeriod_;
    co_await Changed_.wait(RenewAt);
    if (Lease_ == 0)
      continue;
    std::uint64_t RestoresBefore = Restores_;
    StoreStatus Renewed = co_await Store_.keepLease(Lease_);
    if (Renewed == StoreStatus::LeaseNotFound && Restores_ == RestoresBefore) {
      LogEvent(LogLevel::Warn, "host_lease_gone").field("lease", Lease_);
      Lease_ = 0;
    }
  }
}

} // namespace amaranth::serving
