/// \file
/// Interface of the clients that call targets.
#ifndef AMARANTH_PROTOCOL_STAGECLIENT_H
#define AMARANTH_PROTOCOL_STAGECLIENT_H

#include "State/ServiceDocument.h"
#include "Support/Time.h"
#include "Transport/HttpClient.h"

#include <string>
#include <vector>

namespace amaranth::protocol {

/// A retrieved document.
struct RetrievedDocument {
  std::string Id_;
  std::string Text_;
  double Score_ = 0;
};

/// Data of a request in a pipeline; each stage fills its part.
struct PipelineData {
  std::string Input_;
  int MaxTokens_ = 64;
  std::vector<double> Embedding_;
  std::vector<RetrievedDocument> Documents_;
  std::string Output_; ///< Text generated so far.
  int Tokens_ = 0;     ///< Tokens generated so far.
};

/// Receives tokens while a Generate stage runs.
class TokenListener {
public:
  virtual ~TokenListener() = default;
  /// Returns false if the caller has disconnected and the stage should end.
  virtual bool onToken(int Index, const std::string &Text) = 0;
};

/// One attempt of one stage at one target.
struct StageCall {
  std::string RequestId_; ///< "<request>/<stage>/<attempt>", echoed back.
  std::string TraceParent_;
  state::Target Target_;
  state::Stage Stage_;
  int Priority_ = 0; ///< Higher runs first at engines.
  SteadyTime Deadline_;
  Milliseconds ProgressTimeout_{2000};
  bool FreshConnection_ = false;
  transport::CancelToken *Cancel_ = nullptr;
};

/// Outcome of an attempt.
enum class StageStatus {
  Ok,
  Leaving,     ///< The target is shutting down and did not run it.
  Overloaded,  ///< 429 or 503: the target did not run it.
  Rejected,    ///< 4xx: the input is at fault; do not retry.
  TargetError, ///< 5xx: it may have run.
  NoReply,     ///< See Failure_.
  Corrupt,     ///< Count or digest wrong, or not the expected JSON.
};

/// Result of an attempt; its data is valid only with Ok.
struct StageReply {
  StageStatus Status_ = StageStatus::NoReply;
  transport::CallFailure Failure_ = transport::CallFailure::NotSent;
  std::string Detail_;
};

/// Runs one attempt and, when it succeeds, writes the stage's part of \p Data.
/// A Generate attempt resumes after Data.Tokens_ tokens and keeps what it
/// received in Data even if it fails later, so that the next attempt continues
/// there.
class StageClient {
public:
  virtual ~StageClient() = default;
  virtual StageReply run(const StageCall &Call, PipelineData &Data,
                         TokenListener *Listener) = 0;
};

} // namespace amaranth::protocol

#endif
