#include "Serving/StoreFollower.h"

#include <catch2/catch.hpp>

#include <utility>

using namespace amaranth;
using namespace amaranth::protocol;
using namespace amaranth::serving;
using transport::Awaitable;

namespace {

/// A store that counts its calls and can be unavailable.
struct CountingStore final : PlatformStore {
  explicit CountingStore(transport::Loop &Executor) : Loop_(Executor) {}

  Awaitable<StoreItems> range(std::string) override {
    ++Ranges_;
    if (RangeTime_ > Milliseconds{0})
      co_await transport::pause(Loop_, std::exchange(RangeTime_, {}));
    StoreItems Items;
    Items.Status_ = Status_;
    Items.Era_ = std::exchange(NextRangeEra_, 0);
    if (Items.Era_ == 0)
      Items.Era_ = RangeEra_;
    co_return Items;
  }
  Awaitable<StoreItems> watch(std::string, std::uint64_t,
                              Milliseconds) override {
    ++Watches_;
    Milliseconds WatchTime{2};
    co_await transport::pause(Loop_, WatchTime);
    StoreItems Changes;
    Changes.Status_ = Status_;
    Changes.Era_ = WatchEra_;
    co_return Changes;
  }
  Awaitable<StoreLease> grantLease(Milliseconds) override {
    co_return StoreLease{};
  }
  Awaitable<StoreStatus> keepLease(std::uint64_t) override {
    co_return StoreStatus::Ok;
  }
  Awaitable<StoreStatus> endLease(std::uint64_t) override {
    co_return StoreStatus::Ok;
  }
  Awaitable<StoreStatus> put(std::string, std::string, std::uint64_t) override {
    co_return StoreStatus::Ok;
  }

  transport::Loop &Loop_;
  StoreStatus Status_ = StoreStatus::Ok;
  std::uint64_t RangeEra_ = 1;
  std::uint64_t NextRangeEra_ = 0; ///< Of the next range only; 0 for RangeEra_.
  std::uint64_t WatchEra_ = 1;
  Milliseconds RangeTime_{0}; ///< Of the next range only.
  int Ranges_ = 0;
  int Watches_ = 0;
};

struct FollowingHost final : StoreListener {
  explicit FollowingHost(StoreStatus Status = StoreStatus::Ok) {
    Store_.Status_ = Status;
    Follower_.start();
    run();
  }
  static StoreFollowerSettings testSettings() {
    StoreFollowerSettings Settings;
    Settings.Prefix_ = "op/";
    Settings.MinRetryDelay_ = Milliseconds{2};
    Settings.MaxRetryDelay_ = Milliseconds{2};
    return Settings;
  }
  bool isOutdated(const std::string &, std::uint64_t Era) const override {
    return Era != 0 && Era < Era_;
  }
  bool isRestored(const std::string &, std::uint64_t Era) const override {
    return Era_ != 0 && Era > Era_;
  }
  std::uint64_t knownEra(const std::string &) const override { return Era_; }
  void onStoreRange(const std::string &, const std::vector<StoreItem> &,
                    std::uint64_t, std::uint64_t Era) override {
    Era_ = Era;
    ++UsedRanges_;
  }
  void onStoreChanges(const std::string &,
                      const std::vector<StoreItem> &) override {}
  void onStoreConnected(const std::string &, bool) override {}
  void run() { Loop_.run_for(Milliseconds{30}); }

  std::uint64_t Era_ = 0;
  int UsedRanges_ = 0;
  transport::Loop Loop_;
  CountingStore Store_{Loop_};
  StoreFollower Follower_{Loop_, Store_, *this, testSettings()};
};

} // namespace

// Guards against calls by all hosts of a fleet at its start and while the store
// is away; those of the watchers are enough.
TEST_CASE("store follower: an inactive follower reads once") {
  FollowingHost Host;
  CHECK(Host.Store_.Ranges_ == 1);
  CHECK(Host.Store_.Watches_ == 0);

  Host.Follower_.setActive(true);
  Host.run();
  CHECK(Host.Store_.Ranges_ == 2);
  CHECK(Host.Store_.Watches_ > 1);

  Host.Store_.Status_ = StoreStatus::Unavailable;
  Host.run();
  CHECK_FALSE(Host.Follower_.connected());
  Host.Follower_.setActive(false);
  Host.run();
  int RangesBefore = Host.Store_.Ranges_;
  Host.run();
  CHECK(Host.Store_.Ranges_ == RangesBefore);
}

