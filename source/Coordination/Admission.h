/// \file
/// Admission by deadline, size and account.
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
  /// Requests running at once, while targets have room: short work may use all
  /// places, long work its own. With less room both shrink in proportion.
  double MaxShort_ = 100;
  double MaxLong_ = 150;
  std::size_t MaxQueued_ = 2048;
  /// Longest predicted wait in the queue. Without it a peak leaves a backlog as
  /// long as the deadlines, which delays all work after the peak.
  Milliseconds MaxQueueDelay_{400};
  /// A request that waits longer takes precedence at every second turn.
  Milliseconds AgeLimit_{500};
  int ShortPriority_ = 10; ///< At engines; long work has priority 0.
  SizePredictorSettings Sizes_;
  AccountLimiterSettings Accounts_;
  /// Predicted time of all stages of a request that starts now, with the load
  /// of their targets; zero if nothing is known.
  std::function<Microseconds(const std::string &Service, double Tokens,
                             SizeClass Class)>
      Estimate_;
  /// Factor on the estimate: half of all requests take longer than the median.
  double EstimateMargin_ = 1.25;
};

/// Short work has priority at engines.
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
/// share, before any stage runs, and queues the others in fair order. Short
/// work may use idle places of long work; long work never uses places of short
/// work, since it would hold them for long. Thread-safe.
class Admission final : public AdmissionPolicy {
public:
  explicit Admission(AdmissionSettings Settings);
  /// All requests must have ended.
  ~Admission() override;

  /// A request that was refused or stands in the queue. Every one that is not
  /// refused must be settled.
  class Queued;

  Decision admit(const AdmissionRequest &Request) override;
  void cancel(const std::string &RequestId) override;

  /// The parts of admit(), for callers that do not block: enqueue, wait until
  /// decided() or latestStart(), settle.
  Queued enqueue(const AdmissionRequest &Request);
  bool decided(const Queued &Pending);
  Decision settle(Queued Pending);

  /// The rates of accounts; takes and gives usage for gossip.
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

  /// Short or long work.
  struct Lane {
    FairQueue Queue_;
    int Running_ = 0;
    double RunningCost_ = 0;
    /// Seconds in which one running request does one unit of cost.
    double Pace_ = 0;
    /// Cost done per second, moving average.
    double Rate_ = 0;
    SteadyTime RateTime_{};

    double rateNow(SteadyTime Now) const;
  };

  void release(const Grant &Ended, std::optional<double> ActualTokens) override;

  Lane &lane(SizeClass Class) {
    return Class == SizeClass::Short ? Short_ : Long_;
  }
  double longPlaces() const {
    return Limit_.value() * Settings_.MaxLong_ /
           (Settings_.MaxShort_ + Settings_.MaxLong_);
  }
  bool mayStartShort(SteadyTime Now) const;
  bool mayStartLong() const;
  void startWaiting();
  void startNext(Lane &From, SteadyTime Now);
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
  Lane Short_;
  Lane Long_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> Waiters_;
  std::uint64_t NextId_ = 1;
};

class Admission::Queued final {
public:
  /// After this time the request could not be answered in time any more.
  SteadyTime latestStart() const { return LatestStart_; }

private:
  friend class Admission;

  std::shared_ptr<Waiter> Waiter_; ///< Null if refused.
  Decision Refusal_;
  SteadyTime LatestStart_;
};

} // namespace amaranth::coordination

#endif
