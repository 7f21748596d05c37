/// \file
/// Load scenarios of amaranthctl bench.
#ifndef AMARANTH_CONTROL_BENCHSCENARIO_H
#define AMARANTH_CONTROL_BENCHSCENARIO_H

#include "State/ServiceDocument.h"
#include "Support/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::control {

/// The class in which the latency of a request is reported.
enum class BenchSize { Short, Long };

/// Bounds of a length; lengths are log-uniform between them, because those of
/// real inputs spread over orders of magnitude.
struct BenchLength {
  int Minimum_ = 1;
  int Maximum_ = 1;
};

/// A client account that sends load.
struct BenchAccount {
  std::string Name_;
  double Weight_ = 1; ///< Share of the requests, relative to the others.
};

/// One kind of request in the mix.
struct BenchRequestKind {
  std::string Name_;
  std::string Service_;
  std::vector<std::string> Accounts_; ///< Senders; empty for all.
  double Share_ = 1;                  ///< Rate in units of the phase's rate.
  std::vector<std::string> Phases_;   ///< Empty for all.
  BenchSize Size_ = BenchSize::Short;
  Milliseconds Timeout_{4000};
  /// Pipelines.
  BenchLength Words_{20, 20};
  BenchLength Tokens_{16, 16};
  bool Stream_ = false;
  /// The input alone is the prompt, so that the stand-in's output begins with
  /// its digest and every single answer can be matched to its request.
  bool Direct_ = false;
  /// Plain services.
  std::string Call_;   ///< Empty for a pipeline.
  bool Order_ = false; ///< Sent with an order id and an idempotency key.
};

/// A time with a constant rate.
struct BenchPhase {
  std::string Name_;
  Milliseconds Duration_{1000};
  double Rate_ = 0; ///< Requests/s; 0 if Load_ is given.
  double Load_ = 0; ///< Share of the capacity.
  int Slowed_ = 0;  ///< Stand-ins that are slowed during the phase.
  double SlowFactor_ = 1;
};

/// What a goal is measured by.
enum class BenchMeasure {
  Attainment,   ///< Answers in time among the accepted requests.
  Served,       ///< Answers in time among all requests.
  GoodputShare, ///< Work answered in time among the capacity.
  P99Short,     ///< 99th percentile of short requests, ms.
  P99,          ///< 99th percentile of all requests, ms.
  ExtraShare,   ///< Extra attempts for each stage that ran.
};

/// How a goal relates its phase to another one.
enum class BenchRelation { None, Ratio, Difference };

/// A bound on a measure of one phase, or of the whole run.
struct BenchGoal {
  std::string Name_;
  BenchMeasure Measure_ = BenchMeasure::Attainment;
  std::string Phase_;     ///< Empty for the whole run.
  std::string Account_;   ///< Empty for all accounts.
  std::string Reference_; ///< The other phase, with a relation.
  BenchRelation Relation_ = BenchRelation::None;
  std::optional<double> AtLeast_;
  std::optional<double> AtMost_;
};

/// A load as a file describes it.
struct BenchScenario {
  std::string Name_;
  std::uint64_t Seed_ = 1;
  std::string Deployment_;    ///< Folder of documents in config.
  Milliseconds LoadLag_{500}; ///< Age of load reports that scripts/bench sets.
  /// Callers of each account; each asks for entry hosts itself, so that an
  /// account's load spreads over the hosts as that of many clients does.
  int CallersPerAccount_ = 32;
  std::vector<BenchAccount> Accounts_;
  std::vector<BenchPhase> Phases_;
  std::vector<BenchRequestKind> Kinds_;
  std::vector<BenchGoal> Goals_;

  const BenchPhase *findPhase(std::string_view Name) const;
  const BenchAccount *findAccount(std::string_view Name) const;
  bool needsCapacity() const;
};

/// A scenario, or every fault found in its file.
struct BenchScenarioReading {
  std::optional<BenchScenario> Scenario_;
  std::vector<state::DocumentFault> Faults_;
};

/// Reads and checks the TOML \p Text. All faults are reported at once.
BenchScenarioReading readBenchScenario(std::string_view Text);

} // namespace amaranth::control

#endif
