/// \file
/// Load, speed and availability of the targets, as seen by this daemon.
#ifndef AMARANTH_COORDINATION_TARGETTABLE_H
#define AMARANTH_COORDINATION_TARGETTABLE_H

#include "Coordination/WorkScale.h"
#include "State/ServiceDocument.h"
#include "Support/Time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace amaranth::coordination {

/// Classes of work. Durations are compared only within a class. Plain is a call
/// to a service without stages.
enum class WorkClass { Encode, Retrieve, Rerank, Generate, Plain };

WorkClass workClass(state::StageKind Kind);

/// Units of work of an attempt at a stage. For a Generate stage these are the
/// output tokens plus a fixed part, so that the paces of short and long outputs
/// can be compared; for other stages 1.
double stageWork(state::StageKind Kind, double Tokens);

/// Settings of TargetTable.
struct TargetTableSettings {
  /// Time source; a simulation replaces it.
  std::function<SteadyTime()> Now_ = [] { return SteadyClock::now(); };
  /// Load reports older than this are not used.
  Milliseconds ReportLifetime_{5000};
  /// After a target refused work because it is leaving, load reports that say
  /// otherwise are ignored for this long.
  Milliseconds MinRefusalHold_{10000};
  /// Such a target gets no new work for this long, unless it is found to serve
  /// again or its process to have ended. Longer than a target takes to leave.
  Milliseconds MaxRefusalHold_{600000};
  /// Number of consecutive failures after which a target is avoided until its
  /// recheck, a single request that shows whether it works again.
  int FailureThreshold_ = 2;
  Milliseconds MinRecheckWait_{250}; ///< First wait before a recheck.
  Milliseconds MaxRecheckWait_{4000};
  /// A target this many times slower than the median of its stage's targets is
  /// a straggler.
  double SlowFactor_ = 2.5;
  std::uint64_t Seed_ = std::random_device{}();
};

/// A validated load report of a target.
struct LoadReport {
  double QueuedWork_ = 0;    ///< Tokens or calls not yet completed.
  double Running_ = 0;       ///< Number of running requests.
  double WorkPerSecond_ = 0; ///< 0 if unknown.
  bool Leaving_ = false;
  Milliseconds Age_{0}; ///< Time since the target measured it.
};

/// An entry of the host list.
struct HostListEntry {
  std::string Address_;
  bool Leaving_ = false;
};

/// How an attempt ended, as far as it concerns the state of the target.
enum class AttemptEnd {
  Success,
  Failure,    ///< Error, reset, time-out or a corrupt reply.
  Refused,    ///< The connection was refused: no process listens there.
  Leaving,    ///< The target refused the work because it is leaving.
  Overloaded, ///< The target refused for lack of capacity.
  Ignored,    ///< Cancelled, or failed because of the request itself.
};

/// Position of new work in a target's queue.
enum class QueuePlace {
  Back,  ///< Behind all queued work.
  Front, ///< Before it, by priority; waits only until a slot becomes free.
};

/// Prediction for new work at one target.
struct TargetEstimate {
  Microseconds Completion_{0}; ///< Predicted time until the work is done.
  bool Leaving_ = false;
  bool Avoided_ = false;    ///< Failing; must not be used before its recheck.
  bool RecheckDue_ = false; ///< Its recheck is due and not yet in progress.
  double Slowdown_ = 1; ///< Pace relative to the other targets; 1 if normal.
};

/// State of one target, for operators and metrics.
struct TargetView {
  std::string Address_;
  int InFlight_ = 0;
  double OwnWork_ = 0;
  std::optional<LoadReport> Report_;
  Milliseconds ReportAge_{0};
  Milliseconds RecheckIn_{0};
  bool Leaving_ = false;
  double FailureRate_ = 0;
  /// Recent duration of a unit of work (a token or a call); zero if the target
  /// has completed none.
  Microseconds RecentPace_{0};
  std::uint64_t BadReports_ = 0;
};

/// Load, latency and leaving state of every target, by address. Work of this
/// daemon counts from the moment it is sent, so that several requests do not
/// choose the same target because its load reports lag behind. Thread-safe.
class TargetTable final {
public:
  explicit TargetTable(TargetTableSettings Settings = {});

  /// Records that \p Work was sent to \p Address; returns the attempt's id.
  std::uint64_t begin(const std::string &Address, WorkClass Class, double Work);

  /// Records the end of an attempt; \p ActualWork is the work completed.
  void end(const std::string &Address, std::uint64_t Id, AttemptEnd End,
           double ActualWork);

