#include "Coordination/Admission.h"

#include "Support/Log.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace amaranth::coordination {

namespace {

/// Weight of a new duration in the pace of a lane.
constexpr double SampleWeight = 0.1;

/// Time over which the rate of completed work is averaged.
constexpr double RateWindowSeconds = 1;

/// Shortest time after which a refused request is told to come back.
constexpr Milliseconds MinRetryAfter{100};

std::string accountKey(const AdmissionRequest &Request) {
  return Request.Service_ + "/" + Request.Account_;
}

} // namespace

Admission::Admission(AdmissionSettings Settings)
    : Settings_(std::move(Settings)), Sizes_(Settings_.Sizes_),
      Accounts_(Settings_.Accounts_),
      Limit_({.Max_ = Settings_.MaxShort_ + Settings_.MaxLong_}) {}

Admission::~Admission() {
  assert(Short_.Running_ == 0 && Long_.Running_ == 0 && Waiters_.empty() &&
         "admission ends before its requests");
}

AdmissionPolicy::Decision Admission::admit(const AdmissionRequest &Request) {
  Queued Pending = enqueue(Request);
  if (Pending.Waiter_) {
    std::unique_lock Lock(Mutex_);
    Waiter &Own = *Pending.Waiter_;
    Own.Changed_.wait_until(Lock, Pending.LatestStart_, [&Own] {
      return Own.State_ != WaitState::Waiting;
    });
  }
  return settle(std::move(Pending));
}

Admission::Queued Admission::enqueue(const AdmissionRequest &Request) {
  SteadyTime Now = Settings_.Now_();
  Queued Pending;
  Pending.LatestStart_ = Now;
  Milliseconds Wait =
      Accounts_.take(Request.Service_, Request.Account_, Request.FleetLimit_);
  if (Wait.count() > 0) {
    Pending.Refusal_ =
        refuse(Request, 429, "the account is over its request rate", Wait);
    return Pending;
  }
  SizePrediction Size = Sizes_.predict(accountKey(Request), Request.InputBytes_,
                                       Request.MaxTokens_);
  Microseconds Stages{0};
  if (Settings_.Estimate_)
    Stages = std::chrono::duration_cast<Microseconds>(
        Settings_.EstimateMargin_ *
        Settings_.Estimate_(Request.Service_, Size.Tokens_, Size.Class_));
  std::lock_guard Lock(Mutex_);
  Microseconds Queue = queueDelay(Request, Size.Class_, Now);
  SteadyTime Completion = Now + Queue + Stages;
  if (Now >= Request.Deadline_ || Completion > Request.Deadline_) {
    auto Excess =
        std::chrono::ceil<Milliseconds>(Completion - Request.Deadline_);
    Pending.Refusal_ = refuse(Request, 503, "predicted to miss its deadline",
                              std::max(MinRetryAfter, Excess));
    return Pending;
  }
  if (Waiters_.size() >= Settings_.MaxQueued_ ||
      Queue > Settings_.MaxQueueDelay_) {
    auto Drained = std::chrono::ceil<Milliseconds>(Queue);
    Pending.Refusal_ = refuse(Request, 503, "the queue is full",
                              std::max(MinRetryAfter, Drained));
    return Pending;
  }
  Pending.LatestStart_ = Request.Deadline_ - Stages;
  Pending.Waiter_ = std::make_shared<Waiter>();
  Waiter &Own = *Pending.Waiter_;
  Own.Id_ = NextId_++;
  Own.Request_ = Request;
  // Built now: nothing may throw between a grant and its permit.
  Own.Granted_ = makeGrant(Request, Size);
  Waiters_[Own.Id_] = Pending.Waiter_;
  lane(Size.Class_)
      .Queue_.push(
          {Own.Id_, accountKey(Request), Request.Weight_, Size.Cost_, Now});
  startWaiting();
  return Pending;
}

bool Admission::decided(const Queued &Pending) {
  std::lock_guard Lock(Mutex_);
  return !Pending.Waiter_ || Pending.Waiter_->State_ != WaitState::Waiting;
}

AdmissionPolicy::Decision Admission::settle(Queued Pending) {
  if (!Pending.Waiter_)
    return std::move(Pending.Refusal_);
  Waiter &Own = *Pending.Waiter_;
  std::lock_guard Lock(Mutex_);
  Waiters_.erase(Own.Id_);
  if (Own.State_ == WaitState::Granted) {
    Own.Granted_.Start_ = Settings_.Now_();
    Decision Admitted;
    Admitted.Permit_ = Permit(*this, std::move(Own.Granted_));
    return Admitted;
  }
  lane(Own.Granted_.Size_.Class_).Queue_.remove(Own.Id_);
  // Its place in the order may have kept others from starting.
  startWaiting();
  if (Own.State_ == WaitState::Cancelled)
    return refuse(Own.Request_, 499, "the caller is gone", Milliseconds{0});
  // A request that starts later than this would use targets in vain.
  return refuse(Own.Request_, 503, "queued too long to meet its deadline",
                MinRetryAfter);
}

Grant Admission::makeGrant(const AdmissionRequest &Request,
                           const SizePrediction &Size) const {
  Grant Granted;
  Granted.Service_ = Request.Service_;
  Granted.Account_ = Request.Account_;
  Granted.MaxTokens_ = Request.MaxTokens_;
  Granted.Size_ = Size;
  if (Size.Class_ == SizeClass::Short)
    Granted.Priority_ = Settings_.ShortPriority_;
  return Granted;
}

