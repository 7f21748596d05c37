/// \file
/// Choice of a target for an attempt.
#ifndef AMARANTH_COORDINATION_ROUTER_H
#define AMARANTH_COORDINATION_ROUTER_H

#include "Coordination/TargetTable.h"
#include "State/ServiceDocument.h"
#include "Support/Time.h"

#include <optional>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Input of a routing decision.
struct RouteQuery {
  std::vector<const state::Target *> Targets_; ///< All targets of the stage.
  WorkClass Class_ = WorkClass::Generate;
  double Work_ = 1;         ///< Predicted tokens, or 1 for a call.
  std::string InputDigest_; ///< Hex SHA-256 of the input.
  std::vector<std::string> TriedTargets_; ///< Names of targets to exclude.
  /// The input was running when a target crashed: only its two candidates may
  /// run it.
  bool Suspect_ = false;
  QueuePlace Place_ = QueuePlace::Back;
  Milliseconds TimeLeft_{0}; ///< Until the deadline.
};

/// A chosen target.
struct Route {
  const state::Target *Target_ = nullptr;
  Microseconds Predicted_{0}; ///< Predicted time until completion.
};

/// Chooses targets. Leaving targets are never chosen. Thread-safe.
class Router {
public:
  virtual ~Router() = default;

  /// Returns the target for the next attempt, or none if no target may be used.
  virtual std::optional<Route> choose(const RouteQuery &Query) = 0;
};

/// Returns the \p Count candidates of an input: the targets that rank first by
/// rendezvous hashing, best first. The result is the same at every daemon with
/// the same targets.
std::vector<const state::Target *>
rankedCandidates(const std::vector<const state::Target *> &Targets,
                 const std::string &InputDigest, std::size_t Count);

} // namespace amaranth::coordination

#endif
