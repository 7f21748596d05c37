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
  if (Active && !Active_)
    Activated_.notify();
  Active_ = Active;
}

void StoreFollower::setConnected(bool Connected) {
  if (Connected == Connected_)
    return;
  Connected_ = Connected;
  LogEvent(LogLevel::Info, Connected ? "store_back" : "store_lost")
      .field("prefix", Settings_.Prefix_);
  Listener_.onStoreConnected(Settings_.Prefix_, Connected);
}

Awaitable<void> StoreFollower::follow() {
  Milliseconds Retry = Settings_.MinRetry_;
  for (;;) {
    std::string Prefix = Settings_.Prefix_;
    StoreItems All = co_await Store_.range(Prefix);
    if (All.Status_ != StoreStatus::Ok) {
      setConnected(false);
      co_await transport::pause(Loop_, Retry);
      Retry = std::min(Retry * 2, Settings_.MaxRetry_);
      continue;
    }
    Retry = Settings_.MinRetry_;
    setConnected(true);
    Listener_.onStoreRange(Settings_.Prefix_, All.Items_, All.Revision_);
    StoreStatus End = co_await watch(All.Revision_);
    if (End == StoreStatus::Ok) {
      // Others watch; what they pass on takes the place of the watch.
      SteadyTime Never = SteadyTime::max();
      co_await Activated_.wait(Never);
      continue;
    }
    if (End != StoreStatus::Compacted)
      setConnected(false);
    LogEvent(LogLevel::Info, "watch_ended")
        .field("prefix", Settings_.Prefix_)
        .field("status", toString(End));
  }
}

Awaitable<StoreStatus> StoreFollower::watch(std::uint64_t After) {
  while (Active_) {
    std::string Prefix = Settings_.Prefix_;
    StoreItems Changes = co_await Store_.watch(Prefix, After, Settings_.Wait_);
    if (Changes.Status_ != StoreStatus::Ok)
      co_return Changes.Status_;
    if (!Changes.Items_.empty())
      Listener_.onStoreChanges(Settings_.Prefix_, Changes.Items_);
    After = std::max(After, Changes.Revision_);
  }
  co_return StoreStatus::Ok;
}

} // namespace amaranth::serving
