#include "Serving/HostRegistration.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace amaranth;
using namespace amaranth::protocol;
using namespace amaranth::serving;
using transport::Awaitable;

namespace {

/// A store that gives out lease ids from 1 and knows all of them.
struct LeaseStore final : PlatformStore {
  Awaitable<StoreItems> range(std::string) override { co_return StoreItems{}; }
  Awaitable<StoreItems> watch(std::string, std::uint64_t,
                              Milliseconds) override {
    co_return StoreItems{};
  }
  Awaitable<StoreLease> grantLease(Milliseconds TimeToLive) override {
    co_return StoreLease{StoreStatus::Ok, ++LastLease_, TimeToLive};
  }
  Awaitable<StoreStatus> keepLease(std::uint64_t Id) override {
    Kept_.push_back(Id);
    co_return StoreStatus::Ok;
  }
  Awaitable<StoreStatus> endLease(std::uint64_t) override {
    co_return StoreStatus::Ok;
  }
  Awaitable<StoreStatus> put(std::string, std::string,
                             std::uint64_t Lease) override {
    Writes_.push_back(Lease);
    co_return StoreStatus::Ok;
  }

  std::uint64_t LastLease_ = 0;
  std::vector<std::uint64_t> Kept_;
  std::vector<std::uint64_t> Writes_; ///< By their leases.
};

} // namespace

// Guards against a host that is missing from the store after it was restored
// from a copy, and that keeps a lease whose id belongs to another host now.
TEST_CASE("host registration: a host registers again after a restore") {
  transport::Loop Loop;
  LeaseStore Store;
  HostRegistrationSettings Settings;
  Settings.RenewPeriod_ = Milliseconds{3};
  Settings.RetryPeriod_ = Milliseconds{2};
  Settings.RestoreSpread_ = Milliseconds{10};
  HostRegistration Registration(Loop, Store, "key", "value", Settings);
  Registration.start();
  Loop.run_for(Milliseconds{20});
  CHECK(Store.Writes_ == std::vector<std::uint64_t>{1});

  Registration.onStoreRestored();
  Store.Kept_.clear();
  Loop.run_for(Milliseconds{60});
  CHECK(Store.Writes_ == std::vector<std::uint64_t>{1, 2});
  REQUIRE_FALSE(Store.Kept_.empty());
  CHECK(std::count(Store.Kept_.begin(), Store.Kept_.end(), 1U) == 0);
}
