/// \file
/// Counts the requests in flight and decides whether new ones are accepted.
#ifndef AMARANTH_COORDINATION_REQUESTGATE_H
#define AMARANTH_COORDINATION_REQUESTGATE_H

#include "Support/Time.h"

#include <condition_variable>
#include <mutex>
#include <optional>

namespace amaranth::coordination {

/// Phase of a daemon's life.
enum class ServingPhase {
  Starting, ///< No configuration yet; nothing is accepted.
  Serving,
  Draining, ///< Still accepts: callers hold cached entry-host answers.
  Closed,   ///< Accepts nothing; requests in flight end.
};

/// The name of \p Phase in the operator interface.
const char *toString(ServingPhase Phase);

class RequestGate;

/// Keeps a request counted while it exists.
class RequestPermit final {
public:
  RequestPermit(RequestPermit &&Other) noexcept;
  RequestPermit &operator=(RequestPermit &&) = delete;
  ~RequestPermit();

private:
  friend class RequestGate;
  explicit RequestPermit(RequestGate *Gate);

  RequestGate *Gate_;
};

/// Makes graceful shutdown possible: new requests are counted and refused under
/// one lock, so none slips in after the last one was seen to end. Thread-safe.
class RequestGate final {
public:
  /// A permit, or nothing if the phase accepts no requests.
  std::optional<RequestPermit> tryEnter();

  ServingPhase phase() const;
  /// Moves on to \p Phase; phases never go back.
  void advance(ServingPhase Phase);

  int inFlight() const;

  /// Waits until no request is in flight, up to \p Deadline; false on timeout.
  bool waitIdle(SteadyTime Deadline);

private:
  friend class RequestPermit;
  void leave();

  mutable std::mutex Mutex_;
  std::condition_variable Idle_;
  ServingPhase Phase_ = ServingPhase::Starting;
  int InFlight_ = 0;
};

} // namespace amaranth::coordination

#endif
