/// \file
/// A client of the system that follows the rules of docs/api.md.
#ifndef AMARANTH_CONTROL_BENCHCALLER_H
#define AMARANTH_CONTROL_BENCHCALLER_H

#include "Control/BenchOutcome.h"
#include "Control/BenchPlan.h"

#include <mutex>

namespace amaranth::control {

/// Settings of BenchCaller.
struct BenchCallerSettings {
  std::string BearerKey_;
  /// Daemons to request entry hosts from if no known entry host replies.
  std::vector<std::string> SeedHosts_;
  /// Time to wait beyond the deadline, to tell a late answer from a missing
  /// one.
  Milliseconds GracePeriod_{2000};
  /// Shortest wait before a retry; only the first change of host is immediate.
  Milliseconds RetryDelay_{100};
  /// Limit of the attempts of one request.
  int MaxAttempts_ = 8;
};

/// Result of one request.
struct BenchRecord {
  const PlannedRequest *Request_ = nullptr;
  BenchOutcome Outcome_ = BenchOutcome::Cut;
  Microseconds Lateness_{0}; ///< Of the send, against the planned time.
  Microseconds Latency_{0};  ///< From the planned send time to the end.
  int Attempts_ = 0;         ///< Made by the caller.
  int KeyCount_ = 0;         ///< Idempotency keys used.
  std::string OrderId_;
  BenchAnswer Answer_; ///< To the last attempt.
};

/// One client of an account. Requests the list of entry hosts and caches it for
/// as long as the reply allows, tries the next host when one fails, and repeats
/// an order under the same idempotency key until a reply requires a new key.
/// Thread-safe.
class BenchCaller final {
public:
  BenchCaller(const BenchCallerSettings &Settings,
              transport::HttpClient &Client);

  /// Sends \p Request and blocks until its outcome is known. Latency and
  /// deadline count from \p PlannedAt.
  BenchRecord send(const BenchRequestKind &Kind, const PlannedRequest &Request,
                   SteadyTime PlannedAt, const std::string &OrderId);

private:
  /// The reply to GET /v1/entry-hosts. The ticket starts the idempotency keys
  /// and names the home (the daemon incarnation that alone may run their
  /// requests).
  struct EntryHosts {
    std::vector<std::string> Addresses_;
    std::string Ticket_;
    SteadyTime ValidUntil_{};
  };

  /// State of one request over its attempts.
  struct RequestState {
    const BenchRequestKind &Kind_;
    const PlannedRequest &Request_;
    BenchRecord &Record_;
    SteadyTime Deadline_;
    SteadyTime GiveUpAt_; ///< Deadline_ plus the grace period.
    std::string Key_;
    std::size_t HostIndex_ = 0; ///< Modulo the number of entry hosts.
  };

  EntryHosts entryHosts(SteadyTime Deadline);
  bool refreshEntryHosts(SteadyTime Deadline);
  bool fetchEntryHosts(const std::string &Address, SteadyTime Deadline);
  void expireEntryHosts();

  void assignKey(RequestState &State);
  BenchAnswer sendAttempt(RequestState &State);
  transport::HttpCall makeCall(const RequestState &State,
                               const std::string &Address) const;
  static std::string makeBody(const RequestState &State);
  bool prepareRetry(RequestState &State, const BenchAnswer &Answer);
  bool waitToRetry(const RequestState &State, Milliseconds Delay) const;

  BenchCallerSettings Settings_;
  transport::HttpClient &Client_;
  std::mutex Mutex_;
  EntryHosts EntryHosts_;
  std::size_t NextSeedHost_ = 0;
};

} // namespace amaranth::control

#endif
