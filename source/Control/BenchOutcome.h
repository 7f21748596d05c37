/// \file
/// Replies to requests, and the outcomes that a caller derives from them.
#ifndef AMARANTH_CONTROL_BENCHOUTCOME_H
#define AMARANTH_CONTROL_BENCHOUTCOME_H

#include "Control/BenchStream.h"
#include "Transport/HttpClient.h"

#include <array>
#include <string>
#include <vector>

namespace amaranth::control {

/// The final outcome of a request; every request has exactly one.
enum class BenchOutcome {
  InTime,  ///< Complete answer before the deadline.
  Late,    ///< Complete answer after the deadline.
  NotRun,  ///< Refused; it did not run.
  Unknown, ///< It may have run.
  Failed,  ///< It ran and did not succeed, or the request was wrong.
  Cut,     ///< No answer, or an incomplete one.
};

inline constexpr std::array AllBenchOutcomes = {
    BenchOutcome::InTime,  BenchOutcome::Late,   BenchOutcome::NotRun,
    BenchOutcome::Unknown, BenchOutcome::Failed, BenchOutcome::Cut};

/// The name of \p Outcome in tables and JSON.
const char *toString(BenchOutcome Outcome);

/// Cost of one stage, from the "stages" field of an answer.
struct BenchStageCost {
  std::string Stage_;
  int Attempts_ = 0;
  int Hedges_ = 0;
  Microseconds Useful_{0};
  Microseconds Wasted_{0};
};

/// Result of one attempt.
enum class AnswerKind {
  Complete, ///< The whole answer.
  NotRun,   ///< A problem: the request did not run.
  Unknown,  ///< A problem: the request may have run.
  Failed,   ///< Any other problem.
  Cut,      ///< No answer, or an incomplete one.
  NotSent   ///< The request did not reach an entry host.
};

/// How a problem allows the request to be sent again. After NewKey an order
/// needs a new idempotency key.
enum class RetryHint { None, SameRequest, NewKey };

/// One reply, parsed and checked.
struct BenchAnswer {
  AnswerKind Kind_ = AnswerKind::Cut;
  std::string ProblemType_; ///< Or the reason why there is no answer.
  RetryHint Retry_ = RetryHint::None;
  Milliseconds RetryAfter_{0};
  std::string Output_;        ///< Output text of a pipeline.
  int Tokens_ = 0;            ///< Count of output tokens.
  std::string ResultOrderId_; ///< Order id in the result of a plain call.
  std::string ResultCall_;    ///< Name of the call in its result.
  std::vector<BenchStageCost> Stages_;
  /// How the answer contradicts itself (in digest, count or index); empty if it
  /// does not.
  std::string Fault_;
};

/// Parses the outcome of an HTTP call; \p Stream holds the events of a streamed
/// answer and is null for any other.
BenchAnswer readAnswer(const transport::HttpOutcome &Reply,
                       const BenchStream *Stream);

/// The outcome of a request whose last attempt ended with \p Kind, \p Latency
/// after its planned send time. Without an answer, an order (\p IsOrder) is
/// Unknown, because it may have reached a target and taken effect there.
BenchOutcome classify(AnswerKind Kind, Microseconds Latency,
                      Milliseconds Timeout, bool IsOrder);

} // namespace amaranth::control

#endif
