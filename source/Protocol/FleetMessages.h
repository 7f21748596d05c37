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

/// How many entry hosts the callers of a data centre need.
struct CallerNeed {
  std::string DataCentre_;
  std::uint32_t Hosts_ = 0;
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
  /// Processor time that the host may use, in cores; 0 if unknown.
  double ProcessorShare_ = 0;
  /// Share of its processor time used over the last second, from 0 to 1.
  double BusyShare_ = 0;
  /// For the data centres for which this host was elected to decide.
  std::vector<CallerNeed> CallerNeeds_;
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
  /// The store's era that all records are of; 0 if it is not known.
  std::uint64_t Era_ = 0;
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
struct TargetNotice {
  std::string Target_;
  std::int64_t Incarnation_ = 0; ///< Of the target's process.
  bool IsLeaving_ = false;
  std::optional<double> PerSecond_;     ///< Empty if it states no limit.
  std::optional<Milliseconds> ColdFor_; ///< Empty if it has stated nothing.
};

/// What a host knows about a target that is paced: one that has just started or
/// recovered. Times count from sending.
struct PaceState {
  double Cost_ = 1; ///< Of the request, in average requests.
  /// Rate that the asking host was told last; 0 if none.
  double KnownPerSecond_ = 0;
  Milliseconds PacedFor_{0};
  Milliseconds ColdFor_{0};  ///< Time for which the target is still cold.
  double ColdPerSecond_ = 0; ///< Rate that it accepts then; 0 if not cold.
};

/// Asks the host that keeps the schedule of a limited or paced target for a
/// place in it.
struct PermitRequest {
  std::uint64_t Id_ = 0; ///< Chosen by the asking host.
  std::string Target_;
  std::optional<double> PerSecond_; ///< Its limit; empty if it states none.
  Milliseconds MaxDelay_{0};        ///< A place that is later is of no use.
  std::optional<PaceState> Pace_{}; ///< Empty if it is not paced.
};
struct PermitReply {
  std::uint64_t Id_ = 0;
  bool Granted_ = false;
  /// Time until the place that was granted, or until the next free one.
  Microseconds Delay_{0};
  /// The replying host knows another one that keeps the target's schedule.
  bool NotElected_ = false;
  bool IsPaced_ = false;
  double PacePerSecond_ = 0; ///< Allowed rate of a paced target.
};

/// How a paced target responded to a request.
enum class PaceOutcome {
  Usual,   ///< In usual time.
  Slow,    ///< Well after the usual time.
  Refused, ///< Not run, for lack of capacity.
  Failed,  ///< No answer, or a broken one.
};

/// Reports a response to the host that paces the target.
struct PaceReport {
  std::string Target_;
  PaceOutcome Outcome_ = PaceOutcome::Usual;
};

/// Record of a version of a service's software that is, or was until recently,
/// in service.
struct ServiceVersion {
  std::string Service_;
  std::string Version_;
};

/// A stream and the version that began it.
struct StreamVersion {
  std::uint64_t Stream_ = 0; ///< Hash of the service and the request id.
  std::size_t Version_ = 0;  ///< Index in StreamVersions::Versions_.
};
/// Record of the streams that one host began.
struct StreamVersions {
  std::vector<std::string> Versions_;
  std::vector<StreamVersion> Streams_;
};

using FleetMessage =
    std::variant<Ping, Pong, PieceOrders, PieceReports, CancelPieces,
                 ReleaseResults, StoreRecords, SuspectRequests, SuspectParts,
                 TargetNotice, PermitRequest, PermitReply, PaceReport,
                 ServiceVersion, StreamVersions>;

/// Encodes one message, without the length that precedes it on a connection.
std::string encodeFleetMessage(const FleetMessage &Message);
/// Decodes one message; nothing if \p Bytes are malformed.
std::optional<FleetMessage> decodeFleetMessage(const std::string &Bytes);

} // namespace amaranth::protocol

#endif
