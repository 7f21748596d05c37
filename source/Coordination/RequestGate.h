/// \file
/// Admission and counting of requests during start and shutdown of a daemon.
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
  Draining, ///< Still accepts, as callers cache the list of entry hosts.
  Closed,   ///< Accepts nothing; requests in flight still complete.
};

/// The name of \p Phase in the operator interface.
const char *toString(ServingPhase Phase);

class RequestGate;

/// Counts a request as in flight for the lifetime of the permit.
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

/// Supports graceful shutdown. New requests are counted or refused under one
/// lock, so none is accepted after waitIdle() has seen the last one end.
/// Thread-safe.
class RequestGate final {
public:
  /// A permit, or nullopt if the current phase accepts no requests.
  std::optional<RequestPermit> tryEnter();

  ServingPhase phase() const;
  /// Enters \p Phase; has no effect if a later phase was entered before.
  void advance(ServingPhase Phase);

  int inFlight() const;

  /// Waits until no request is in flight; returns false at \p Deadline.
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
