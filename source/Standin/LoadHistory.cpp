#include "Standin/LoadHistory.h"

namespace amaranth::standin {

namespace {

/// Samples at shorter intervals are merged, which bounds the size of the
/// history.
constexpr Milliseconds Resolution{2};

} // namespace

LoadHistory::LoadHistory(Milliseconds Lag, const LoadSample &Initial)
    : Lag_(Lag) {
  Entries_.push_back({SteadyClock::now(), Initial});
}

void LoadHistory::record(const LoadSample &Sample) {
  std::lock_guard Lock(Mutex_);
  SteadyTime Now = SteadyClock::now();
  std::size_t Size = Entries_.size();
  if (Size > 1 && Now - Entries_[Size - 2].RecordedAt_ < Resolution)
    Entries_.pop_back();
  Entries_.push_back({Now, Sample});
  prune(Now - Lag_);
}

nlohmann::json LoadHistory::report() {
  std::lock_guard Lock(Mutex_);
  prune(SteadyClock::now() - Lag_);
  const LoadSample &Sample = Entries_.front().Sample_;
  return {{"queued_tokens", Sample.QueuedTokens_},
          {"running", Sample.Running_},
          {"tokens_per_second", Sample.TokensPerSecond_},
          {"leaving", Sample.Leaving_},
          {"age_ms", Lag_.count()}};
}

void LoadHistory::prune(SteadyTime ReportedTime) {
  while (Entries_.size() > 1 && Entries_[1].RecordedAt_ <= ReportedTime)
    Entries_.pop_front();
}

} // namespace amaranth::standin
