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

/// The group in which the latency of a request is reported.
enum class BenchSize { Short, Long };

/// Bounds of a length. Lengths are drawn log-uniformly between them, because
/// real inputs vary over orders of magnitude.
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
  double Share_ = 1;                  ///< Multiple of the phase's rate.
  std::vector<std::string> Phases_;   ///< Empty for all.
  BenchSize Size_ = BenchSize::Short;
  Milliseconds Timeout_{4000};
  /// For pipelines: lengths of input and output, and whether to stream.
  BenchLength Words_{20, 20};
  BenchLength Tokens_{16, 16};
  bool Stream_ = false;
  /// The service passes the input on unchanged as the prompt. The output of a
  /// stand-in then begins with the digest of the input, so that each answer can
  /// be matched to its request.
  bool Direct_ = false;
  /// For plain services: the call to make.
  std::string Call_; ///< Empty for a pipeline.
  /// Not idempotent: sent with an order id and an idempotency key.
  bool IsOrder_ = false;
};

/// A period of constant request rate.
struct BenchPhase {
  std::string Name_;
  Milliseconds Duration_{1000};
  double Rate_ = 0;        ///< Requests/s; 0 if Load_ is given.
  double Load_ = 0;        ///< Share of the capacity.
  int SlowedStandins_ = 0; ///< How many are slowed during the phase.
  double SlowFactor_ = 1;
};

/// The measure that a goal bounds.
enum class BenchMeasure {
  Attainment,   ///< Share of accepted requests answered in time.
  Served,       ///< Share of all requests answered in time.
  GoodputShare, ///< Work answered in time, as a share of capacity.
  P99Short,     ///< 99th percentile of short requests, ms.
  P99,          ///< 99th percentile of all requests, ms.
  ExtraShare,   ///< Extra attempts per stage run.
};

/// How a goal compares its phase with a reference phase.
enum class BenchRelation { None, Ratio, Difference };

/// A bound on a measure of one phase, or of the whole run.
struct BenchGoal {
  std::string Name_;
  BenchMeasure Measure_ = BenchMeasure::Attainment;
  std::string Phase_;     ///< Empty for the whole run.
  std::string Account_;   ///< Empty for all accounts.
  std::string Reference_; ///< The reference phase, if there is a relation.
  BenchRelation Relation_ = BenchRelation::None;
  std::optional<double> AtLeast_;
  std::optional<double> AtMost_;
};

/// A load scenario, as described by its file.
struct BenchScenario {
  std::string Name_;
  std::uint64_t Seed_ = 1;
  std::string Deployment_;    ///< Folder of service documents in config.
  Milliseconds LoadLag_{500}; ///< Age of load reports that scripts/bench sets.
  /// Simulated clients of each account. Each requests its own entry hosts, so
  /// that the load of an account spreads over the hosts as with many clients.
  int CallersPerAccount_ = 32;
  std::vector<BenchAccount> Accounts_;
  std::vector<BenchPhase> Phases_;
  std::vector<BenchRequestKind> Kinds_;
  std::vector<BenchGoal> Goals_;

  const BenchPhase *findPhase(std::string_view Name) const;
  const BenchAccount *findAccount(std::string_view Name) const;
  bool needsCapacity() const;
};

/// A scenario or, if its file is not valid, all faults found in it.
struct BenchScenarioReading {
  std::optional<BenchScenario> Scenario_;
  std::vector<state::DocumentFault> Faults_;
};

/// Parses and checks the TOML \p Text. Reports all faults, not only the first.
BenchScenarioReading readBenchScenario(std::string_view Text);

} // namespace amaranth::control

#endif
