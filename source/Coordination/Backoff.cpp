#include "Coordination/Backoff.h"

#include <algorithm>

namespace amaranth::coordination {

namespace {

/// Keeps the doubled delay within the range of its type.
constexpr int MaxDoublings = 16;

} // namespace

Backoff::Backoff(Milliseconds Base, Milliseconds Limit, std::uint64_t Seed)
    : Base_(Base), Limit_(Limit), Random_(Seed) {}

Milliseconds Backoff::next(int Retry) {
  int Doublings = std::min(Retry, MaxDoublings);
  auto Longest = std::min(Limit_, Base_ * (1 << Doublings));
  std::lock_guard Lock(Mutex_);
  std::uniform_int_distribution<Milliseconds::rep> Jitter(0, Longest.count());
  return Milliseconds{Jitter(Random_)};
}

} // namespace amaranth::coordination