  void onLoadReport(const std::string &Address, const LoadReport &Report);
  /// Records that the target's process has ended: a poll for its load report
  /// was refused a connection. Its last report and leaving state no longer
  /// apply.
  void onProcessEnded(const std::string &Address);
  /// Counts a malformed or implausible load report.
  void onBadReport(const std::string &Address);
  void onHostList(const std::vector<HostListEntry> &Hosts);

  /// Predictions for \p Work at each of \p Addresses, in their order. Pass all
  /// targets of a stage in one call, because they are compared with each other.
  std::vector<TargetEstimate>
  estimate(const std::vector<std::string> &Addresses, WorkClass Class,
           double Work, QueuePlace Place = QueuePlace::Back);

  bool isLeaving(const std::string &Address);
  std::vector<TargetView> view();

  /// Forgets all targets except \p Addresses, those in the service documents,
  /// and targets with attempts in flight.
  void retainOnly(const std::vector<std::string> &Addresses);

private:
  struct InFlight {
    SteadyTime Start_;
    WorkClass Class_ = WorkClass::Plain;
    double Work_ = 0;
  };

  /// Pace of one class of work at one target, in seconds per unit of work.
  struct Pace {
    double Average_ = 0; ///< Moving average.
    double Minimum_ = 0; ///< Slowly rising minimum: the pace without a queue.
    int Samples_ = 0;
  };

  struct Entry {
    std::map<std::uint64_t, InFlight> InFlight_;
    /// Number of own attempts in flight from each time on, kept for the
    /// lifetime of a report.
    std::deque<std::pair<SteadyTime, std::size_t>> OwnHistory_;
    double OwnWork_ = 0;
    double SentSinceReport_ = 0;
    std::optional<LoadReport> Report_;
    SteadyTime ReportMeasured_;
    std::uint64_t BadReports_ = 0;
    std::array<Pace, 5> Pace_;

    double FailureRate_ = 0;
    int FailureStreak_ = 0;
    bool ConnectionRefused_ = false; ///< In the last failure.
    SteadyTime FailureTime_;
    SteadyTime AvoidUntil_;
    bool RecheckInProgress_ = false;
    Milliseconds SlowRecheckWait_{0};
    SteadyTime SlowRecheckAt_;

    std::optional<SteadyTime> RefusedAt_;
    bool ReportedLeaving_ = false;
    /// Last time at which the target's own state changed from leaving to
    /// serving.
    std::optional<SteadyTime> ReturnedAt_;
    std::optional<SteadyTime> ListedLeavingAt_;
  };

  static constexpr std::size_t index(WorkClass Class) {
    return static_cast<std::size_t>(Class);
  }

  /// \p Work in units to which durations are proportional.
  double effectiveWork(WorkClass Class, double Work) const;
  /// Discards the paces of a class, after a change of its scale.
  void resetPaces(WorkClass Class);
  void recordPace(Entry &Target, const InFlight &Attempt, double ActualWork,
                  SteadyTime Now);
  void recordCancelled(Entry &Target, const InFlight &Attempt, SteadyTime Now);
  void recordFailure(Entry &Target, AttemptEnd End, SteadyTime Now);
  Milliseconds recheckWait(int Streak);
  bool isMarkedLeaving(const Entry &Target, SteadyTime Now) const;
  double pendingWork(const Entry &Target, SteadyTime Now) const;
  void recordOwnInFlight(Entry &Target, SteadyTime Now);
  bool hasValidReport(const Entry &Target, SteadyTime Now) const;
  double runningForOthers(const Entry &Target) const;
  double queueDelay(const Entry &Target, double UnloadedPace,
                    double TypicalOthers, QueuePlace Place,
                    SteadyTime Now) const;
  double overdueFactor(const Entry &Target, WorkClass Class, double Typical,
                       SteadyTime Now) const;

  TargetTableSettings Settings_;
  std::mutex Mutex_;
  std::map<std::string, Entry> Targets_;
  WorkScale GenerateScale_;
  std::uint64_t NextId_ = 1;
  std::mt19937_64 Random_;
};

/// Counts an attempt in a TargetTable for its scope, so that its work is
/// subtracted again however the attempt ends.
class CountedAttempt final {
public:
  CountedAttempt(TargetTable &Table, std::string Address, WorkClass Class,
                 double Work);
  /// Ends the attempt as Ignored unless end() was called.
  ~CountedAttempt();
  CountedAttempt(const CountedAttempt &) = delete;
  CountedAttempt &operator=(const CountedAttempt &) = delete;

  void end(AttemptEnd End, double ActualWork);

private:
  TargetTable &Table_;
  std::string Address_;
  std::uint64_t Id_;
  bool Ended_ = false;
};

} // namespace amaranth::coordination

#endif
