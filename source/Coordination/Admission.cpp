#include "Coordination/Admission.h"

#include "Support/Log.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace amaranth::coordination {

namespace {

/// Weight of a new sample in the moving average of the seconds per unit of
/// cost.
constexpr double SampleWeight = 0.1;

/// Time constant of the moving average of the rate of completed work.
constexpr double RateWindowSeconds = 1;

/// Shortest retry delay given to a refused request.
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
         "Admission destroyed while requests run or wait");
}

AdmissionPolicy::Decision Admission::admit(const AdmissionRequest &Request) {
  PendingRequest Pending = enqueue(Request);
  if (Pending.Waiter_) {
    std::unique_lock Lock(Mutex_);
    Waiter &CurrentWaiter = *Pending.Waiter_;
    CurrentWaiter.Changed_.wait_until(
        Lock, Pending.LatestStart_, [&CurrentWaiter] {
          return CurrentWaiter.State_ != WaitState::Waiting;
        });
  }
  return takeDecision(std::move(Pending));
}

Admission::PendingRequest Admission::enqueue(const AdmissionRequest &Request) {
  SteadyTime Now = Settings_.Now_();
  PendingRequest Pending;
  Pending.LatestStart_ = Now;
  Milliseconds RateWait = Accounts_.acquire(Request.Service_, Request.Account_,
                                            Request.FleetLimit_);
  if (RateWait.count() > 0) {
    Pending.Refusal_ =
        refuse(Request, 429, "the account is over its request rate", RateWait);
    return Pending;
  }
  SizePrediction Size = Sizes_.predict(accountKey(Request), Request.InputBytes_,
                                       Request.MaxTokens_);
  Microseconds StageTime{0};
  if (Settings_.Estimate_)
    StageTime = std::chrono::duration_cast<Microseconds>(
        Settings_.EstimateMargin_ *
        Settings_.Estimate_(Request.Service_, Size.Tokens_, Size.Class_));
  std::lock_guard Lock(Mutex_);
  Microseconds QueueDelay = queueDelay(Request, Size.Class_, Now);
  SteadyTime Completion = Now + QueueDelay + StageTime;
  if (Now >= Request.Deadline_ || Completion > Request.Deadline_) {
    auto Excess =
        std::chrono::ceil<Milliseconds>(Completion - Request.Deadline_);
    Pending.Refusal_ = refuse(Request, 503, "predicted to miss its deadline",
                              std::max(MinRetryAfter, Excess));
    return Pending;
  }
  if (Waiters_.size() >= Settings_.MaxQueued_ ||
      QueueDelay > Settings_.MaxQueueDelay_) {
    auto DrainTime = std::chrono::ceil<Milliseconds>(QueueDelay);
    Pending.Refusal_ = refuse(Request, 503, "the queue is full",
                              std::max(MinRetryAfter, DrainTime));
    return Pending;
  }
  Pending.LatestStart_ = Request.Deadline_ - StageTime;
  Pending.Waiter_ = std::make_shared<Waiter>();
  Waiter &Added = *Pending.Waiter_;
  Added.Id_ = NextId_++;
  Added.Request_ = Request;
  // Built here because nothing may throw between the grant and its permit.
  Added.Granted_ = makeGrant(Request, Size);
  Waiters_[Added.Id_] = Pending.Waiter_;
  sizeClassState(Size.Class_)
      .Queue_.push(
          {Added.Id_, accountKey(Request), Request.Weight_, Size.Cost_, Now});
  startWaiting();
  return Pending;
}

bool Admission::isDecided(const PendingRequest &Pending) {
  std::lock_guard Lock(Mutex_);
  return !Pending.Waiter_ || Pending.Waiter_->State_ != WaitState::Waiting;
}

