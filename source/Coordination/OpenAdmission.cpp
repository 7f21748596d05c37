#include "Coordination/OpenAdmission.h"

#include <algorithm>

namespace amaranth::coordination {

OpenAdmission::OpenAdmission(int MaxInFlight) : MaxInFlight_(MaxInFlight) {}

AdmissionPolicy::Decision
OpenAdmission::admit(const AdmissionRequest &Request) {
  std::unique_lock Lock(Mutex_);
  std::uint64_t Id = NextId_++;
  Queue_.push_back(Id);
  Waiting_.insert(Request.RequestId_);
  bool MayStart = Changed_.wait_until(Lock, Request.Deadline_, [&] {
    bool Cancelled = !Waiting_.contains(Request.RequestId_);
    return Cancelled || (Queue_.front() == Id && InFlight_ < MaxInFlight_);
  });
  std::erase(Queue_, Id);
  bool Cancelled = Waiting_.erase(Request.RequestId_) == 0;
  Changed_.notify_all();
  if (Cancelled)
    return {{}, 499, "the caller is gone", {}};
  if (!MayStart)
    return {{}, 503, "still queued at the deadline", Seconds{1}};
  ++InFlight_;
  Grant Granted;
  Granted.Service_ = Request.Service_;
  Granted.Account_ = Request.Account_;
  Granted.MaxTokens_ = Request.MaxTokens_;
  Granted.Size_.Tokens_ = Request.MaxTokens_;
  Granted.Start_ = SteadyClock::now();
  return {Permit(*this, std::move(Granted)), 200, {}, {}};
}

void OpenAdmission::cancel(const std::string &RequestId) {
  std::lock_guard Lock(Mutex_);
  Waiting_.erase(RequestId);
  Changed_.notify_all();
}

void OpenAdmission::release(const Grant &, std::optional<CompletedWork>) {
  std::lock_guard Lock(Mutex_);
  --InFlight_;
  Changed_.notify_all();
}

} // namespace amaranth::coordination
