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

/// Pieces of a stage service that the requests of an entry host still need,
/// each by the priority of the request.
struct QueueState {
  std::string Service_;
  /// Pieces that can meet their request's aim. The aim is the time within which
  /// an answer has its full worth to the caller; the deadline is later.
  std::vector<std::uint32_t> InTime_;
  std::vector<std::uint32_t> Late_;    ///< Pieces that cannot meet their aim.
  std::vector<std::uint32_t> Waiting_; ///< Of requests that have not started.
  /// Rate at which the targets complete pieces in full calls; 0 if unknown. Set
  /// by the service's dispatcher, the entry host that composes the calls.
  double PiecesPerSecond_ = 0;
};

/// What the requests of one host may hold at a model engine.
struct EngineTokens {
  std::string Engine_;
  std::uint64_t Tokens_ = 0;
  std::uint64_t Requests_ = 0;
};

/// State that a host reports about itself.
struct HostState {
  std::string Host_;
  std::string DataCentre_;
  std::string CallerAddress_;
  std::string PeerAddress_;
  std::uint64_t Incarnation_ = 0;
  /// Accepts requests; false while starting or draining.
  bool Serving_ = false;
  /// The store answers the host's calls, or is expected to.
  bool StoreConnected_ = false;
  /// Watches the store and has all its records; passes changes on.
  bool ReadsStore_ = false;
  /// Digests of the store's records as the host knows them, one for each
  /// prefix.
  std::vector<std::uint64_t> Digests_;
  std::vector<QueueState> Queues_; ///< Of services that the host dispatches.
  /// What the host's own requests still need.
  std::vector<QueueState> Outstanding_;
  double LinkMegabits_ = 0; ///< Bandwidth of its network link; 0 if unknown.
  /// Engines of whose memory the host's requests occupy a large part.
  std::vector<EngineTokens> Engines_;
};

struct Ping {
  HostState State_;
};
struct Pong {
  HostState State_;
};

/// Orders a piece from the dispatcher of its service. Times count from sending.
struct PieceOrder {
  StagePiece Piece_;
  std::string Service_;
  std::uint64_t ResultBytes_ = 0;
  int Priority_ = 0;
  Milliseconds AimLeft_{0};
  Milliseconds ExpiryLeft_{0};
  std::string DataCentre_;
  bool Repeat_ = false; ///< The piece has been ordered before.
};
struct PieceOrders {
  std::vector<PieceOrder> Orders_;
};

/// Status of an ordered piece, for the host that ordered it.
struct PieceReport {
  std::string RequestId_;
  std::size_t Stage_ = 0;
  std::size_t Piece_ = 0;
  PieceOutcome Outcome_;
};
struct PieceReports {
  std::vector<PieceReport> Reports_;
};

/// Cancels all pieces of a request.
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

/// Records of the store, sent by a watcher to hosts that do not watch the
/// store.
struct StoreRecords {
  std::string Prefix_;
  std::vector<StoreItem> Items_;
  bool Complete_ = false; ///< Items_ has all records as of Revision_.
  std::uint64_t Revision_ = 0;
};

/// Inputs that may crash targets.
struct SuspectRequests {
  std::vector<SuspectInput> Inputs_;
};

/// A crash of an engine before it answered a request with a prompt part.
struct PartCrash {
  std::string Engine_;
  Milliseconds Age_{0}; ///< Time since the crash.
};
/// A prompt part that may crash engines.
struct SuspectPart {
  std::string Id_;
  bool Answered_ = false; ///< An engine has completed an answer with it.
  bool Cleared_ = false;  ///< The crashes before this message do not count.
  std::vector<PartCrash> Crashes_;
  std::uint32_t Trials_ = 0;       ///< Requests tried since its last answer.
  Milliseconds LastAttemptAge_{0}; ///< Time since its last trial or crash.
};
struct SuspectParts {
  std::vector<SuspectPart> Parts_;
};

/// What a target has stated about the requests that it accepts from all hosts.
struct TargetLimit {
  std::string Target_;
  std::optional<double> PerSecond_; ///< Empty if it states no limit.
};

/// Asks the host that keeps the schedule of a limited target for a place in it.
struct PermitRequest {
  std::uint64_t Id_ = 0; ///< Chosen by the asking host.
  std::string Target_;
  double PerSecond_ = 0;
  Milliseconds MaxDelay_{0}; ///< A place that is later is of no use.
};
struct PermitReply {
  std::uint64_t Id_ = 0;
  bool Granted_ = false;
  /// Time until the place that was granted, or until the next free one.
  Microseconds Delay_{0};
};

using FleetMessage =
    std::variant<Ping, Pong, PieceOrders, PieceReports, CancelPieces,
                 ReleaseResults, StoreRecords, SuspectRequests, SuspectParts,
                 TargetLimit, PermitRequest, PermitReply>;

/// Encodes one message, without the length that precedes it on a connection.
std::string encodeFleetMessage(const FleetMessage &Message);
/// Decodes one message; nothing if \p Bytes are malformed.
std::optional<FleetMessage> decodeFleetMessage(const std::string &Bytes);

} // namespace amaranth::protocol

#endif
