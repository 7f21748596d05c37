#include "Serving/HostRegistration.h"

#include "Support/Log.h"

namespace amaranth::serving {

using protocol::StoreLease;
using protocol::StoreStatus;
using transport::Awaitable;

HostRegistration::HostRegistration(transport::Loop &Executor,
                                   protocol::PlatformStore &Store,
                                   std::string Key, std::string Value,
                                   HostRegistrationSettings Settings)
    : Loop_(Executor), Store_(Store), Key_(std::move(Key)),
      Value_(std::move(Value)), Settings_(Settings) {}

void HostRegistration::start() {
  transport::startTask(Loop_, keepRegistered());
}

Awaitable<bool> HostRegistration::tryRegister() {
  StoreLease NewLease = co_await Store_.grantLease(Settings_.LeaseTime_);
  if (NewLease.Status_ != StoreStatus::Ok)
    co_return false;
  std::string Key = Key_;
  std::string Value = Value_;
  // If the answer is lost, the next attempt writes the same value again.
  StoreStatus PutStatus = co_await Store_.put(Key, Value, NewLease.Id_);
  if (PutStatus != StoreStatus::Ok)
    co_return false;
  Lease_ = NewLease.Id_;
  LogEvent(LogLevel::Info, "host_registered").field("lease", Lease_);
  co_return true;
}

Awaitable<void> HostRegistration::keepRegistered() {
  for (;;) {
    if (Lease_ == 0) {
      bool IsRegistered = co_await tryRegister();
      if (!IsRegistered)
        co_await transport::pause(Loop_, Settings_.RetryPeriod_);
      continue;
    }
    co_await transport::pause(Loop_, Settings_.RenewPeriod_);
    StoreStatus Renewed = co_await Store_.keepLease(Lease_);
    if (Renewed == StoreStatus::LeaseNotFound) {
      LogEvent(LogLevel::Warn, "host_lease_gone").field("lease", Lease_);
      Lease_ = 0;
    }
  }
}

} // namespace amaranth::serving
