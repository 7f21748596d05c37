/// \file
/// Admission by deadline, size and account.
#ifndef AMARANTH_COORDINATION_ADMISSION_H
#define AMARANTH_COORDINATION_ADMISSION_H

#include "Coordination/AccountLimiter.h"
#include "Coordination/AdmissionPolicy.h"
#include "Coordination/ConcurrencyLimit.h"
#include "Coordination/FairQueue.h"

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
  double MaxShort_ = 128; ///< Short requests running at once.
  double MaxLong_ = 128;  ///< Long requests running at once.
  std::size_t MaxQueued_ = 2048;
  /// A request that waits longer takes precedence at every second turn.
  Milliseconds AgeLimit_{500};
  int ShortPriority_ = 10; ///< At engines; long work has priority 0.
  SizePredictorSettings Sizes_;
  AccountLimiterSettings Accounts_;
  /// Predicted time of all stages of a request that starts now, with the load
  /// of their targets; zero if nothing is known.
  std::function<Microseconds(const std::string &Service, double Tokens)>
      Estimate_;
  /// Factor on the estimate: half of all requests take longer than the median.
  double EstimateMargin_ = 1.25;
};

/// Numbers of running and queued requests.
struct AdmissionLoad {
  int ShortRunning_ = 0;
  int LongRunning_ = 0;
  std::size_t ShortQueued_ = 0;
  std::size_t LongQueued_ = 0;
  double ShortLimit_ = 0;
  double LongLimit_ = 0;
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

  Decision admit(const AdmissionRequest &Request) override;
  void cancel(const std::string &RequestId) override;

  /// The rates of accounts; takes and gives usage for gossip.
  AccountLimiter &accounts() { return Accounts_; }

  AdmissionLoad load();

private:
  enum class WaitState { Waiting, Granted, Cancelled };

  struct Waiter {
    std::string RequestId_;
    WaitState State_ = WaitState::Waiting;
    std::condition_variable Changed_;
  };

  /// Short or long work.
  struct Lane {
    explicit Lane(double MaxRunning) : Limit_({.Max_ = MaxRunning}) {}

    FairQueue Queue_;
    ConcurrencyLimit Limit_;
    int Running_ = 0;
    double RunningCost_ = 0;
    /// Seconds in which one running request does one unit of cost.
    double Pace_ = 0;
  };

  void release(const Grant &Ended, std::optional<double> ActualTokens) override;

  Lane &lane(SizeClass Class) {
    return Class == SizeClass::Short ? Short_ : Long_;
  }
  bool mayStartShort() const;
  bool mayStartLong() const;
  bool longIsAged(SteadyTime Now) const;
  void startWaiting();
  void startNext(Lane &From, SteadyTime Now);
  Microseconds queueDelay(const AdmissionRequest &Request, SizeClass Class);
  Decision refuse(const AdmissionRequest &Request, int Status,
                  std::string Detail, Milliseconds RetryAfter) const;
  Decision wait(std::unique_lock<std::mutex> &Lock,
                const AdmissionRequest &Request, const SizePrediction &Size,
                SteadyTime LatestStart);

  AdmissionSettings Settings_;
  SizePredictor Sizes_;
  AccountLimiter Accounts_;
  std::mutex Mutex_;
  Lane Short_;
  Lane Long_;
  std::map<std::uint64_t, std::shared_ptr<Waiter>> Waiters_;
  std::uint64_t NextId_ = 1;
};

} // namespace amaranth::coordination

#endif
