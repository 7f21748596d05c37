/// \file
/// What became of a request, as its caller sees it.
#ifndef AMARANTH_CONTROL_BENCHOUTCOME_H
#define AMARANTH_CONTROL_BENCHOUTCOME_H

#include "Control/BenchStream.h"
#include "Transport/HttpClient.h"

#include <array>
#include <string>
#include <vector>

namespace amaranth::control {

/// The end of a request; every request has exactly one.
enum class BenchOutcome {
  InTime,  ///< The whole answer, before the deadline.
  Late,    ///< The whole answer, after the deadline.
  NotRun,  ///< Refused; it did not run.
  Unknown, ///< It may have run.
  Failed,  ///< It ran and did not succeed, or the request was wrong.
  Cut,     ///< No answer, or one without its end.
};

inline constexpr std::array AllBenchOutcomes = {
    BenchOutcome::InTime,  BenchOutcome::Late,   BenchOutcome::NotRun,
    BenchOutcome::Unknown, BenchOutcome::Failed, BenchOutcome::Cut};

/// The name of \p Outcome in tables and JSON.
const char *toString(BenchOutcome Outcome);

/// What one stage cost, from the "stages" field of an answer.
struct BenchStageCost {
  std::string Stage_;
  int Attempts_ = 0;
  int Hedges_ = 0;
  Microseconds Useful_{0};
  Microseconds Wasted_{0};
};

/// What an attempt of a caller brought.
enum class AnswerKind { Whole, NotRun, Unknown, Failed, Cut, NotSent };

/// How a problem allows another attempt.
enum class RetryHint { None, SameRequest, NewKey };

/// One reply, read and checked.
struct BenchAnswer {
  AnswerKind Kind_ = AnswerKind::Cut;
  std::string Type_; ///< Of a problem, or why there is no answer.
  RetryHint Retry_ = RetryHint::None;
  Milliseconds RetryAfter_{0};
  std::string Output_; ///< Text of a pipeline.
  int Tokens_ = 0;
  std::string ResultOrderId_; ///< Order id in the result of a plain call.
  std::string ResultName_;    ///< Name of the call in its result.
  std::vector<BenchStageCost> Stages_;
  /// The answer contradicts itself: digest, count or index; empty if it does
  /// not.
  std::string Fault_;
};

/// Reads an outcome of the client; \p Stream holds the events of a streamed
/// answer, or is null.
BenchAnswer readAnswer(const transport::HttpOutcome &Reply,
                       const BenchStream *Stream);

/// The end of a request whose last attempt brought \p Kind, \p Latency after
/// its intended send time. A request that may have reached a target and whose
/// effects matter (\p Order) is unknown when no answer came.
BenchOutcome classify(AnswerKind Kind, Microseconds Latency,
                      Milliseconds Timeout, bool Order);

} // namespace amaranth::control

#endif
