/// \file
/// Reads of the platform's store that several tasks share.
#ifndef AMARANTH_SERVING_SHAREDSTOREREAD_H
#define AMARANTH_SERVING_SHAREDSTOREREAD_H

#include "Protocol/PlatformStore.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace amaranth::serving {

/// Settings of SharedStoreRead.
struct SharedStoreReadSettings {
  std::string Prefix_;
  Milliseconds MinPeriod_{250}; ///< Between two reads, at least.
  /// Calls a second that the store allows all hosts together, of which these
  /// reads use a quarter.
  double ReadsPerSecond_ = 2000;
};

/// Receives what shared reads find.
class SharedStoreReadListener {
public:
  virtual ~SharedStoreReadListener() = default;
  /// All items of the prefix. Called before those who wait for the read go on.
  virtual void onItemsRead(const std::vector<protocol::StoreItem> &Items) = 0;
};

/// Reads a prefix of the store when somebody asks for it. All who wait at the
/// same time share one read.
class SharedStoreRead final {
public:
  SharedStoreRead(transport::Loop &Executor, protocol::PlatformStore &Store,
                  SharedStoreReadListener &Listener,
                  SharedStoreReadSettings Settings);

  void start();
  /// Number of hosts that share the store.
  void setHosts(std::size_t Hosts) { Hosts_ = Hosts; }
  Milliseconds period() const;
  /// Waits for a read that begins after this call: it finds all that was
  /// written before. False if it fails or does not end by \p Deadline.
  transport::Awaitable<bool> read(SteadyTime Deadline);

private:
  transport::Awaitable<void> run();

  transport::Loop &Loop_;
  protocol::PlatformStore &Store_;
  SharedStoreReadListener &Listener_;
  SharedStoreReadSettings Settings_;
  std::size_t Hosts_ = 1;
  std::uint64_t BegunReads_ = 0;
  std::uint64_t EndedReads_ = 0;
  bool HasSucceeded_ = false; ///< Of the last read that has ended.
  SteadyTime NextReadAt_{};
  transport::Wakeup IsWanted_;
  std::set<transport::Wakeup *> Waiting_;
};

/// Period at which each of \p Hosts may make a kind of call, if all of them
/// together are to use a quarter of \p CallsPerSecond; \p Least or longer.
Milliseconds sharedCallPeriod(std::size_t Hosts, double CallsPerSecond,
                              Milliseconds Least);

} // namespace amaranth::serving

#endif
