/// \file
/// Interface to the messages of callers and targets, whatever their format.
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

/// One part of a prompt. Requests share parts; the last belongs to the request
/// or its session.
struct PromptPart {
  std::string Id_;
  std::uint64_t Tokens_ = 0;
};

/// What a request's head says, decoded.
struct CallerRequest {
  std::string Id_; ///< New for each attempt of a caller.
  std::string Host_;
  std::string Path_;
  std::string Key_; ///< Secret of a client account.
  std::optional<Milliseconds> Deadline_;
  std::uint64_t PromptTokens_ = 0;
  std::uint64_t MaxOutputTokens_ = 0;
  std::vector<PromptPart> Prompt_;
  std::optional<std::uint64_t> LastEventId_;
  std::vector<std::size_t> Pieces_; ///< Pieces of each stage.
  std::string PieceKey_;            ///< Input of the first stages.
};

/// What the system adds to a request for a target.
struct TargetCallFields {
  std::string TargetId_; ///< Any other target at the address refuses.
  std::string Account_;  ///< Empty for public routes.
  std::optional<Milliseconds> Deadline_;
  std::vector<std::string> Inputs_; ///< Handles of stage results.
  std::optional<std::uint64_t> LastEventId_;
  int Urgency_ = 5; ///< 0 (first) to 9, for engines.
  bool Generation_ = false;
};

/// Load that a target adds to its answers.
struct TargetLoad {
  double Running_ = 0;
  double Waiting_ = 0;
  double Slots_ = 0;
  double Slowness_ = 1; ///< How long work takes relative to usual.
};

/// What the head of a target's answer says, decoded.
struct TargetReply {
  bool NotExecuted_ = false; ///< The target has not run the request.
  bool Signed_ = false;      ///< The answer carries the target's signature.
  bool Encoded_ = false;     ///< The body is not the target's own bytes.
  std::string RequestId_;    ///< Which request is answered.
  std::optional<TargetLoad> Load_;
  /// How long an idle connection stays open.
  std::optional<Milliseconds> KeepAlive_;
};

/// One piece of a stage to be made.
struct StagePiece {
  std::string RequestId_;
  std::size_t Stage_ = 0;
  std::size_t Piece_ = 0;
  std::string Key_;                 ///< For stages that need no results.
  std::vector<std::string> Inputs_; ///< Handles, for the other stages.
};

enum class PieceEnd {
  Made,
  Late,       ///< Its time had passed before the call's turn.
  Gone,       ///< An input no longer exists.
  NoRoom,     ///< The target has no room for the result.
  Failed,     ///< The target failed, or its answer was lost.
  Refused,    ///< The target took no part of the call.
  InputsRead, ///< Not an end: it is being made and needs its inputs no more.
};

struct PieceOutcome {
  PieceEnd End_ = PieceEnd::Failed;
  std::string Handle_; ///< Names the result when it was made.
};

/// Calls of the platform and of callers that a host answers itself.
enum class HostCall { None, Directory, Readiness };

/// Encodes and decodes messages; decides nothing.
class EdgeProtocol {
public:
  virtual ~EdgeProtocol() = default;

  virtual HostCall hostCall(const transport::HttpHead &Head) const = 0;
  virtual Result<CallerRequest>
  readRequest(const transport::HttpHead &Head) const = 0;

  /// A whole request for a target, from the caller's.
  virtual std::string targetRequest(const transport::HttpHead &FromCaller,
                                    const std::string &Body,
                                    const TargetCallFields &Fields) const = 0;
  virtual TargetReply readReply(const transport::HttpHead &Head) const = 0;
  /// Status line and end-to-end fields of a target's answer, without framing
  /// and without the empty line.
  virtual std::string
  answerHead(const transport::HttpHead &FromTarget) const = 0;
  /// A whole answer of the system's own.
  virtual std::string ownAnswer(int Status, const std::string &RequestId,
                                const std::string &Reason,
                                std::optional<Milliseconds> RetryAfter,
                                bool Close) const = 0;
  virtual std::string directoryAnswer(const std::vector<std::string> &Addresses,
                                      Milliseconds Lifetime) const = 0;

  virtual std::string
  stageCall(const std::vector<StagePiece> &Pieces, const std::string &TargetId,
            const std::vector<std::optional<Milliseconds>> &TimeLeft) const = 0;
  virtual Result<std::vector<PieceOutcome>>
  readStageAnswer(const std::string &Body) const = 0;
  virtual std::string freeCall(const std::vector<std::string> &Handles,
                               const std::string &TargetId) const = 0;
  /// Address of the target that holds a result.
  virtual std::string makerOf(const std::string &Handle) const = 0;
};

} // namespace amaranth::protocol

#endif
