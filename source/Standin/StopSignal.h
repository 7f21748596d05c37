/// \file
/// Waits that end early when the process stops.
#ifndef AMARANTH_STANDIN_STOPSIGNAL_H
#define AMARANTH_STANDIN_STOPSIGNAL_H

#include "Support/Time.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace amaranth::standin {

/// Lets handlers block without delaying the end of the process: stop() ends
/// their waits. Thread-safe.
class StopSignal final {
public:
  /// Ends all current waits, and makes later ones return at once.
  void stop();
  bool stopped() const;

  /// Makes all calls of waitFor() test their condition again.
  void wakeWaiters();

  /// Waits until \p Time; false if stop() was called before.
  bool sleepUntil(SteadyTime Time);

  /// Waits until \p Condition holds, testing it at least every 20 ms; false if
  /// stop() was called before.
  bool waitFor(const std::function<bool()> &Condition);

private:
  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Stopped_ = false;
};

} // namespace amaranth::standin

#endif