AdmissionPolicy::Decision Admission::takeDecision(PendingRequest Pending) {
  if (!Pending.Waiter_)
    return std::move(Pending.Refusal_);
  Waiter &Finished = *Pending.Waiter_;
  std::lock_guard Lock(Mutex_);
  Waiters_.erase(Finished.Id_);
  if (Finished.State_ == WaitState::Granted) {
    Finished.Granted_.Start_ = Settings_.Now_();
    Decision Admitted;
    Admitted.Permit_ = Permit(*this, std::move(Finished.Granted_));
    return Admitted;
  }
  sizeClassState(Finished.Granted_.Size_.Class_).Queue_.remove(Finished.Id_);
  // A request at the front of the queue may have kept others from starting.
  startWaiting();
  if (Finished.State_ == WaitState::Cancelled)
    return refuse(Finished.Request_, 499, "the caller is gone",
                  Milliseconds{0});
  // A later start would use targets for a result that misses the deadline.
  return refuse(Finished.Request_, 503, "queued too long to meet its deadline",
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
  for (auto &[Id, Candidate] : Waiters_) {
    if (Candidate->Request_.RequestId_ != RequestId ||
        Candidate->State_ != WaitState::Waiting)
      continue;
    Candidate->State_ = WaitState::Cancelled;
    Candidate->Changed_.notify_all();
  }
}

AdmissionLoad Admission::load() {
  std::lock_guard Lock(Mutex_);
  return {Short_.Running_, Long_.Running_, Short_.Queue_.size(),
          Long_.Queue_.size(), Limit_.value()};
}

void Admission::release(const Grant &EndedGrant,
                        std::optional<CompletedWork> Work) {
  SteadyTime Now = Settings_.Now_();
  if (Work)
    Sizes_.record(EndedGrant.Service_ + "/" + EndedGrant.Account_,
                  EndedGrant.MaxTokens_, Work->Tokens_);
  std::lock_guard Lock(Mutex_);
  SizeClassState &Released = sizeClassState(EndedGrant.Size_.Class_);
  if (Work) {
    // Without the lost time, a few silent targets would look like a queue at
    // all targets, and this host would refuse work that the others can take.
    auto Duration = std::max(
        Microseconds{1},
        std::chrono::duration_cast<Microseconds>(Now - EndedGrant.Start_) -
            Work->LostTime_);
    double Cost = std::max(1.0, EndedGrant.Size_.Cost_ -
                                    EndedGrant.Size_.Tokens_ + Work->Tokens_);
    double SecondsPerCost =
        std::chrono::duration<double>(Duration).count() / Cost;
    Released.SecondsPerCost_ +=
        (Released.SecondsPerCost_ == 0 ? 1 : SampleWeight) *
        (SecondsPerCost - Released.SecondsPerCost_);
    Released.CostPerSecond_ =
        Released.decayedRate(Now) + Cost / RateWindowSeconds;
    Released.RateUpdatedAt_ = Now;
    bool IsShort = EndedGrant.Size_.Class_ == SizeClass::Short;
    Limit_.record(EndedGrant.Service_ + (IsShort ? "/short" : "/long"), Cost,
                  Duration, Now);
  }
  assert(Released.Running_ > 0 && "permit released twice");
  --Released.Running_;
  Released.RunningCost_ = Released.Running_ == 0
                              ? 0
                              : Released.RunningCost_ - EndedGrant.Size_.Cost_;
  startWaiting();
}

double Admission::SizeClassState::decayedRate(SteadyTime Now) const {
  std::chrono::duration<double> Elapsed = Now - RateUpdatedAt_;
  return CostPerSecond_ * std::exp(-Elapsed.count() / RateWindowSeconds);
}

bool Admission::mayStartShort(SteadyTime Now) const {
  if (Short_.Running_ + Long_.Running_ + 1 > Limit_.value())
    return false;
  // Short work may use all idle slots until a long request has waited for
  // AgeLimit_; from then on long work gets its own slots back.
  auto Oldest = Long_.Queue_.oldest();
  bool LongIsAged = Oldest && Now - *Oldest >= Settings_.AgeLimit_;
  bool ExceedsShortSlots = Short_.Running_ + 1 > Limit_.value() - longSlots();
  return !ExceedsShortSlots || !LongIsAged || !mayStartLong();
}

bool Admission::mayStartLong() const {
  return Short_.Running_ + Long_.Running_ + 1 <= Limit_.value() &&
         Long_.Running_ + 1 <= longSlots();
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

void Admission::startNext(SizeClassState &Source, SteadyTime Now) {
  auto Item = Source.Queue_.pop(Now, Settings_.AgeLimit_);
  auto Found = Waiters_.find(Item->Id_);
  if (Found == Waiters_.end() || Found->second->State_ != WaitState::Waiting)
    return;
  Found->second->State_ = WaitState::Granted;
  ++Source.Running_;
  Source.RunningCost_ += Item->Cost_;
  Found->second->Changed_.notify_all();
}

Microseconds Admission::queueDelay(const AdmissionRequest &Request,
                                   SizeClass Class, SteadyTime Now) {
  SizeClassState &RequestClass = sizeClassState(Class);
  bool IsShort = Class == SizeClass::Short;
  bool MayStart = IsShort ? mayStartShort(Now) : mayStartLong();
  if (MayStart && RequestClass.Queue_.empty())
    return Microseconds{0};
  double Slots = longSlots();
  if (IsShort)
    Slots = Limit_.value() - std::min<double>(Long_.Running_, Slots);
  Slots = std::max(1.0, Slots);
  // The running requests are half done on average, and all slots share the work
  // ahead.
  double Running = std::max(1, RequestClass.Running_);
  double CostAhead = RequestClass.Queue_.costAhead(accountKey(Request)) +
                     RequestClass.RunningCost_ / Running / 2;
  if (RequestClass.SecondsPerCost_ == 0)
    return Microseconds{0};
  // Durations include the past wait at targets, so the rate of completed work
  // is the better measure once all slots are in use.
  double CostPerSecond = std::max(Slots / RequestClass.SecondsPerCost_,
                                  RequestClass.decayedRate(Now));
  std::chrono::duration<double> DelaySeconds(CostAhead / CostPerSecond);
  return std::chrono::duration_cast<Microseconds>(DelaySeconds);
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
