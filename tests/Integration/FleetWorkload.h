/// \file
/// A fleet with targets, and callers that load it.
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

  /// Returns once all daemons use the documents; throws std::runtime_error if
  /// that takes longer than 12 s.
  explicit FleetWorkload(const FleetWorkloadSettings &Settings);

  FleetHarness &fleet() { return Fleet_; }

  /// Number of executions of each order, over all targets.
  std::map<std::string, int> executions();

  /// True if the key-value service holds a session of \p Host.
  bool sessionStored(const std::string &Host);

  /// Stops all traffic on the open connections to the targets without closing
  /// them; returns their number.
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

/// One request and its answer.
struct AnsweredRequest {
  std::string Kind_; ///< "look-up", "place" or "stream".
  std::string Id_;
  FleetAnswer Answer_;
};

/// Formats \p Request on one line for the output of a failed check.
std::string describe(const AnsweredRequest &Request);

/// Threads that each send look-ups, orders and streams in turn, one at a time,
/// until they are stopped.
class FleetCallers final {
public:
  FleetCallers(const FleetHarness &Fleet, int Callers);
  ~FleetCallers();
  FleetCallers(const FleetCallers &) = delete;
  FleetCallers &operator=(const FleetCallers &) = delete;

  /// Waits for the requests in flight and returns all answered requests. A
  /// complete stream whose text is not that of its input counts as failed.
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
