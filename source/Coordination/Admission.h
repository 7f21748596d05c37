/// \file
/// Admission control by deadline, request size and client account.
#ifndef AMARANTH_COORDINATION_ADMISSION_H
#define AMARANTH_COORDINATION_ADMISSION_H

#include "Coordination/AccountLimiter.h"
#include "Coordination/AdmissionPolicy.h"
#include "Coordination/ConcurrencyLimit.h"
#include "Coordination/FairQueue.h"
#include "Coordination/TargetTable.h"

#include <array>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace amaranth::coordination {

/// Settings of Admission.
struct AdmissionSettings {
  /// Time source; a simulation replaces it.
  std::function<SteadyTime()> Now_ = [] { return SteadyClock::now(); };
  /// Concurrency limits while targets have spare capacity: short work may use
  /// the sum of both, long work only MaxLong_. When ConcurrencyLimit lowers the
  /// total, both shrink in proportion.
  double MaxShort_ = 100;
  double MaxLong_ = 150;
  std::size_t MaxQueued_ = 2048;
  /// Longest predicted wait in the queue. Without this bound a peak leaves a
  /// backlog as long as the deadlines, which delays all work after the peak.
  Milliseconds MaxQueueDelay_{400};
  /// A request that waits longer is taken first at every second dequeue.
  Milliseconds AgeLimit_{500};
  int ShortPriority_ = 10; ///< Engine priority; long work has priority 0.
  SizePredictorSettings Sizes_;
  AccountLimiterSettings Accounts_;
  /// Predicts the time of all stages of a request that starts now, from the
  /// load of their targets; zero if nothing is known.
  std::function<Microseconds(const std::string &Service, double Tokens,
                             SizeClass Class)>
      Estimate_;
  /// Factor on the estimate, because half of all requests take longer than the
  /// median.
  double EstimateMargin_ = 1.25;
};

/// Position in the engines' queues: short work goes first.
inline QueuePlace queuePlace(SizeClass Class) {
  return Class == SizeClass::Short ? QueuePlace::Front : QueuePlace::Back;
}

/// Numbers of running and queued requests.
struct AdmissionLoad {
  int ShortRunning_ = 0;
  int LongRunning_ = 0;
  std::size_t ShortQueued_ = 0;
  std::size_t LongQueued_ = 0;
  double Limit_ = 0; ///< Requests that may run at once.
};

/// Refuses requests that cannot meet their deadline or exceed their account's
/// rate share, before any stage runs, and queues the others in fair order.
/// Short work may use idle slots of long work. Long work never uses slots of
/// short work, because it would occupy them for a long time. Thread-safe.
class Admission final : public AdmissionPolicy {
public:
  explicit Admission(AdmissionSettings Settings);
  /// All permits must have been released and all queued requests decided.
  ~Admission() override;

  /// A request that was refused or is in the queue. takeDecision() must be
  /// called for every one that was not refused.
  class PendingRequest;

  Decision admit(const AdmissionRequest &Request) override;
  void cancel(const std::string &RequestId) override;

  /// The steps of admit(), for callers that do not block: call enqueue(), wait
  /// until isDecided() returns true or latestStart() has passed, then call
  /// takeDecision().
  PendingRequest enqueue(const AdmissionRequest &Request);
  bool isDecided(const PendingRequest &Pending);
  Decision takeDecision(PendingRequest Pending);

  /// Rate limits of accounts; gossip exchanges their usage with peers.
  AccountLimiter &accounts() { return Accounts_; }

  AdmissionLoad load();

private:
  enum class WaitState { Waiting, Granted, Cancelled };

  struct Waiter {
    std::uint64_t Id_ = 0;
    AdmissionRequest Request_;
    Grant Granted_;
    WaitState State_ = WaitState::Waiting;
    std::condition_variable Changed_;
  };

  /// Queue and running requests of one size class.
  struct SizeClassState {
    FairQueue Queue_;
    int Running_ = 0;
    double RunningCost_ = 0;
    /// Seconds that one running request takes for a unit of cost, moving
    /// average.
    double SecondsPerCost_ = 0;
    /// Cost completed per second, moving average.
    double CostPerSecond_ = 0;
    SteadyTime RateUpdatedAt_{};

    double decayedRate(SteadyTime Now) const;
  };

  void release(const Grant &EndedGrant,
               std::optional<CompletedWork> Work) override;

  SizeClassState &sizeClassState(SizeClass Class) {
    return Class == SizeClass::Short ? Short_ : Long_;
  }
  double longSlots() const {
    return Limit_.value() * Settings_.MaxLong_ /
           (Settings_.MaxShort_ + Settings_.MaxLong_);
  }
  bool mayStartShort(SteadyTime Now) const;
  bool mayStartLong() const;
  void startWaiting();
  void startNext(SizeClassState &Source, SteadyTime Now);
  Microseconds queueDelay(const AdmissionRequest &Request, SizeClass Class,
                          SteadyTime Now);
  Grant makeGrant(const AdmissionRequest &Request,
                  const SizePrediction &Size) const;
  Decision refuse(const AdmissionRequest &Request, int Status,
                  std::string Detail, Milliseconds RetryAfter) const;

  AdmissionSettings Settings_;
  SizePredictor Sizes_;
  AccountLimiter Accounts_;
  std::mutex Mutex_;
  ConcurrencyLimit Limit_;
  SizeClassState Short_;
  SizeClassState Long_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> Waiters_;
  std::uint64_t NextId_ = 1;
};

class Admission::PendingRequest final {
public:
  /// A request that starts later than this misses its deadline.
  SteadyTime latestStart() const { return LatestStart_; }

private:
  friend class Admission;

  std::shared_ptr<Waiter> Waiter_; ///< Null if refused.
  Decision Refusal_;
  SteadyTime LatestStart_;
};

} // namespace amaranth::coordination

#endif
