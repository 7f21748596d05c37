/// \file
/// One connection through the fault-injecting proxy.
#ifndef AMARANTH_STANDIN_PROXYCONNECTION_H
#define AMARANTH_STANDIN_PROXYCONNECTION_H

#include "Standin/Socket.h"
#include "Standin/StopSignal.h"

#include <atomic>
#include <cstdint>
#include <mutex>
#include <string>

namespace amaranth::standin {

/// The fault switches of a proxy.
struct ProxyFaults {
  std::atomic<bool> Refuse_ = false;    ///< New connections are refused.
  std::atomic<bool> Blackhole_ = false; ///< New connections are not forwarded.
  std::atomic<bool> DropReplies_ = false; ///< Bytes to clients are discarded.
  std::atomic<std::int64_t> DelayMs_ = 0; ///< Added to each read's bytes.
  /// A connection is cut once this many bytes have been forwarded in the
  /// direction; -1 for never.
  std::atomic<std::int64_t> CutAfterToTarget_ = -1;
  std::atomic<std::int64_t> CutAfterToClient_ = -1;
};

/// Stores the bytes of the most recent request on any connection. Thread-safe.
class RequestRecorder final {
public:
  void set(std::string Bytes);
  std::string get() const;

private:
  mutable std::mutex Mutex_;
  std::string Bytes_;
};

/// Forwards bytes between a client and the target, with one task per
/// direction. Bytes that the client sends after the last byte of a reply count
/// as one request.
class ProxyConnection final {
public:
  /// With an invalid \p Target the connection is frozen from the start.
  ProxyConnection(Socket Client, Socket Target, const ProxyFaults &Faults,
                  RequestRecorder &Recorder, StopSignal &Signal);

  /// Forward until the connection ends; each runs as one task.
  void forwardToTarget();
  void forwardToClient();

  /// Stops forwarding permanently and leaves both sides open.
  void freeze() { Frozen_ = true; }
  bool frozen() const { return Frozen_; }

  /// Closes both sides, also of a frozen connection.
  void cut();

private:
  /// One direction of the connection.
  struct ByteStream {
    const Socket &Source_;
    const Socket &Destination_;
    const std::atomic<std::int64_t> &CutAfter_;
    bool ToTarget_;
    std::int64_t Forwarded_ = 0;
  };

  void forwardStream(ByteStream Stream);
  bool forward(ByteStream &Stream, std::string_view Data);
  bool applyDelay();
  void waitUntilCut();
  void recordRequest(std::string_view Data);

  Socket Client_;
  Socket Target_;
  const ProxyFaults &Faults_;
  RequestRecorder &Recorder_;
  StopSignal &StopSignal_;
  std::atomic<bool> Frozen_ = false;
  std::atomic<bool> Cut_ = false;
  std::atomic<bool> ReplyReceived_ = false;
  std::string CurrentRequest_; ///< Used only by forwardToTarget().
};

} // namespace amaranth::standin

#endif
