/// \file
/// Interface for encoding and decoding the messages exchanged with callers and
/// targets, independent of their format.
#ifndef AMARANTH_PROTOCOL_EDGEPROTOCOL_H
#define AMARANTH_PROTOCOL_EDGEPROTOCOL_H

#include "Support/Error.h"
#include "Support/Time.h"
#include "Transport/HttpHead.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace amaranth::protocol {

/// One part of a prompt. Different requests can have parts in common; the last
/// part is specific to the request or its session.
struct PromptPart {
  std::string Id_;
  std::uint64_t Tokens_ = 0;
};

/// The decoded head of a caller's request.
struct CallerRequest {
  std::string Id_; ///< A caller sends a new one with each attempt.
  std::string Host_;
  std::string Path_;
  std::string AccountSecret_; ///< Secret of a client account.
  std::optional<Milliseconds> Deadline_;
  std::uint64_t PromptTokens_ = 0;
  std::uint64_t MaxOutputTokens_ = 0;
  std::vector<PromptPart> Prompt_;
  std::optional<std::uint64_t> LastEventId_;
  /// Id_ of the attempt that brought the first event of the stream that the
  /// caller takes up; empty if not stated.
  std::string ResumedId_;
  std::vector<std::size_t> PieceCounts_; ///< Number of pieces in each stage.
  std::string PieceKey_; ///< Input of the stages that need no results.
};

/// Fields that the host adds to a request for a target.
struct TargetCallFields {
  std::string TargetId_; ///< A target with another id refuses the request.
  std::string Account_;  ///< Empty for public routes.
  std::optional<Milliseconds> Deadline_;
  std::vector<std::string> Inputs_; ///< Handles of the results to read.
  std::optional<std::uint64_t> LastEventId_;
  int Urgency_ = 5;         ///< 0 (runs first) to 9; sent to engines only.
  bool Generation_ = false; ///< The request carries a prompt for an engine.
};

/// Load that a target reports with its answers.
struct TargetLoad {
  double Running_ = 0;
  double Waiting_ = 0;
  double Slots_ = 0;
  double Slowness_ = 1; ///< Duration of work relative to normal.
};

/// The decoded head of a target's answer.
struct TargetReply {
  bool NotExecuted_ = false; ///< The target did not run the request.
  /// The request was meant for another target, whose address this one has.
  bool WrongTarget_ = false;
  bool Signed_ = false; ///< The answer carries the target's signature.
  bool ContentEncoded_ =
      false;              ///< Content-encoded: not the target's own bytes.
  std::string RequestId_; ///< Id of the request that is answered.
  std::optional<TargetLoad> Load_;
  /// How long the target keeps an idle connection open.
  std::optional<Milliseconds> KeepAlive_;
  /// Requests a second that the target accepts from all hosts together; empty
  /// if it states no limit.
  std::optional<double> RequestsPerSecond_;
  /// It states a limit that is no valid number.
  bool IsLimitInvalid_ = false;
  bool IsLeaving_ = false; ///< The target states that it is leaving.
  /// How long the target wants no requests from this host; in refusals (503).
  std::optional<Milliseconds> RetryAfter_;
  /// How long the target remains cold; 0 if it is not. Empty if not stated.
  std::optional<Milliseconds> ColdFor_;
  /// Names of the fields above with invalid values, for the log.
  std::vector<std::string> InvalidFields_;
};

/// One piece to run; a piece is one unit of a stage's work for a request.
struct StagePiece {
  std::string RequestId_;
  std::size_t Stage_ = 0;
  std::size_t Piece_ = 0;
  std::string Key_;                 ///< Input, for stages that need no results.
  std::vector<std::string> Inputs_; ///< Result handles, for other stages.
};

/// Status of a piece; all but InputsRead are final.
enum class PieceStatus {
  Completed,    ///< The target holds the result.
  Expired,      ///< Its time ran out before it was run.
  InputMissing, ///< A result that it reads no longer exists.
  NoCapacity,   ///< The target has no capacity to hold the result.
  Failed,       ///< The target failed, or its answer was lost.
  Refused,      ///< The target did not run the call.
  InputsRead,   ///< Still running; no longer needs its inputs.
};

struct PieceOutcome {
  PieceStatus Status_ = PieceStatus::Failed;
  std::string Handle_; ///< Identifies the result of a completed piece.
};

/// Calls that a host answers itself; None for requests to targets.
enum class HostCall { None, Directory, Readiness, Metrics };

/// What a caller states when it asks for entry hosts; empty if not stated.
struct DirectoryQuery {
  std::string DataCentre_;
  std::string Region_;
};

/// Encodes and decodes messages; makes no decisions on them.
class EdgeProtocol {
public:
  virtual ~EdgeProtocol() = default;

  virtual HostCall hostCall(const transport::HttpHead &Head) const = 0;
  /// Reads the query of a directory call.
  virtual DirectoryQuery
  directoryQuery(const transport::HttpHead &Head) const = 0;
  virtual Result<CallerRequest>
  readRequest(const transport::HttpHead &Head) const = 0;

  /// The complete request for a target, built from the caller's request.
  virtual std::string targetRequest(const transport::HttpHead &CallerHead,
                                    const std::string &Body,
                                    const TargetCallFields &Fields) const = 0;
  virtual TargetReply readReply(const transport::HttpHead &Head) const = 0;
  /// Status line and end-to-end fields that pass a target's answer on, without
  /// framing fields and the empty line that ends the head.
  virtual std::string
  answerHead(const transport::HttpHead &TargetHead) const = 0;
  /// A complete answer that this host composes itself. \p Close announces that
  /// the connection is closed after it.
  virtual std::string hostAnswer(int Status, const std::string &RequestId,
                                 const std::string &Reason,
                                 std::optional<Milliseconds> RetryAfter,
                                 bool Close) const = 0;
  virtual std::string directoryAnswer(const std::vector<std::string> &Addresses,
                                      Milliseconds Lifetime) const = 0;

  /// Targets may repeat \p CallId in their answer, which tells it from those to
  /// other calls.
  virtual std::string
  stageCall(const std::vector<StagePiece> &Pieces, const std::string &TargetId,
            const std::string &CallId,
            const std::vector<std::optional<Milliseconds>> &TimeLeft) const = 0;
  virtual Result<std::vector<PieceOutcome>>
  readStageAnswer(const std::string &Body) const = 0;
  virtual std::string freeResultsCall(const std::vector<std::string> &Handles,
                                      const std::string &TargetId,
                                      const std::string &CallId) const = 0;
  /// Address of the target that holds a result.
  virtual std::string holderAddress(const std::string &Handle) const = 0;
};

} // namespace amaranth::protocol

#endif
