#include "Serving/StoreFollower.h"

#include "Support/Log.h"

#include <algorithm>

namespace amaranth::serving {

using protocol::StoreItems;
using protocol::StoreStatus;
using transport::Awaitable;

StoreFollower::StoreFollower(transport::Loop &Executor,
                             protocol::PlatformStore &Store,
                             StoreListener &Listener,
                             StoreFollowerSettings Settings)
    : Loop_(Executor), Store_(Store), Listener_(Listener),
      Settings_(std::move(Settings)), Activated_(Executor) {}

void StoreFollower::start() { transport::startTask(Loop_, follow()); }

void StoreFollower::setActive(bool Active) {
  if (Active && !Active_) {
    // Until its first call ends, so that its host stays elected meanwhile.
    Connected_ = true;
    Activated_.notify();
  }
  Active_ = Active;
  UpToDate_ = UpToDate_ && Active;
}

void StoreFollower::setConnected(bool Connected, StoreStatus Status) {
  UpToDate_ = UpToDate_ && Connected;
  if (Connected == Connected_)
    return;
  Connected_ = Connected;
  LogEvent(LogLevel::Info, Connected ? "store_back" : "store_lost")
      .field("prefix", Settings_.Prefix_)
      .field("status", toString(Status));
  Listener_.onStoreConnected(Settings_.Prefix_, Connected);
}

Awaitable<void> StoreFollower::follow() {
  Milliseconds RetryDelay = Settings_.MinRetryDelay_;
  for (;;) {
    std::string Prefix = Settings_.Prefix_;
    std::uint64_t EraBefore = Listener_.knownEra(Prefix);
    StoreItems Current = co_await Store_.range(Prefix);
    // A peer has passed on a new era during the call: the store may have
    // computed the answer before the restore and stated the era as it sent it.
    if (EraBefore != 0 && Listener_.knownEra(Prefix) != EraBefore) {
      co_await transport::pause(Loop_, Settings_.MinRetryDelay_);
      continue;
    }
    if (Current.Status_ == StoreStatus::Ok &&
        Listener_.isOutdated(Prefix, Current.Era_))
      Current.Status_ = StoreStatus::EraChanged;
    if (Current.Status_ != StoreStatus::Ok) {
      setConnected(false, Current.Status_);
      if (HasItems_ && !Active_) {
        co_await waitUntilActive();
        RetryDelay = Settings_.MinRetryDelay_;
        continue;
      }
      co_await transport::pause(Loop_, RetryDelay);
      RetryDelay = std::min(RetryDelay * 2, Settings_.MaxRetryDelay_);
      continue;
    }
    RetryDelay = Settings_.MinRetryDelay_;
    bool IsConfirmed = Current.Era_ == UnconfirmedEra_;
    UnconfirmedEra_ = Current.Era_;
    if (Listener_.isRestored(Prefix, Current.Era_) && !IsConfirmed) {
      co_await transport::pause(Loop_, Settings_.MinRetryDelay_);
      continue;
    }
    HasItems_ = true;
    setConnected(true, Current.Status_);
    LogEvent(LogLevel::Info, "store_read")
        .field("prefix", Settings_.Prefix_)
        .field("items", Current.Items_.size())
        .field("revision", Current.Revision_)
        .field("era", Current.Era_);
    Listener_.onStoreRange(Settings_.Prefix_, Current.Items_, Current.Revision_,
                           Current.Era_);
    UpToDate_ = Active_;
    StoreStatus WatchEnd = co_await watch(Current.Revision_, Current.Era_);
    if (WatchEnd == StoreStatus::Ok) {
      co_await waitUntilActive();
      continue;
    }
    if (WatchEnd != StoreStatus::Compacted &&
        WatchEnd != StoreStatus::EraChanged)
      setConnected(false, WatchEnd);
    LogEvent(LogLevel::Info, "watch_ended")
        .field("prefix", Settings_.Prefix_)
        .field("status", toString(WatchEnd));
    // Bounds the reads of a store that states the era in some answers only.
    if (WatchEnd == StoreStatus::EraChanged)
      co_await transport::pause(Loop_, Settings_.MinRetryDelay_);
  }
}

Awaitable<void> StoreFollower::waitUntilActive() {
  SteadyTime NoDeadline = SteadyTime::max();
  co_await Activated_.wait(NoDeadline);
}

Awaitable<StoreStatus> StoreFollower::watch(std::uint64_t Revision,
                                            std::uint64_t Era) {
  while (Active_) {
    std::string Prefix = Settings_.Prefix_;
    StoreItems Changes =
        co_await Store_.watch(Prefix, Revision, Settings_.WatchTime_);
    if (Changes.Status_ != StoreStatus::Ok)
      co_return Changes.Status_;
    // Also if the revision exists in the new era: the changes up to it differ.
    if (Changes.Era_ != 0 && Changes.Era_ != Era)
      co_return StoreStatus::EraChanged;
    UpToDate_ = Active_;
    if (!Changes.Items_.empty())
      Listener_.onStoreChanges(Settings_.Prefix_, Changes.Items_);
    Revision = std::max(Revision, Changes.Revision_);
  }
  co_return StoreStatus::Ok;
}

} // namespace amaranth::serving
