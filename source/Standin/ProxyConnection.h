/// \file
/// One connection through the fault-injecting proxy.
#ifndef AMARANTH_STANDIN_PROXYCONNECTION_H
#define AMARANTH_STANDIN_PROXYCONNECTION_H

#include "Standin/Interruption.h"
#include "Standin/Socket.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace amaranth::standin {

/// The switches of a proxy.
struct ProxyFaults {
  std::atomic<bool> Refuse_ = false;      ///< New connections are refused.
  std::atomic<bool> Blackhole_ = false;   ///< New connections stay silent.
  std::atomic<bool> DropReplies_ = false; ///< Bytes to clients are discarded.
  std::atomic<std::int64_t> DelayMs_ = 0; ///< Added to each read's bytes.
  /// A connection is cut once this many of its bytes went in a direction; -1
  /// for never.
  std::atomic<std::int64_t> CutToTarget_ = -1;
  std::atomic<std::int64_t> CutToClient_ = -1;
};

/// Keeps the bytes of the last request on any connection. Thread-safe.
class RequestRecorder final {
public:
  void set(std::string Bytes);
  std::string get() const;

private:
  mutable std::mutex Mutex_;
  std::string Bytes_;
};

/// Forwards bytes between a client and the target; one task for each direction
/// runs a pump. Bytes sent by the client since the last byte of a reply count
/// as one request.
class ProxyConnection final {
public:
  /// An invalid \p Target makes a connection that stays silent.
  ProxyConnection(Socket Client, Socket Target, const ProxyFaults &Faults,
                  RequestRecorder &Recorder, Interruption &Stop);

  void pumpToTarget();
  void pumpToClient();

  /// Stops all delivery for good, without closing anything.
  void freeze() { Frozen_ = true; }
  bool frozen() const { return Frozen_; }

  /// Closes both sides; also ends a frozen connection.
  void cut();

private:
  /// One direction of the connection.
  struct Direction {
    const Socket &From_;
    const Socket &To_;
    const std::atomic<std::int64_t> &CutAfter_;
    bool ToTarget_;
    std::int64_t Forwarded_ = 0;
  };

  void pump(Direction Way);
  bool forward(Direction &Way, std::string_view Data);
  bool delay();
  void holdUntilCut();
  void record(std::string_view Data);

  Socket Client_;
  Socket Target_;
  const ProxyFaults &Faults_;
  RequestRecorder &Recorder_;
  Interruption &Stop_;
  std::atomic<bool> Frozen_ = false;
  std::atomic<bool> Cut_ = false;
  std::atomic<bool> Replied_ = false;
  std::string Request_; ///< Used by the pump to the target only.
};

} // namespace amaranth::standin

#endif
