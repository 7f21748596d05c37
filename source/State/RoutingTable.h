/// \file
/// One version of the operators' configuration, as requests use it.
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

/// What may be repeated of a request.
enum class RequestKind {
  Idempotent,    ///< May run more than once.
  NonIdempotent, ///< Runs at most once.
  Stream,        ///< A series of events; see Route::Resumable_.
};

/// Work to be done before a request can run at its service.
struct StageStep {
  std::string Service_;
  std::vector<std::size_t> After_; ///< Stages whose results it needs.
  std::uint64_t ResultBytes_ = 0;  ///< Approximate size of one result.
};

/// A service that may take a request, with its share of the requests.
struct ServiceShare {
  std::string Service_;
  double Weight_ = 1;
};

struct Route {
  std::string Name_;
  std::string Host_;
  std::string Prefix_; ///< Begins and ends with a slash.
  RequestKind Kind_ = RequestKind::NonIdempotent;
  bool Resumable_ = false;  ///< A stream that another target may continue.
  bool Generation_ = false; ///< Carries a prompt for a model engine.
  bool Public_ = false;     ///< Needs no client account.
  Milliseconds Timeout_{0}; ///< Longest time a caller is kept waiting; 0: none.
  Milliseconds LatencyAim_{0}; ///< Full worth up to this; streams: first event.
  Milliseconds PauseAim_{0};   ///< Longest pause between events of a stream.
  int Priority_ = 0;           ///< 0 is the most urgent.
  int MaxAttempts_ = 1;        ///< Targets one request may be sent to.
  std::vector<ServiceShare> Services_;
  std::vector<StageStep> Stages_;
};

/// Capacity of one target of a service that makes stage results.
struct StageCapacity {
  std::size_t Slots_ = 1; ///< Calls in progress at the same time.
  std::size_t Batch_ = 1; ///< Pieces in one call.
  Milliseconds CallTime_{0};
  Microseconds PieceTime_{0};      ///< Approximate; differs by stage.
  std::uint64_t ResultRoom_ = 0;   ///< Bytes for results.
  Milliseconds ResultLifetime_{0}; ///< After the end of the call.
};

/// Capacity of one model engine.
struct EngineCapacity {
  std::size_t Slots_ = 1;
  std::uint64_t MemoryTokens_ = 0;
};

struct Service {
  std::string Name_;
  std::size_t MaxConnections_ = 0; ///< Of one target, from all hosts together.
  std::optional<StageCapacity> Stage_;
  std::optional<EngineCapacity> Engine_;
};

/// Bounds on what callers may send.
struct CallerLimits {
  std::size_t MaxHeaderBytes_ = 16 * 1024;
  std::size_t MaxBodyBytes_ = 4 * 1024 * 1024;
  Milliseconds HeaderTimeout_{3000};
  Milliseconds IdleTimeout_{15000};
};

struct RoutedAccount {
  std::string Name_;
  std::optional<int> Priority_; ///< Goes before the route's.
};

/// Immutable; replaced as a whole. Requests keep the table they began with.
class RoutingTable final {
public:
  std::uint64_t Version_ = 0;  ///< The operators' number.
  std::uint64_t Revision_ = 0; ///< The store's; orders the tables.
  std::vector<Route> Routes_;
  std::map<std::string, Service> Services_;
  CallerLimits Limits_;
  bool HasAccounts_ = false;
  std::map<std::string, RoutedAccount, std::less<>> AccountsByKey_;

  /// The route of \p Host with the longest prefix that begins \p Path.
  const Route *findRoute(std::string_view Host, std::string_view Path) const;
  const Service *findService(const std::string &Name) const;
  const RoutedAccount *findAccount(std::string_view Key) const;
};

using RoutingTablePtr = std::shared_ptr<const RoutingTable>;

} // namespace amaranth::state

#endif
