/// \file
/// A caller of the system that behaves as docs/api.md says.
#ifndef AMARANTH_CONTROL_BENCHCALLER_H
#define AMARANTH_CONTROL_BENCHCALLER_H

#include "Control/BenchOutcome.h"
#include "Control/BenchPlan.h"

#include <mutex>

namespace amaranth::control {

/// Settings of BenchCaller.
struct BenchCallerSettings {
  std::string BearerKey_;
  /// Addresses of daemons to ask before the first answer is known.
  std::vector<std::string> Hosts_;
  /// Waits this much longer than the deadline, to tell a late answer from a
  /// missing one.
  Milliseconds Grace_{2000};
  /// Wait before an order of unknown outcome is sent again.
  Milliseconds RepeatDelay_{100};
  /// Attempts of one request.
  int MaxAttempts_ = 8;
};

/// What happened to one request.
struct BenchRecord {
  const PlannedRequest *Request_ = nullptr;
  BenchOutcome Outcome_ = BenchOutcome::Cut;
  Microseconds Lateness_{0}; ///< Of the generator, at the send.
  Microseconds Latency_{0};  ///< From the intended send time to the end.
  int Attempts_ = 0;         ///< Of the caller, over HTTP.
  int Keys_ = 0;             ///< Idempotency keys used.
  std::string OrderId_;
  BenchAnswer Answer_; ///< The last one.
};

/// One of the clients of an account: asks for entry hosts, keeps the answer as
/// long as it allows, goes to the next host when one fails and repeats an order
/// under the same key until it is told to take a new one. Thread-safe.
class BenchCaller final {
public:
  BenchCaller(const BenchCallerSettings &Settings,
              transport::HttpClient &Client);

  /// Sends \p Request and blocks until its end. \p Intended is the time from
  /// which latency and deadline count.
  BenchRecord send(const BenchRequestKind &Kind, const PlannedRequest &Request,
                   SteadyTime Intended, const std::string &OrderId);

private:
  /// An answer to "which entry host".
  struct Directory {
    std::vector<std::string> Addresses_;
    std::string Ticket_;
    SteadyTime ValidUntil_{};
  };

  /// State of one request over its attempts.
  struct Sending {
    const BenchRequestKind &Kind_;
    const PlannedRequest &Request_;
    BenchRecord &Record_;
    SteadyTime Deadline_;
    SteadyTime End_; ///< Deadline_ plus grace.
    std::string Key_;
    std::size_t NextHost_ = 0;
  };

  Directory directory(SteadyTime Deadline);
  bool refresh(SteadyTime Deadline);
  bool ask(const std::string &Address, SteadyTime Deadline);
  void invalidate();

  void takeKey(Sending &State);
  BenchAnswer attempt(Sending &State);
  transport::HttpCall toCall(const Sending &State,
                             const std::string &Address) const;
  static std::string bodyOf(const Sending &State);
  bool wantsRepeat(Sending &State, const BenchAnswer &Answer);
  bool waitToRepeat(const Sending &State, Milliseconds Delay) const;

  BenchCallerSettings Settings_;
  transport::HttpClient &Client_;
  std::mutex Mutex_;
  Directory Directory_;
  std::size_t NextSeed_ = 0;
};

} // namespace amaranth::control

#endif
