/// \file
/// Load reports of a configurable age.
#ifndef AMARANTH_STANDIN_LOADHISTORY_H
#define AMARANTH_STANDIN_LOADHISTORY_H

#include "Support/Time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <mutex>

namespace amaranth::standin {

/// The load of a target at one point in time.
struct LoadSample {
  /// Output tokens that remain to be generated for accepted requests; pools
  /// and plain services count one token per call.
  std::int64_t QueuedTokens_ = 0;
  int Running_ = 0;
  double TokensPerSecond_ = 0;
  bool Leaving_ = false;
};

/// Reports the load with a delay of the configured lag. Thread-safe.
class LoadHistory final {
public:
  LoadHistory(Milliseconds Lag, const LoadSample &Initial);

  void record(const LoadSample &Sample);

  /// The body of GET /v1/load.
  nlohmann::json report();

private:
  struct Entry {
    SteadyTime RecordedAt_;
    LoadSample Sample_;
  };

  /// Removes the samples that were replaced before \p ReportedTime.
  void prune(SteadyTime ReportedTime);

  Milliseconds Lag_;
  std::mutex Mutex_;
  std::deque<Entry> Entries_;
};

} // namespace amaranth::standin

#endif
