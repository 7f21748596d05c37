#include "Serving/SharedStoreRead.h"

#include "Support/Log.h"

#include <algorithm>
#include <utility>

namespace amaranth::serving {

using protocol::StoreItems;
using protocol::StoreStatus;
using transport::Awaitable;

namespace {

/// Part of the calls that the store allows.
constexpr double CallShare = 0.25;

} // namespace

Milliseconds sharedCallPeriod(std::size_t Hosts, double CallsPerSecond,
                              Milliseconds Least) {
  double Seconds = static_cast<double>(Hosts) / (CallsPerSecond * CallShare);
  Milliseconds Period(static_cast<std::int64_t>(Seconds * 1000));
  return std::max(Period, Least);
}

SharedStoreRead::SharedStoreRead(transport::Loop &Executor,
                                 protocol::PlatformStore &Store,
                                 SharedStoreReadListener &Listener,
                                 SharedStoreReadSettings Settings)
    : Loop_(Executor), Store_(Store), Listener_(Listener),
      Settings_(std::move(Settings)), IsWanted_(Executor) {}

void SharedStoreRead::start() { transport::startTask(Loop_, run()); }

Milliseconds SharedStoreRead::period() const {
  return sharedCallPeriod(Hosts_, Settings_.ReadsPerSecond_,
                          Settings_.MinPeriod_);
}

Awaitable<void> SharedStoreRead::run() {
  for (;;) {
    SteadyTime NoDeadline = SteadyTime::max();
    co_await IsWanted_.wait(NoDeadline);
    if (Waiting_.empty())
      continue;
    Milliseconds Pause = remaining(NextReadAt_);
    co_await transport::pause(Loop_, Pause);
    ++BegunReads_;
    NextReadAt_ = SteadyClock::now() + period();
    std::string Prefix = Settings_.Prefix_;
    StoreItems Found = co_await Store_.range(Prefix);
    HasSucceeded_ = Found.Status_ == StoreStatus::Ok;
    if (HasSucceeded_)
      Listener_.onItemsRead(Found.Items_);
    else
      LogEvent(LogLevel::Warn, "store_lookup_failed")
          .field("prefix", Settings_.Prefix_)
          .field("status", toString(Found.Status_))
          .field("lookups", Waiting_.size());
    EndedReads_ = BegunReads_;
    for (transport::Wakeup *Reader : Waiting_)
      Reader->notify();
  }
}

Awaitable<bool> SharedStoreRead::read(SteadyTime Deadline) {
  // A read on its way may have passed the store already.
  std::uint64_t BegunBefore = BegunReads_;
  transport::Wakeup ReadEnded(Loop_);
  while (EndedReads_ <= BegunBefore) {
    if (SteadyClock::now() >= Deadline)
      co_return false;
    Waiting_.insert(&ReadEnded);
    IsWanted_.notify();
    co_await ReadEnded.wait(Deadline);
    Waiting_.erase(&ReadEnded);
  }
  co_return HasSucceeded_;
}

} // namespace amaranth::serving
