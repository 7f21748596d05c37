#include "Coordination/Admission.h"

#include "Support/Log.h"

#include <algorithm>
#include <cassert>

namespace amaranth::coordination {

namespace {

/// Weight of a new duration in the pace of a lane.
constexpr double SampleWeight = 0.1;

/// Shortest time after which a refused request is told to come back.
constexpr Milliseconds MinRetryAfter{100};

std::string accountKey(const AdmissionRequest &Request) {
  return Request.Service_ + "/" + Request.Account_;
}

} // namespace

Admission::Admission(AdmissionSettings Settings)
    : Settings_(std::move(Settings)), Sizes_(Settings_.Sizes_),
      Accounts_(Settings_.Accounts_), Short_(Settings_.MaxShort_),
      Long_(Settings_.MaxLong_) {}

Admission::~Admission() {
  assert(Short_.Running_ == 0 && Long_.Running_ == 0 && Waiters_.empty() &&
         "admission ends before its requests");
}

AdmissionPolicy::Decision Admission::admit(const AdmissionRequest &Request) {
  SteadyTime Now = SteadyClock::now();
  Milliseconds Wait =
      Accounts_.take(Request.Service_, Request.Account_, Request.FleetLimit_);
  if (Wait.count() > 0)
    return refuse(Request, 429, "the account is over its request rate", Wait);
  SizePrediction Size = Sizes_.predict(accountKey(Request), Request.InputBytes_,
                                       Request.MaxTokens_);
  Microseconds Stages{0};
  if (Settings_.Estimate_)
    Stages = std::chrono::duration_cast<Microseconds>(
        Settings_.EstimateMargin_ *
        Settings_.Estimate_(Request.Service_, Size.Tokens_));
  std::unique_lock Lock(Mutex_);
  Microseconds Queue = queueDelay(Request, Size.Class_);
  SteadyTime Completion = Now + Queue + Stages;
  if (Now >= Request.Deadline_ || Completion > Request.Deadline_) {
    auto Excess =
        std::chrono::ceil<Milliseconds>(Completion - Request.Deadline_);
    return refuse(Request, 503, "predicted to miss its deadline",
                  std::max(MinRetryAfter, Excess));
  }
  if (Waiters_.size() >= Settings_.MaxQueued_)
    return refuse(
        Request, 503, "the queue is full",
        std::max(MinRetryAfter, std::chrono::ceil<Milliseconds>(Queue)));
  return wait(Lock, Request, Size, Request.Deadline_ - Stages);
}

AdmissionPolicy::Decision Admission::wait(std::unique_lock<std::mutex> &Lock,
                                          const AdmissionRequest &Request,
                                          const SizePrediction &Size,
                                          SteadyTime LatestStart) {
  // Built first: nothing may throw between a grant and its permit.
  Grant Granted;
  Granted.Service_ = Request.Service_;
  Granted.Account_ = Request.Account_;
  Granted.MaxTokens_ = Request.MaxTokens_;
  Granted.Size_ = Size;
  if (Size.Class_ == SizeClass::Short)
    Granted.Priority_ = Settings_.ShortPriority_;
  std::uint64_t Id = NextId_++;
  auto Own = std::make_shared<Waiter>();
  Own->RequestId_ = Request.RequestId_;
  Waiters_[Id] = Own;
  lane(Size.Class_)
      .Queue_.push({Id, accountKey(Request), Request.Weight_, Size.Cost_,
                    SteadyClock::now()});
  startWaiting();
  // A request that starts later than this would use targets in vain.
  Own->Changed_.wait_until(Lock, LatestStart,
                           [&] { return Own->State_ != WaitState::Waiting; });
  Waiters_.erase(Id);
  if (Own->State_ != WaitState::Granted) {
    lane(Size.Class_).Queue_.remove(Id);
    // Its place in the order may have kept others from starting.
    startWaiting();
    if (Own->State_ == WaitState::Cancelled)
      return refuse(Request, 499, "the caller is gone", Milliseconds{0});
    return refuse(Request, 503, "queued too long to meet its deadline",
                  MinRetryAfter);
  }
  Granted.Start_ = SteadyClock::now();
  Decision Admitted;
  Admitted.Permit_ = Permit(*this, std::move(Granted));
  return Admitted;
}

void Admission::cancel(const std::string &RequestId) {
  std::lock_guard Lock(Mutex_);
  for (auto &[Id, One] : Waiters_) {
    if (One->RequestId_ != RequestId || One->State_ != WaitState::Waiting)
      continue;
    One->State_ = WaitState::Cancelled;
    One->Changed_.notify_all();
  }
}

AdmissionLoad Admission::load() {
  std::lock_guard Lock(Mutex_);
  return {Short_.Running_,     Long_.Running_,        Short_.Queue_.size(),
          Long_.Queue_.size(), Short_.Limit_.value(), Long_.Limit_.value()};
}

void Admission::release(const Grant &Ended,
                        std::optional<double> ActualTokens) {
  SteadyTime Now = SteadyClock::now();
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
    From.Limit_.record(Ended.Service_, Cost, Duration, From.Running_, Now);
  }
  assert(From.Running_ > 0 && "permit released twice");
  --From.Running_;
  From.RunningCost_ =
      From.Running_ == 0 ? 0 : From.RunningCost_ - Ended.Size_.Cost_;
  startWaiting();
}

