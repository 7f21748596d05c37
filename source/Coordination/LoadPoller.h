/// \file
/// Polling of the targets' load.
#ifndef AMARANTH_COORDINATION_LOADPOLLER_H
#define AMARANTH_COORDINATION_LOADPOLLER_H

#include "Coordination/TargetTable.h"
#include "Transport/HttpClient.h"
#include "Transport/TimerService.h"
#include "Transport/WorkArena.h"

#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::coordination {

/// Reads the body of GET /v1/load. Empty if a value is missing, negative, not
/// finite or beyond its plausible range.
std::optional<LoadReport> readLoadReport(std::string_view Body);

/// Settings of LoadPoller.
struct LoadPollerSettings {
  Milliseconds Period_{1000};
  Milliseconds Timeout_{900};
  int Concurrency_ = 16; ///< Calls in progress at once.
};

/// Polls the load of the targets that report it, and of leaving targets, and
/// passes the reports to TargetTable. A target is not polled again while its
/// last poll is in progress. Thread-safe.
class LoadPoller final {
public:
  /// Returns the targets to poll; called in each period.
  using TargetSource = std::function<std::vector<state::Target>()>;

  LoadPoller(transport::HttpClient &Client, transport::TimerService &Timers,
             TargetTable &Table, TargetSource Targets,
             const LoadPollerSettings &Settings);
  LoadPoller(const LoadPoller &) = delete;
  LoadPoller &operator=(const LoadPoller &) = delete;

  /// Starts a poll of all targets now, without waiting for the replies.
  void pollAll();

  /// Waits until no call is in progress.
  void waitIdle() { Arena_.waitIdle(); }

private:
  void poll(const std::string &Address);

  transport::HttpClient &Client_;
  TargetTable &Table_;
  TargetSource Targets_;
  LoadPollerSettings Settings_;
  std::mutex Mutex_;
  std::set<std::string> InProgress_;
  transport::WorkArena Arena_;
  transport::TimerSubscription Timer_;
};

} // namespace amaranth::coordination

#endif
