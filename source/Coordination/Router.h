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

/// What is to be routed.
struct RouteQuery {
  std::vector<const state::Target *> Targets_; ///< All targets of the stage.
  WorkClass Class_ = WorkClass::Generate;
  double Work_ = 1;                ///< Predicted tokens, or 1 for a call.
  std::string InputDigest_;        ///< Hex SHA-256 of the input.
  std::vector<std::string> Tried_; ///< Names of targets not to be used again.
  /// The input may crash targets: only its two candidates may run it.
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

  /// The target for the next attempt, or none if no target may be used.
  virtual std::optional<Route> choose(const RouteQuery &Query) = 0;
};

/// The candidates of an input: the targets ranked first by rendezvous hashing,
/// best first. Every daemon with the same targets gets the same ones.
std::vector<const state::Target *>
rankedCandidates(const std::vector<const state::Target *> &Targets,
                 const std::string &InputDigest, std::size_t Count);

} // namespace amaranth::coordination

#endif
