#include "Coordination/RequestGate.h"

#include <cassert>
#include <utility>

namespace amaranth::coordination {

const char *toString(ServingPhase Phase) {
  switch (Phase) {
  case ServingPhase::Starting:
    return "starting";
  case ServingPhase::Serving:
    return "serving";
  case ServingPhase::Draining:
    return "draining";
  case ServingPhase::Closed:
    return "closed";
  }
  return "closed";
}

RequestPermit::RequestPermit(RequestGate *Gate) : Gate_(Gate) {}

RequestPermit::RequestPermit(RequestPermit &&Other) noexcept
    : Gate_(std::exchange(Other.Gate_, nullptr)) {}

RequestPermit::~RequestPermit() {
  if (Gate_)
    Gate_->leave();
}

std::optional<RequestPermit> RequestGate::tryEnter() {
  std::lock_guard Lock(Mutex_);
  if (Phase_ != ServingPhase::Serving && Phase_ != ServingPhase::Draining)
    return std::nullopt;
  ++InFlight_;
  return RequestPermit(this);
}

ServingPhase RequestGate::phase() const {
  std::lock_guard Lock(Mutex_);
  return Phase_;
}

void RequestGate::advance(ServingPhase Phase) {
  std::lock_guard Lock(Mutex_);
  if (Phase > Phase_)
    Phase_ = Phase;
}

int RequestGate::inFlight() const {
  std::lock_guard Lock(Mutex_);
  return InFlight_;
}

bool RequestGate::waitIdle(SteadyTime Deadline) {
  std::unique_lock Lock(Mutex_);
  return Idle_.wait_until(Lock, Deadline, [this] { return InFlight_ == 0; });
}

void RequestGate::leave() {
  std::lock_guard Lock(Mutex_);
  assert(InFlight_ > 0);
  --InFlight_;
  if (InFlight_ == 0)
    Idle_.notify_all();
}

} // namespace amaranth::coordination
