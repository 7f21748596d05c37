/// \file
/// Messages between the entry hosts of a fleet on the platform.
#ifndef AMARANTH_PROTOCOL_FLEETMESSAGES_H
#define AMARANTH_PROTOCOL_FLEETMESSAGES_H

#include "Protocol/EdgeProtocol.h"
#include "Protocol/PeerMessages.h"
#include "Protocol/PlatformStore.h"
#include "Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace amaranth::protocol {

/// What waits at the dispatcher of a stage service.
struct QueueState {
  std::string Service_;
  /// Pieces that can meet their request's aim, by priority.
  std::vector<std::uint32_t> InTime_;
  std::uint32_t Late_ = 0;     ///< Pieces that cannot.
  double PiecesPerSecond_ = 0; ///< Made of late; 0 if not known.
};

/// What a host says of itself.
struct HostState {
  std::string Host_;
  std::string DataCentre_;
  std::string CallerAddress_;
  std::string PeerAddress_;
  std::uint64_t Incarnation_ = 0;
  bool Serving_ = false; ///< Takes requests; not while starting or draining.
  bool StoreConnected_ = false;
  bool Watching_ = false; ///< Passes on what the store says.
  /// Of the store's records that it knows, one for each prefix.
  std::vector<std::uint64_t> Digests_;
  std::vector<QueueState> Queues_;
};

struct Ping {
  HostState State_;
};
struct Pong {
  HostState State_;
};

/// A piece for the dispatcher of its service. Times are left from sending.
struct PieceOrder {
  StagePiece Piece_;
  std::string Service_;
  std::uint64_t ResultBytes_ = 0;
  int Priority_ = 0;
  Milliseconds AimLeft_{0};
  Milliseconds ExpiryLeft_{0};
  std::string DataCentre_;
  bool Repeat_ = false;
};
struct PieceOrders {
  std::vector<PieceOrder> Orders_;
};

/// What became of a piece.
struct PieceReport {
  std::string RequestId_;
  std::size_t Stage_ = 0;
  std::size_t Piece_ = 0;
  PieceOutcome Outcome_;
};
struct PieceReports {
  std::vector<PieceReport> Reports_;
};

/// The pieces of a request are no longer wanted.
struct CancelPieces {
  std::string RequestId_;
};

/// A result that is no longer needed.
struct UnneededResult {
  std::string Handle_;
  std::string Service_;
};
struct ReleaseResults {
  std::vector<UnneededResult> Results_;
};

/// Records of the store, for hosts that do not watch it.
struct StoreRecords {
  std::string Prefix_;
  std::vector<StoreItem> Items_;
  bool Complete_ = false; ///< All records, as they were at the revision.
  std::uint64_t Revision_ = 0;
};

/// Inputs that may crash targets.
struct SuspectRequests {
  std::vector<SuspectInput> Inputs_;
};

using FleetMessage =
    std::variant<Ping, Pong, PieceOrders, PieceReports, CancelPieces,
                 ReleaseResults, StoreRecords, SuspectRequests>;

/// Bytes of one message without its length.
std::string encodeFleetMessage(const FleetMessage &Message);
/// Nothing if \p Bytes are no message.
std::optional<FleetMessage> decodeFleetMessage(const std::string &Bytes);

} // namespace amaranth::protocol

#endif
