/// \file
/// Polling of the platform's host list.
#ifndef AMARANTH_COORDINATION_HOSTLISTPOLLER_H
#define AMARANTH_COORDINATION_HOSTLISTPOLLER_H

#include "Coordination/TargetTable.h"
#include "Transport/HttpClient.h"
#include "Transport/TimerService.h"
#include "Transport/WorkArena.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::coordination {

/// Reads the body of GET /v1/hosts: `{"hosts":[{"address","leaving"}]}`. A host
/// may give its state as `"state":"leaving"` instead. Empty if the list is
/// malformed.
std::optional<std::vector<HostListEntry>> readHostList(std::string_view Body);

/// Settings of HostListPoller.
struct HostListPollerSettings {
  std::string Address_; ///< "ip:port"; empty if there is no host list.
  Milliseconds Period_{1000};
  Milliseconds Timeout_{900};
};

/// Polls the platform's host list and passes it to TargetTable. While the list
/// cannot be read, the last one stays in force.
class HostListPoller final {
public:
  HostListPoller(transport::HttpClient &Client, transport::TimerService &Timers,
                 TargetTable &Table, const HostListPollerSettings &Settings);
  HostListPoller(const HostListPoller &) = delete;
  HostListPoller &operator=(const HostListPoller &) = delete;

  /// Starts a poll now, without waiting for the reply.
  void poll();

  /// Waits until no call is in progress.
  void waitIdle() { Arena_.waitIdle(); }

  /// Number of malformed lists received.
  std::uint64_t badLists() const { return BadLists_; }

private:
  void fetch();

  transport::HttpClient &Client_;
  TargetTable &Table_;
  HostListPollerSettings Settings_;
  std::atomic<bool> InProgress_ = false;
  std::atomic<std::uint64_t> BadLists_ = 0;
  transport::WorkArena Arena_;
  transport::TimerSubscription Timer_;
};

} // namespace amaranth::coordination

#endif
