/// \file
/// Load reports that show the past.
#ifndef AMARANTH_STANDIN_LOADHISTORY_H
#define AMARANTH_STANDIN_LOADHISTORY_H

#include "Support/Time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <deque>
#include <mutex>

namespace amaranth::standin {

/// The load of a target at one time.
struct LoadSample {
  /// Output tokens that accepted requests still have to produce; pools and
  /// plain services count one token for each call.
  std::int64_t QueuedTokens_ = 0;
  int Running_ = 0;
  double TokensPerSecond_ = 0;
  bool Leaving_ = false;
};

/// Reports the load as it was some time ago. Thread-safe.
class LoadHistory final {
public:
  LoadHistory(Milliseconds Lag, const LoadSample &Initial);

  void record(const LoadSample &Sample);

  /// The body of GET /v1/load.
  nlohmann::json report();

private:
  struct Entry {
    SteadyTime Time_;
    LoadSample Sample_;
  };

  void prune(SteadyTime Horizon);

  Milliseconds Lag_;
  std::mutex Mutex_;
  std::deque<Entry> Entries_;
};

} // namespace amaranth::standin

#endif
