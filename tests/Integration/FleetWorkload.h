/// \file
/// A fleet with targets, and callers that keep it busy.
#ifndef AMARANTH_TESTS_INTEGRATION_FLEETWORKLOAD_H
#define AMARANTH_TESTS_INTEGRATION_FLEETWORKLOAD_H

#include "Integration/FleetCaller.h"
#include "Integration/FleetHarness.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace amaranth::integration {

/// Settings of FleetWorkload.
struct FleetWorkloadSettings {
  Milliseconds EntryHostValidity_{1500};
  /// Puts a proxy between the daemons and each target.
  bool ProxyTargets_ = false;
};

/// Five daemons in two data centres, two targets of a plain service and four
/// engines of a pipeline.
class FleetWorkload final {
public:
  static constexpr const char *PlainServiceName = "orders";
  static constexpr const char *PipelineName = "verses";

  /// Returns once the documents are in force; throws std::runtime_error if
  /// they are not in time.
  explicit FleetWorkload(const FleetWorkloadSettings &Settings);

  FleetHarness &fleet() { return Fleet_; }

  /// How often each order was executed, over all targets.
  std::map<std::string, int> executions();

  /// A session of \p Host is stored in the key-value service.
  bool sessionStored(const std::string &Host);

  /// Freezes every open connection to the targets; returns their number.
  int freezeTargets();

private:
  static FleetHarnessSettings
  harnessSettings(const FleetWorkloadSettings &Settings);
  std::vector<std::string> targetAddresses(const StandinProcess &Targets,
                                           std::size_t Count);

  FleetWorkloadSettings Settings_;
  StandinProcess Orders_;
  StandinProcess Engines_;
  std::vector<std::unique_ptr<StandinProcess>> Proxies_;
  FleetHarness Fleet_;
};

/// One request and what its caller was told.
struct AnsweredRequest {
  std::string Kind_; ///< "look-up", "place" or "stream".
  std::string Id_;
  FleetAnswer Answer_;
};

/// \p Request on one line, for the output of a failed check.
std::string describe(const AnsweredRequest &Request);

/// Callers that keep entry-host answers and send look-ups, orders and streams,
/// each one after the other, until they are stopped.
class FleetCallers final {
public:
  FleetCallers(const FleetHarness &Fleet, int Callers);
  ~FleetCallers();
  FleetCallers(const FleetCallers &) = delete;
  FleetCallers &operator=(const FleetCallers &) = delete;

  /// Waits for the requests in flight; returns what all callers were told. A
  /// complete stream with another text than its own counts as no answer.
  std::vector<AnsweredRequest> stop();

  std::size_t answeredCount();

private:
  void run(int CallerIndex, FleetCaller Caller);

  std::atomic<bool> Stopping_ = false;
  std::mutex Mutex_;
  std::vector<AnsweredRequest> AnsweredRequests_;
  std::vector<std::thread> Threads_;
};

} // namespace amaranth::integration

#endif
