/// \file
/// Waits that end early when the process stops.
#ifndef AMARANTH_STANDIN_INTERRUPTION_H
#define AMARANTH_STANDIN_INTERRUPTION_H

#include "Support/Time.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace amaranth::standin {

/// Lets handlers wait while a stop request still ends the process at once.
/// Thread-safe.
class Interruption final {
public:
  /// Ends every wait, now and later.
  void stop();
  bool stopped() const;

  /// Makes the waits of waitFor() test their condition again.
  void notify();

  /// Waits until \p Time; false when stopped before.
  bool sleepUntil(SteadyTime Time);

  /// Waits until \p Condition holds, testing it at least every 20 ms; false
  /// when stopped before.
  bool waitFor(const std::function<bool()> &Condition);

private:
  mutable std::mutex Mutex_;
  std::condition_variable Changed_;
  bool Stopped_ = false;
};

} // namespace amaranth::standin

#endif
