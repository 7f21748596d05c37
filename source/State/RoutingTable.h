/// \file
/// One version of the operators' configuration, as used to handle requests.
#ifndef AMARANTH_STATE_ROUTINGTABLE_H
#define AMARANTH_STATE_ROUTINGTABLE_H

#include "Support/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace amaranth::state {

/// Whether and how a request may be repeated.
enum class RequestKind {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once.
  Stream,        ///< Answered by events; see Route::IsResumable_.
};

/// A stage of work that must be done before a request runs at its service.
struct StageStep {
  std::string Service_;
  /// Indexes of the stages whose results it needs.
  std::vector<std::size_t> Dependencies_;
  std::uint64_t ResultBytes_ = 0; ///< Approximate size of one result.
};

/// A service that may serve a request, with its share of the requests.
struct ServiceShare {
  std::string Service_;
  double Weight_ = 1;
};

struct Route {
  std::string Name_;
  std::string Host_;
  std::string Prefix_; ///< Of paths; begins and ends with a slash.
  RequestKind Kind_ = RequestKind::NonIdempotent;
  bool IsResumable_ = false;  ///< A stream that another target may continue.
  bool IsGeneration_ = false; ///< Carries a prompt for a model engine.
  bool IsPublic_ = false;     ///< Needs no client account.
  Milliseconds Timeout_{0};   ///< Longest wait of a caller; 0 means no limit.
  /// Time within which an answer, or the first event of a stream, has its full
  /// worth to the caller.
  Milliseconds LatencyAim_{0};
  /// Longest pause between events of a stream at which it has its full worth.
  Milliseconds PauseAim_{0};
  int Priority_ = 0;    ///< 0 is the most urgent.
  int MaxAttempts_ = 1; ///< Targets that one request may be sent to.
  std::vector<ServiceShare> Services_;
  std::vector<StageStep> Stages_;
};

/// Capacity of one target of a stage service.
struct StageCapacity {
  std::size_t Slots_ = 1; ///< Calls in progress at the same time.
  /// Maximum number of pieces (units of a stage's work for a request) per call.
  std::size_t MaxBatchPieces_ = 1;
  Milliseconds CallOverhead_{0}; ///< Of a call, in addition to its pieces.
  Microseconds PieceTime_{0};    ///< Per piece; approximate, differs by stage.
  std::uint64_t ResultMemoryBytes_ = 0; ///< Bytes in which results are kept.
  Milliseconds ResultLifetime_{0};      ///< After the end of the call.
};

/// Capacity of one model engine.
struct EngineCapacity {
  std::size_t Slots_ = 1;
  std::uint64_t MemoryTokens_ = 0; ///< Tokens that its KV cache holds.
};

struct Service {
  std::string Name_;
  std::size_t MaxConnections_ = 0; ///< To one target, from all hosts together.
  std::optional<StageCapacity> Stage_;
  std::optional<EngineCapacity> Engine_;
  /// How long a target is cold after it started, and the requests a second that
  /// it accepts from all hosts while it is cold; 0 if targets are never cold.
  Milliseconds ColdStart_{0};
  double ColdPerSecond_ = 0;
};

/// Limits on the requests and connections of callers.
struct CallerLimits {
  std::size_t MaxHeaderBytes_ = 16 * 1024;
  std::size_t MaxBodyBytes_ = 4 * 1024 * 1024;
  Milliseconds HeaderTimeout_{3000};
  Milliseconds IdleTimeout_{15000};
};

struct RoutedAccount {
  std::string Name_;
  std::optional<int> Priority_; ///< Overrides that of the route.
};

/// Immutable and replaced as a whole. A request uses the same table from start
/// to end.
class RoutingTable final {
public:
  std::uint64_t Version_ = 0;  ///< Set by the operators.
  std::uint64_t Revision_ = 0; ///< Set by the store; orders the tables.
  std::vector<Route> Routes_;
  std::map<std::string, Service> Services_;
  CallerLimits Limits_;
  bool HasAccounts_ = false;
  std::map<std::string, RoutedAccount, std::less<>> AccountsByKey_;

  /// Returns the route of \p Host with the longest prefix of \p Path, or null.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;
  const Service *findService(const std::string &Name) const;
  const RoutedAccount *findAccount(std::string_view Key) const;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

} // namespace amaranth::state

#endif