// Guards against a host that is left without records because the store did not
// answer its first call.
TEST_CASE("store follower: the first read is repeated until it is answered") {
  FollowingHost Host(StoreStatus::Unavailable);
  CHECK(Host.Store_.Ranges_ > 3);
}

// Guards against a flapping election: a host whose call has not ended yet would
// count as one that the store does not answer.
TEST_CASE("store follower: an activated follower counts as connected") {
  FollowingHost Host;
  Host.Store_.Status_ = StoreStatus::Unavailable;
  Host.Follower_.setActive(true);
  CHECK(Host.Follower_.connected());
  Host.run();
  CHECK_FALSE(Host.Follower_.connected());
}

// Guards against a watch that goes on after the store was restored from a copy
// whose revisions have caught up: it lacks the changes up to its revision.
TEST_CASE("store follower: an answer of another era makes it read again") {
  FollowingHost Host;
  Host.Follower_.setActive(true);
  Host.run();
  int RangesBefore = Host.Store_.Ranges_;
  Host.Store_.RangeEra_ = 2;
  Host.Store_.WatchEra_ = 2;
  Host.run();
  // The second one confirms the era.
  CHECK(Host.Store_.Ranges_ == RangesBefore + 2);
  CHECK(Host.Era_ == 2);
  CHECK(Host.Follower_.isUpToDate());
}

// Guards against records from before a restore that arrive late, as the answer
// to a call that was made then.
TEST_CASE("store follower: an answer of an earlier era is not used") {
  FollowingHost Host;
  Host.Era_ = 2;
  Host.Follower_.setActive(true);
  Host.run();
  CHECK(Host.Era_ == 2);
  CHECK_FALSE(Host.Follower_.isUpToDate());
  Host.Store_.RangeEra_ = 2;
  Host.Store_.WatchEra_ = 2;
  Host.run();
  CHECK(Host.Follower_.isUpToDate());
}

// Guards against reading without pause from a store that states its era in some
// answers only.
TEST_CASE("store follower: answers of different eras do not cause more reads") {
  FollowingHost Host;
  Host.Store_.RangeEra_ = 0;
  Host.Store_.WatchEra_ = 4;
  Host.Follower_.setActive(true);
  Host.run();
  CHECK(Host.Store_.Ranges_ <= 17); // one in 2 ms
  CHECK(Host.Store_.Watches_ > 1);
}

// Guards against one wrong answer that makes all later ones look outdated.
TEST_CASE("store follower: an era that only one answer states is not used") {
  FollowingHost Host;
  Host.Store_.NextRangeEra_ = 20;
  Host.Follower_.setActive(true);
  Host.run();
  CHECK(Host.Era_ == 1);
  CHECK(Host.Follower_.isUpToDate());
}

// Rule CONFIG. Guards against records from before a restore that count as those
// of the new era, so that later ones with lower revisions are ignored: the
// store had computed the answer before, and stated the era as it sent it, and a
// peer had passed on the new era meanwhile.
TEST_CASE("store follower: a read from before a restore is not used after it") {
  FollowingHost Host;
  int UsedBefore = Host.UsedRanges_;
  Host.Store_.RangeTime_ = Milliseconds{10};
  Host.Follower_.setActive(true);
  Host.Loop_.run_for(Milliseconds{3});
  REQUIRE(Host.UsedRanges_ == UsedBefore);
  Host.Era_ = 2; // from a peer
  Host.Store_.RangeEra_ = 2;
  Host.Store_.WatchEra_ = 2;
  int RangesBefore = Host.Store_.Ranges_;
  Host.run();
  CHECK(Host.UsedRanges_ == UsedBefore + 1);
  CHECK(Host.Store_.Ranges_ == RangesBefore + 1);
  CHECK(Host.Follower_.isUpToDate());
}