void Admission::cancel(const std::string &RequestId) {
  std::lock_guard Lock(Mutex_);
  for (auto &[Id, One] : Waiters_) {
    if (One->Request_.RequestId_ != RequestId ||
        One->State_ != WaitState::Waiting)
      continue;
    One->State_ = WaitState::Cancelled;
    One->Changed_.notify_all();
  }
}

AdmissionLoad Admission::load() {
  std::lock_guard Lock(Mutex_);
  return {Short_.Running_, Long_.Running_, Short_.Queue_.size(),
          Long_.Queue_.size(), Limit_.value()};
}

void Admission::release(const Grant &Ended,
                        std::optional<double> ActualTokens) {
  SteadyTime Now = Settings_.Now_();
  if (ActualTokens)
    Sizes_.record(Ended.Service_ + "/" + Ended.Account_, Ended.MaxTokens_,
                  *ActualTokens);
  std::lock_guard Lock(Mutex_);
  Lane &From = lane(Ended.Size_.Class_);
  if (ActualTokens) {
    auto Duration =
        std::chrono::duration_cast<Microseconds>(Now - Ended.Start_);
    double Cost =
        std::max(1.0, Ended.Size_.Cost_ - Ended.Size_.Tokens_ + *ActualTokens);
    double Pace = std::chrono::duration<double>(Duration).count() / Cost;
    From.Pace_ += (From.Pace_ == 0 ? 1 : SampleWeight) * (Pace - From.Pace_);
    From.Rate_ = From.rateNow(Now) + Cost / RateWindowSeconds;
    From.RateTime_ = Now;
    bool IsShort = Ended.Size_.Class_ == SizeClass::Short;
    Limit_.record(Ended.Service_ + (IsShort ? "/short" : "/long"), Cost,
                  Duration, Now);
  }
  assert(From.Running_ > 0 && "permit released twice");
  --From.Running_;
  From.RunningCost_ =
      From.Running_ == 0 ? 0 : From.RunningCost_ - Ended.Size_.Cost_;
  startWaiting();
}

double Admission::Lane::rateNow(SteadyTime Now) const {
  std::chrono::duration<double> Since = Now - RateTime_;
  return Rate_ * std::exp(-Since.count() / RateWindowSeconds);
}

bool Admission::mayStartShort(SteadyTime Now) const {
  if (Short_.Running_ + Long_.Running_ + 1 > Limit_.value())
    return false;
  // Short work uses all idle places, but once long work has waited enough it
  // gets its own places back.
  auto Oldest = Long_.Queue_.oldest();
  bool LongIsAged = Oldest && Now - *Oldest >= Settings_.AgeLimit_;
  bool Borrows = Short_.Running_ + 1 > Limit_.value() - longPlaces();
  return !Borrows || !LongIsAged || !mayStartLong();
}

bool Admission::mayStartLong() const {
  return Short_.Running_ + Long_.Running_ + 1 <= Limit_.value() &&
         Long_.Running_ + 1 <= longPlaces();
}

void Admission::startWaiting() {
  SteadyTime Now = Settings_.Now_();
  while (true) {
    if (!Short_.Queue_.empty() && mayStartShort(Now))
      startNext(Short_, Now);
    else if (!Long_.Queue_.empty() && mayStartLong())
      startNext(Long_, Now);
    else
      return;
  }
}

void Admission::startNext(Lane &From, SteadyTime Now) {
  auto Next = From.Queue_.pop(Now, Settings_.AgeLimit_);
  auto Found = Waiters_.find(Next->Id_);
  if (Found == Waiters_.end() || Found->second->State_ != WaitState::Waiting)
    return;
  Found->second->State_ = WaitState::Granted;
  ++From.Running_;
  From.RunningCost_ += Next->Cost_;
  Found->second->Changed_.notify_all();
}

Microseconds Admission::queueDelay(const AdmissionRequest &Request,
                                   SizeClass Class, SteadyTime Now) {
  Lane &Own = lane(Class);
  bool IsShort = Class == SizeClass::Short;
  bool Free = IsShort ? mayStartShort(Now) : mayStartLong();
  if (Free && Own.Queue_.empty())
    return Microseconds{0};
  double Places = longPlaces();
  if (IsShort)
    Places = Limit_.value() - std::min<double>(Long_.Running_, Places);
  Places = std::max(1.0, Places);
  // The running requests are half done on average, and the work ahead is shared
  // by all places.
  double Running = std::max(1, Own.Running_);
  double Ahead = Own.Queue_.costAhead(accountKey(Request)) +
                 Own.RunningCost_ / Running / 2;
  if (Own.Pace_ == 0)
    return Microseconds{0};
  // Durations tell about the past queue at targets, so the rate at which work
  // gets done is the better measure once all places are in use.
  double Rate = std::max(Places / Own.Pace_, Own.rateNow(Now));
  std::chrono::duration<double> Delay(Ahead / Rate);
  return std::chrono::duration_cast<Microseconds>(Delay);
}

AdmissionPolicy::Decision Admission::refuse(const AdmissionRequest &Request,
                                            int Status, std::string Detail,
                                            Milliseconds RetryAfter) const {
  LogEvent(LogLevel::Info, "request_refused")
      .field("request", Request.RequestId_)
      .field("account", Request.Account_)
      .field("reason", Detail);
  Decision Refused;
  Refused.Status_ = Status;
  Refused.Detail_ = std::move(Detail);
  Refused.RetryAfter_ = RetryAfter;
  return Refused;
}

} // namespace amaranth::coordination