bool Admission::mayStartShort() const {
  double Borrowed = std::max(0.0, Short_.Running_ + 1 - Short_.Limit_.value());
  return Borrowed == 0 || Long_.Running_ + Borrowed <= Long_.Limit_.value();
}

bool Admission::mayStartLong() const {
  double Borrowed = std::max(0.0, Short_.Running_ - Short_.Limit_.value());
  return Long_.Running_ + 1 + Borrowed <= Long_.Limit_.value();
}

bool Admission::longIsAged(SteadyTime Now) const {
  auto Oldest = Long_.Queue_.oldest();
  return Oldest && Now - *Oldest >= Settings_.AgeLimit_;
}

void Admission::startWaiting() {
  SteadyTime Now = SteadyClock::now();
  while (true) {
    bool ShortReady = !Short_.Queue_.empty() && mayStartShort();
    bool LongReady = !Long_.Queue_.empty() && mayStartLong();
    bool Borrows = Short_.Running_ + 1 > Short_.Limit_.value();
    // Long work that has waited enough gets its own places back first.
    if (ShortReady && Borrows && LongReady && longIsAged(Now))
      ShortReady = false;
    if (ShortReady)
      startNext(Short_, Now);
    else if (LongReady)
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
                                   SizeClass Class) {
  Lane &Own = lane(Class);
  bool Free = Class == SizeClass::Short ? mayStartShort() : mayStartLong();
  if (Free && Own.Queue_.empty())
    return Microseconds{0};
  // The running requests are half done on average; the work ahead is shared by
  // all places.
  double Places = std::max(1.0, Own.Limit_.value());
  double Ahead =
      Own.Queue_.costAhead(accountKey(Request)) + Own.RunningCost_ / Places / 2;
  std::chrono::duration<double> Delay(Ahead / Places * Own.Pace_);
  return std::chrono::duration_cast<Microseconds>(Delay);
}

AdmissionPolicy::Decision Admission::refuse(const AdmissionRequest &Request,
                                            int Status, std::string Detail,
                                            Milliseconds RetryAfter) const {
  LogEvent(LogLevel::Info, "request_refused")
      .field("request_id", Request.RequestId_)
      .field("account", Request.Account_)
      .field("reason", Detail);
  Decision Refused;
  Refused.Status_ = Status;
  Refused.Detail_ = std::move(Detail);
  Refused.RetryAfter_ = RetryAfter;
  return Refused;
}

} // namespace amaranth::coordination
