/// \file
/// Replay of a load on stage services, with simulated time and no network.
#ifndef AMARANTH_TESTS_COORDINATION_STAGES_STAGELOADREPLAY_H
#define AMARANTH_TESTS_COORDINATION_STAGES_STAGELOADREPLAY_H

#include "Coordination/Stages/CallStatistics.h"
#include "Coordination/Stages/OutstandingWork.h"
#include "Coordination/Stages/ResultLedger.h"
#include "Coordination/Stages/StageAdmission.h"
#include "Coordination/Stages/StageQueue.h"

#include <functional>
#include <memory>
#include <random>

namespace amaranth::testing {

/// A stage service whose targets are spread evenly over the data centres.
struct ReplayService {
  std::string Name_;
  std::size_t Targets_ = 1;
  state::StageCapacity Capacity_;
};

/// Requests of one kind.
struct ReplayClass {
  std::string Name_;
  double Share_ = 0; ///< Of all requests.
  std::vector<state::StageStep> Steps_;
  /// Draws the number of pieces of each stage.
  std::function<std::vector<std::size_t>(std::mt19937 &)> Counts_;
  double WorkFactor_ = 1; ///< Of the configured time of a piece.
  int Priority_ = 0;
  Milliseconds Aim_{0};
  Milliseconds Deadline_{0};
  double Worth_ = 1; ///< Of an answer within the aim.
};

/// Settings of StageLoadReplay.
struct StageLoad {
  std::vector<ReplayService> Services_;
  std::vector<ReplayClass> Classes_;
  double RequestsPerSecond_ = 0;
  double WaveAmplitude_ = 0; ///< Relative to the mean.
  Seconds WavePeriod_{15};
  /// The requests of the first class are multiplied by BurstFactor_ from
  /// BurstBegin_ to BurstEnd_.
  double BurstFactor_ = 1;
  Seconds BurstBegin_{0};
  Seconds BurstEnd_{0};
  /// All requests are multiplied by StepFactor_ from StepBegin_ to StepEnd_.
  double StepFactor_ = 1;
  Seconds StepBegin_{0};
  Seconds StepEnd_{0};
  Seconds Duration_{30};
  Seconds PeakBegin_{14}; ///< Calls are summed up from here to PeakEnd_.
  Seconds PeakEnd_{22};
  std::size_t Hosts_ = 16;
  Milliseconds PingPeriod_{250};
  /// Share of the requests whose account sets a priority of 0 to 2.
  double AccountShare_ = 0;
  Milliseconds MessageTime_{20}; ///< Between two hosts.
  Milliseconds ReadDelay_{150};  ///< From the last result to its reading.
  Milliseconds NetworkTime_{30}; ///< Mean, of a call; exponential.
  unsigned Seed_ = 1;
};

struct ReplayArrival {
  Microseconds At_{0}; ///< After the start.
  std::size_t Class_ = 0;
};
/// Draws the arrivals of a load, in groups of three.
std::vector<ReplayArrival> drawArrivals(const StageLoad &Load,
                                        std::mt19937 &Random);

/// Requests of one class, or of one class that arrived in the peak.
struct ReplayCounts {
  std::size_t InAim_ = 0;
  std::size_t Late_ = 0;    ///< After the aim, before the deadline.
  std::size_t Refused_ = 0; ///< At once, without any work.
  std::size_t Failed_ = 0;  ///< After waiting or after work.
  std::size_t total() const { return InAim_ + Late_ + Refused_ + Failed_; }
  double inAim() const;
};

/// Calls of one service in the peak.
struct ReplayCalls {
  std::size_t Calls_ = 0;
  std::size_t Pieces_ = 0;
  std::size_t Wasted_ = 0; ///< Pieces of requests that were not in aim.
  std::size_t LongestQueue_ = 0;
  std::uint64_t FreeBytes_ = 0; ///< Sum over the calls when composed.
  Milliseconds BusyTime_{0};
  double Busy_ = 0; ///< Share of the targets' time.
};

struct ReplayResult {
  std::vector<ReplayCounts> Day_;  ///< By class.
  std::vector<ReplayCounts> Peak_; ///< By class.
  std::vector<ReplayCalls> Calls_; ///< By service.
  /// Sum over the requests: full worth within the aim, 0.15 of it later.
  double Worth_ = 0;
  double MaxWorth_ = 0;
  std::string describe(const StageLoad &Load) const;
};

/// Replays one load with the decision classes that a host uses, driven as
/// StageRun and StageDispatcher drive them.
class StageLoadReplay final {
public:
  explicit StageLoadReplay(StageLoad Load,
                           coordination::StageAdmissionSettings Admission = {});
  ~StageLoadReplay();
  ReplayResult run();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Three services and three classes with the figures of the site with 87 hosts.
/// At the mean rate, 600 requests a second, the calls at the peak are about as
/// full as the measured ones: at the stated 240 no stage is short of capacity.
StageLoad measuredStageLoad();
/// The same services, with arrivals of 1.3 times the capacity for 5 s and then
/// of 0.6 times the capacity.
StageLoad stepStageLoad();
/// One service with large results, few targets and small calls.
StageLoad largeResultLoad();

} // namespace amaranth::testing

#endif
